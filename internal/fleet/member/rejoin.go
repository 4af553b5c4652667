package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// rejoinInterval is the least time between two attempts to join a missing address.
	rejoinInterval = 500 * time.Millisecond
	// rejoinAddrInterval is the least time between two attempts to join the same one.
	rejoinAddrInterval = 3 * time.Second
)

// rejoin tries to join one address that is missing: the sides of a network partition have declared each other dead,
// and would never ask again; and a node that starts may find none of the addresses to join.
func (a *agent) rejoin(now time.Time) {
	addr := a.missingAddr(now)
	if addr == "" || !a.joining.CompareAndSwap(false, true) {
		return
	}
	a.lastRejoins[addr] = now
	a.tasks.Go(func() {
		defer a.joining.Store(false)
		if joined, _ := a.list.Join([]string{addr}); joined > 0 {
			a.service.counters.rejoins.Add(1)
		}
	})
}

// missingAddr returns the address of a member that is dead, or one to join at which no member is known, that was not
// tried for the longest time; "": there is none whose time has come.
func (a *agent) missingAddr(now time.Time) string {
	config := &a.service.config
	view := a.service.View()
	known := map[string]bool{config.Advertise.String(): true, config.Listen.String(): true}
	var missing []string
	for _, m := range view.Members {
		if m.State.Present() || m.State == Left {
			known[m.Addr] = true
		} else {
			missing = append(missing, m.Addr)
		}
	}
	missing = slices.Concat(missing, config.Join, a.knownAddrs)
	pause := rejoinPause(view)
	missing = slices.DeleteFunc(missing, func(addr string) bool {
		return known[addr] || now.Sub(a.lastRejoins[addr]) < pause
	})
	if len(missing) == 0 {
		return ""
	}
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	return slices.MinFunc(missing, func(x, y string) int { return a.lastRejoins[x].Compare(a.lastRejoins[y]) })
}

// rejoinPause is the least time between two attempts to join the same address. It is short while nobody is known.
func rejoinPause(view *View) time.Duration {
	if len(view.Present()) == 1 {
		return rejoinInterval
	}
	return rejoinAddrInterval
}
