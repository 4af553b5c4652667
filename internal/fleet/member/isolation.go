package member

import "time"

// isolationTimeout is the time without a packet or frame from any member after which this process counts as isolated.
// In a fleet with other members, some of them probe this process and answer its probes every second. The timeout
// exceeds the silence that a loss of three packets in ten makes likely.
const isolationTimeout = 6 * time.Second

// checkIsolation declares all other members dead at once if nothing was received from any of them for isolationTimeout.
// memberlist would declare them dead one by one and ever more slowly, because it attributes missing answers to a fault
// of its own process. When a packet or frame from any member arrives again, checkIsolation marks as alive all members
// that memberlist has not dropped.
func (a *agent) checkIsolation(now, began time.Time) {
	lastReceived := a.transport.lastReceived()
	if lastReceived.Before(began) {
		lastReceived = began
	}
	silent := now.Sub(lastReceived) > isolationTimeout
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

// declareOthersDead counts and logs the isolation, and declares all other members dead in the view of this process.
func (a *agent) declareOthersDead() {
	a.service.counters.isolations.Add(1)
	a.service.config.Log.Warn("fleet place", "reason", "cut-off")
	for _, m := range a.service.View().Present() {
		if m.Name != a.service.config.Name {
			a.service.apply(Event{Kind: EventDead, Name: m.Name})
		}
	}
}
