package fault

import (
	"fmt"
	"reflect"
	"strconv"
	"time"

	"olivebridge/internal/lab/figure"
)

// limit is the inclusive range of a number; of a duration, in seconds.
type limit struct {
	lo, hi float64
	orZero bool // 0 is allowed as well and disables the feature
}

func (l limit) contains(v float64) bool { return v >= l.lo && v <= l.hi || l.orZero && v == 0 }

// limits returns the limits of every number in a script outside of its faults, by key. They prevent a run that never
// ends and a division by zero in the model; a script within them can be played.
func limits() map[string]limit {
	const day = 24 * 3600
	share := limit{0, 1, false}
	return map[string]limit{
		"length": {1, 600, false},

		"world.net.same": {0, 1, false}, "world.net.cross": {0, 1, false}, "world.net.client": {0, 1, false},
		"world.net.jitter": {0, 10, false}, "world.net.rate": {1e4, 1e10, true}, "world.net.pieces": share,
		"world.net.window": {16 << 10, 64 << 20, true}, "world.net.send_buffer": {16 << 10, 64 << 20, true},

		"world.contract.drain_grace": {0, 60, false}, "world.contract.cold_share": {0.01, 1, false},
		"world.contract.cold": {0.1, 600, false}, "world.contract.overload": {1, 100, false},
		"world.contract.fall": {0.1, 60, false}, "world.contract.ask_every": {0.1, 600, false},
		"world.contract.try_limit": {1, 20, false}, "world.contract.max_retry_after": {0, 600, false},
		"world.contract.connect_timeout": {0.001, 10, false}, "world.contract.idle_close": {0.1, 600, false},
		"world.contract.cross_price": {0, 10, false}, "world.contract.probe_price": {0, 10, false},
		"world.contract.over_share_worth": share,

		"world.discovery.add": {0, 60, false}, "world.discovery.notice": {0, 60, false},
		"world.discovery.silent": {0, 60, false}, "world.discovery.each": {0, 10, false},
		"world.discovery.patience": {0.01, 60, false},

		"world.front.check": {0.01, 60, false}, "world.front.notice": {0, 60, false},

		"world.class.work": {1e-5, 10, false}, "world.class.spread": {0, 10, false},
		"world.class.aim": {0.001, 60, false}, "world.class.deadline": {0.01, 60, false},
		"world.class.worth": {0, 1e6, false}, "world.class.body": {0, 64 << 10, false},
		"world.class.answer": {0, 1 << 20, false},
		"world.class.long":   share, "world.class.long_body": {0, 4 << 20, false},
		"world.class.long_for": {0, 20, false},
		"world.class.parted":   share, "world.class.parted_body": {0, 1 << 20, false},
		"world.class.part_pause": {0, 1.8, false},

		"world.tenant.share": share, "world.tenant.quota": {0, 1e6, false},

		"world.node.memory_mb": {16, 1 << 20, false}, "world.node.sockets": {32, 1 << 20, false},

		"world.peer.weight": {0.001, 1000, false}, "world.peer.cell": {0, 1000, false},
		"world.peer.cores": {1, 256, false}, "world.peer.speed": {0.01, 100, false},
		"world.peer.slots": {1, 4096, false}, "world.peer.queue": {0, 1e5, false},
		"world.peer.cache_gain": {0, 0.99, false}, "world.peer.cache_for": {0, day, false},
		"world.peer.cache_keys": {0, 1e6, false}, "world.peer.pause_each": {0.1, day, true},
		"world.peer.pause": {0, 10, false}, "world.peer.errors": share,
		"world.peer.cold_share": {0.01, 1, false}, "world.peer.cold_for": {0, 600, false},
		"world.peer.cold_by": {0, 1e6, false}, "world.peer.fall_at": {1, 100, true},
		"world.peer.fall_in": {0.1, 60, true}, "world.peer.crowd_at": {0.1, 1e4, true},
		"world.peer.crowded": {1, 100, true}, "world.peer.conns": {1, 1e6, false},
		"world.peer.handshake": {0, 1, false}, "world.peer.idle_close": {0.1, 600, false},

		"world.clients.rate": {0.01, 1e5, false}, "world.clients.mix": share, "world.clients.swing": share,
		"world.clients.period": {0.1, day, true}, "world.clients.keys": {0, 1e6, false},
		"world.clients.zipf": {0, 10, false}, "world.clients.retries": {0, 10, false},
		"world.clients.backoff": {0, 60, false}, "world.clients.honour": share,
		"world.clients.patience": {0.05, 1, false}, "world.clients.leave": share, "world.clients.fresh": share,
		"world.clients.keep": share, "world.clients.pipelined": share, "world.clients.conns": {1, 1e4, false},
		"world.clients.odd": share, "world.clients.linger": share,

		"world.rogue.rate": {0.01, 1e4, false}, "world.rogue.from": {0, 600, false},
		"world.rogue.for": {0.05, 600, false},

		"scenario.chance": share, "scenario.weight": {0, 1e6, false}, "scenario.part": share,
		"scenario.many": {0, 1000, false}, "scenario.one_or_more": {1, 1000, false},
		"scenario.load": {0.01, 10, false}, "scenario.rate": {1, 1e5, false},
		"scenario.spread": {0, 1, false}, "scenario.per_core": {0, 1e5, false},
		"scenario.usage": {0.01, 100, false}, "scenario.lead": {0, 600, false},
	}
}

// visitNumbers calls see for each number under v with its key and with its bare key, which has no list indexes and is
// the key of its limit.
func visitNumbers(key, bare string, v reflect.Value, see func(key, bare string, v reflect.Value)) {
	switch v.Kind() {
	case reflect.Struct:
		for n := range v.NumField() {
			k := tomlKey(v.Type().Field(n))
			visitNumbers(join(key, k), join(bare, k), v.Field(n), see)
		}
	case reflect.Slice:
		for n := range v.Len() {
			visitNumbers(fmt.Sprintf("%s[%d]", key, n), bare, v.Index(n), see)
		}
	case reflect.Float64, reflect.Int, reflect.Int64:
		see(key, bare, v)
	}
}

// number returns a number in the unit of its limit, and as text for error messages.
func number(v reflect.Value) (float64, string) {
	switch f := v.Interface().(type) {
	case figure.Span:
		return f.D().Seconds(), f.D().String()
	case int:
		return float64(f), strconv.Itoa(f)
	case float64:
		return f, formatFloat(f)
	}
	return 0, ""
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// violation returns a description of a number that is outside of its limit, or the empty string.
func (l limit) violation(v reflect.Value) string {
	f, written := number(v)
	if l.contains(f) {
		return ""
	}
	lo, hi := formatFloat(l.lo), formatFloat(l.hi)
	if _, ok := v.Interface().(figure.Span); ok {
		lo, hi = figure.Seconds(l.lo).String(), figure.Seconds(l.hi).String()
	}
	or := ""
	if l.orZero {
		or = ", nor 0"
	}
	return fmt.Sprintf("%s is not from %s to %s%s", written, lo, hi, or)
}

// minFaultDuration is the minimum duration of a fault.
const minFaultDuration = 50 * time.Millisecond
