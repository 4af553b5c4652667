package fleet

import "time"

// advance applies the events up to an instant and reports views that do not follow them in time.
func (j *judge) advance(at time.Duration) {
	for j.truth.next < len(j.truth.events) && j.truth.events[j.truth.next].At <= at {
		e := j.truth.events[j.truth.next]
		j.checkOverdue(e.At)
		j.truth.next++
		j.applyEvent(e)
	}
	j.checkOverdue(at)
}

// keepsCorrectViews reports whether an event leaves the correct views as they are.
func keepsCorrectViews(what string) bool {
	switch what {
	case "upgrade", "upgraded", "directory full", "directory unwritable", "directory foreign", "directory torn",
		"directory emptied", "refused", "moves", eventClockWrong:
		return true
	}
	return false
}

func (j *judge) applyEvent(e Event) {
	before := j.truth.nodes[e.Node]
	wasLeaving := before != nil && before.leaving
	j.truth.apply(e)
	if e.Ails != nil {
		j.impairedAt = e.At
	}
	for _, name := range j.account.Names {
		if e.Node == name || e.Node == "" {
			j.node(name).lastEventAt = e.At
		}
	}
	if keepsCorrectViews(e.What) {
		return
	}
	switch e.What {
	case eventCut:
		j.recordCut(e)
	case eventCutHealed:
		j.recordHealed(e)
	default:
		j.node(e.Node).apply(e, wasLeaving)
	}
	j.handleChange(e)
}

// apply updates the history by an event of the node.
func (n *nodeHistory) apply(e Event, wasLeaving bool) {
	switch e.What {
	case eventKilled:
		n.leftAsPlanned = false
		n.endedAt = e.At
		if wasLeaving { // it may have announced its leave, so that both dead and left are correct
			n.endedAt = 0
		}
		n.killed = true
		n.killedAt = e.At
		n.killSeenBy = map[string]bool{}
		n.holder = 0
		n.stopped = false
		n.stoppedAt = 0
	case eventEnded:
		n.leftAsPlanned = true
		n.endedAt = e.At
		n.holder = 0
	case eventStarted:
		n.killed = false
		n.view = nil
	case eventStrangerKilled:
		n.strangerUntil = e.At + undisturbedTime // records still contain its last messages for a while
	case eventStopped:
		n.stopped = true
		n.stoppedAt = e.At
	case eventResumed:
		n.wasStoppedBriefly = e.At-n.stoppedAt <= briefStop
		n.stopped = false
		n.stoppedAt = 0
		n.resumedAt = e.At
		n.excusedUntil = e.At + undisturbedTime
		n.undisturbedSince = e.At
	}
}

func (j *judge) recordCut(e Event) {
	for _, from := range e.From {
		for _, to := range e.To {
			j.cutAt[nodePair{from, to}] = e.At
		}
	}
}

func (j *judge) recordHealed(e Event) {
	for _, from := range e.From {
		for _, to := range e.To {
			if j.truth.isOpen(from, to) {
				delete(j.cutAt, nodePair{from, to})
			}
		}
	}
}

// handleChange restarts the wait for agreement after an event that changes the correct views.
func (j *judge) handleChange(e Event) {
	if e.What != eventServes && e.What != eventTerminated && j.changedAt > 0 {
		j.result.Changes++
		if !j.viewsAgree {
			j.result.Unsettled++
		}
	}
	j.restartAgreement(e.At, j.difference() != "")
	if e.Node == "" { // the nodes detect a cut at different times
		for _, name := range j.account.Names {
			j.node(name).undisturbedSince = e.At
		}
	}
	recovers := e.What == eventCutHealed || e.What == eventImpairmentOver || e.What == eventResumed
	if !j.truth.isIntact() || j.anyStopped() || recovers {
		j.disturbedAt = e.At
	}
	j.checkAgreement(e.At)
}

// restartAgreement restarts the time in which the views have to agree.
func (j *judge) restartAgreement(at time.Duration, differ bool) {
	j.changedAt = at
	j.viewsAgree = false
	j.reportedDifference = false
	j.differedAtChange = differ
}

func (j *judge) anyStopped() bool {
	for _, n := range j.nodes {
		if n.stopped {
			return true
		}
	}
	return false
}
