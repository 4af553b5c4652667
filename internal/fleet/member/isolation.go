package member

import "time"

// isolationTimeout is how long nobody at all may be heard: a process with others is probed by some of them, and
// answered, in every second; the time is above what the loss of three packets in ten makes likely.
const isolationTimeout = 6 * time.Second

// checkIsolation finds that nobody at all is heard any more: then all others are gone from here, at once. memberlist
// would declare them dead one by one, and ever more slowly, since it takes the lack of answers for a fault of its own.
// Once somebody is heard again, all members count that memberlist has not dropped.
func (a *agent) checkIsolation(now, began time.Time) {
	lastHeard := a.transport.lastReceived()
	if lastHeard.Before(began) {
		lastHeard = began
	}
	silent := now.Sub(lastHeard) > isolationTimeout
	switch {
	case silent && !a.isolated:
		a.isolated = true
		a.declareOthersDead()
	case !silent && a.isolated:
		a.isolated = false
		for _, node := range a.list.Members() {
			a.applyNode(node)
		}
	}
}

func (a *agent) declareOthersDead() {
	a.service.counters.isolations.Add(1)
	a.service.config.Log.Warn("fleet place", "reason", "cut-off")
	for _, m := range a.service.View().Present() {
		if m.Name != a.service.config.Name {
			a.service.apply(Event{Kind: EventDead, Name: m.Name})
		}
	}
}
