package fleet

import (
	"fmt"
	"time"

	"olivebridge/internal/fleet/member"
)

// checkOverdue reports views that do not yet follow the last change although agreeTimeout has passed.
func (j *judge) checkOverdue(at time.Duration) {
	j.checkDeadRemoved(at)
	if j.viewsAgree || j.reportedDifference || !j.truth.isSymmetric() || j.changedAt == 0 ||
		at-j.changedAt < agreeTimeout {
		return
	}
	j.reportedDifference = true
	j.report("agree", at, "%.1fs after the last change: %s", (at - j.changedAt).Seconds(), j.difference())
}

// checkDeadRemoved reports views that still contain a killed node.
func (j *judge) checkDeadRemoved(at time.Duration) {
	for _, name := range j.account.Names {
		n := j.node(name)
		if !n.killed || at-n.killedAt < removalTimeout {
			continue
		}
		for _, viewer := range j.account.Names {
			j.checkDeadRemovedBy(at, viewer, name, n)
		}
	}
}

// checkDeadRemovedBy is checkDeadRemoved for one viewer. If the viewer was disturbed after the kill, removalTimeout
// begins at the end of the disturbance.
func (j *judge) checkDeadRemovedBy(at time.Duration, viewer, name string, killed *nodeHistory) {
	v := j.node(viewer)
	from := max(killed.killedAt, v.undisturbedSince, j.impairedAt)
	if killed.killSeenBy[viewer] || !j.truth.nodes[viewer].canUpdateView() || v.view == nil || at-from < removalTimeout ||
		j.truth.heavyLosses > 0 {
		return
	}
	if m, _ := v.view.view.Lookup(name); m.State.Present() && m.Incarnation == killed.incarnation {
		j.report("kept", at, "%s still has %s as %s, %.1fs after its kill",
			viewer, name, m.State, (at - killed.killedAt).Seconds())
		killed.killSeenBy[viewer] = true
	}
}

// reaches reports whether messages get from one node to another, directly or through other nodes.
func (j *judge) reaches(from, to string) bool {
	return j.truth.reachableFrom(from)[to]
}

// checkAgreement measures when all views agree after a change, and reports views that differ later although nothing has
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
	case difference != "" && j.viewsAgree && at-j.disturbedAt > undisturbedTime && at-j.changedAt > undisturbedTime:
		j.report("false", at, "views agreed, nothing happened, and then %s", difference)
		j.viewsAgree = false
		j.reportedDifference = true
	}
}

// difference describes the first view that differs from the correct one. It is empty if all views are correct.
func (j *judge) difference() string {
	for _, viewer := range j.account.Names {
		if !j.truth.nodes[viewer].canUpdateView() {
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

// memberDifference describes how a viewer's entry of another node differs from the correct one. It is empty if the
// entry is correct, or if the correct one is not certain.
func (j *judge) memberDifference(viewer, other string, m member.Member, known bool) string {
	actual := j.truth.nodes[other]
	if !actual.isCertain() || actual.running && !actual.serving {
		return ""
	}
	here := known && m.State.Present()
	should := actual.running && !actual.stopped && j.reaches(viewer, other)
	switch {
	case here && !should:
		return fmt.Sprintf("%s has %s as %s, but it is not reachable", viewer, other, m.State)
	case !here && should:
		return fmt.Sprintf("%s does not have %s, which is reachable", viewer, other)
	case here && m.Incarnation != j.node(other).incarnation:
		return fmt.Sprintf("%s has incarnation %v of %s, whose incarnation is %v",
			viewer, m.Incarnation, other, j.node(other).incarnation)
	}
	return ""
}
