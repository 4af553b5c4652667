package fleet

import (
	"fmt"
	"time"

	"olivebridge/internal/fleet/member"
)

// checkOverdue finds views that should have followed a change by now.
func (j *judge) checkOverdue(at time.Duration) {
	j.checkDeadRemoved(at)
	if j.viewsAgree || j.reportedDifference || !j.truth.isSymmetric() || j.changedAt == 0 || at-j.changedAt < agreeWithin {
		return
	}
	j.reportedDifference = true
	j.report("agree", at, "%.1fs after the last change: %s", (at - j.changedAt).Seconds(), j.difference())
}

// checkDeadRemoved finds views that still have a node that was killed.
func (j *judge) checkDeadRemoved(at time.Duration) {
	for _, name := range j.account.Names {
		n := j.node(name)
		if !n.killed || at-n.killedAt < goneWithin {
			continue
		}
		for _, viewer := range j.account.Names {
			j.checkDeadRemovedBy(at, viewer, name, n)
		}
	}
}

// checkDeadRemovedBy is that of one viewer. One that was disturbed has as long from then on.
func (j *judge) checkDeadRemovedBy(at time.Duration, viewer, name string, killed *nodeHistory) {
	v := j.node(viewer)
	from := max(killed.killedAt, v.undisturbedSince, j.impairedAt)
	if killed.killSeenBy[viewer] || !j.truth.nodes[viewer].canBelieve() || v.view == nil || at-from < goneWithin ||
		j.truth.heavyLosses > 0 {
		return
	}
	if m, _ := v.view.view.Lookup(name); m.State.Present() && m.Incarnation == killed.incarnation {
		j.report("kept", at, "%s has %s as %s, which was killed %.1fs ago",
			viewer, name, m.State, (at - killed.killedAt).Seconds())
		killed.killSeenBy[viewer] = true
	}
}

// reaches reports whether messages get from one node to another, over others if need be.
func (j *judge) reaches(from, to string) bool {
	return j.truth.reachableFrom(from)[to]
}

// checkAgreement notes when all views have come to agree, and finds that they agree no more though nothing has
// happened.
func (j *judge) checkAgreement(at time.Duration) {
	if !j.truth.isSymmetric() || j.changedAt == 0 {
		return
	}
	difference := j.difference()
	switch {
	case difference == "" && !j.viewsAgree:
		j.viewsAgree = true
		if j.differedAtChange {
			j.result.Agree.add(at - j.changedAt)
		}
	case difference != "" && j.viewsAgree && at-j.disturbedAt > calmFor && at-j.changedAt > calmFor:
		j.report("false", at, "views agreed, nothing happened, and then %s", difference)
		j.viewsAgree = false
		j.reportedDifference = true
	}
}

// difference is where a view is not as it should be; "": all are.
func (j *judge) difference() string {
	for _, viewer := range j.account.Names {
		if !j.truth.nodes[viewer].canBelieve() {
			continue
		}
		view := j.node(viewer).view
		if view == nil {
			return viewer + " has no view"
		}
		for _, other := range j.account.Names {
			if other == viewer {
				continue
			}
			m, known := view.members[other]
			if difference := j.memberDifference(viewer, other, m, known); difference != "" {
				return difference
			}
		}
	}
	return ""
}

// memberDifference is how a member of a view is not as it should be; "": it is, or one cannot say.
func (j *judge) memberDifference(viewer, other string, m member.Member, known bool) string {
	actual := j.truth.nodes[other]
	if !actual.isCertain() || actual.running && !actual.serving {
		return ""
	}
	here := known && m.State.Present()
	should := actual.running && !actual.stopped && j.reaches(viewer, other)
	switch {
	case here && !should:
		return fmt.Sprintf("%s has %s as %s, which is not there", viewer, other, m.State)
	case !here && should:
		return fmt.Sprintf("%s has not got %s, which is there", viewer, other)
	case here && m.Incarnation != j.node(other).incarnation:
		return fmt.Sprintf("%s has incarnation %v of %s, which is in %v",
			viewer, m.Incarnation, other, j.node(other).incarnation)
	}
	return ""
}
