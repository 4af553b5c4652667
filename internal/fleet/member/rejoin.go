package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// rejoinInterval is the minimum time between two attempts to join any missing address.
	rejoinInterval = 500 * time.Millisecond
	// rejoinAddrInterval is the minimum time between two attempts to join the same address.
	rejoinAddrInterval = 3 * time.Second
)

// rejoin tries to join one missing address. Without rejoin, the two sides of a network partition, which have declared
// each other dead, would never contact each other again. It also covers a node that starts while none of the addresses
// to join is reachable.
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

// missingAddr returns the address to try next: the address of a dead member, or an address to join at which no member
// is known, whichever was not tried for the longest time. It returns "" if no such address is due.
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

// rejoinPause returns the minimum time between two attempts to join the same address. It is shorter while no other
// member is present.
func rejoinPause(view *View) time.Duration {
	if len(view.Present()) == 1 {
		return rejoinInterval
	}
	return rejoinAddrInterval
}
