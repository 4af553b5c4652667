package fleet

import (
	"encoding/json"
	"time"

	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/record"
)

// applyRecord holds a line of a process's record against what is true.
func (j *judge) applyRecord(at time.Duration, line record.Line) {
	if n := j.node(line.Node); n.stopped && at > n.stoppedAt+stopTakes && n.holder == line.PID {
		j.report("rig", at, "%s was stopped, and went on believing", line.Node)
	}
	switch line.Kind {
	case "took":
		var incarnation member.Incarnation
		if json.Unmarshal(line.Data, &incarnation) == nil {
			j.applyIncarnation(at, line, incarnation)
		}
	case "view":
		var view member.View
		if err := json.Unmarshal(line.Data, &view); err != nil {
			j.report("rig", at, "%s: a view that cannot be read: %v", line.Node, err)
			return
		}
		j.applyView(at, line, view)
	case "roll":
		var check struct {
			Lost []string `json:"lost"`
		}
		if json.Unmarshal(line.Data, &check) == nil {
			j.checkMassFailure(at, line.Node, check.Lost)
		}
	case "heard":
		var reports map[string]member.ReceptionReport
		if json.Unmarshal(line.Data, &reports) == nil {
			j.checkHeard(at, line.Node, reports)
		}
	}
}

// applyIncarnation notes that a process has taken its node's place.
func (j *judge) applyIncarnation(at time.Duration, line record.Line, incarnation member.Incarnation) {
	n := j.node(line.Node)
	before, again := n.incarnation, n.hasStarted
	if again && before.Home == incarnation.Home && incarnation.Number <= before.Number {
		j.report("life", at, "%s begins incarnation %v after %v", line.Node, incarnation, before)
	}
	n.incarnation = incarnation
	n.hasStarted = true
	n.holder = line.PID
	n.view = nil
	if again && j.changedAt > 0 { // in an upgrade, nothing but the incarnation changes: that has to get around, too
		j.restartAgreement(at, true)
	}
}

// checkMassFailure holds a process's check of many silent members against what was true for as long as it may have
// lasted: whoever was well all the time, and was reached by anybody whom the process reaches, is none of the lost. That
// holds in any cut.
func (j *judge) checkMassFailure(at time.Duration, checker string, lost []string) {
	for _, name := range lost {
		n := j.truth.nodes[name]
		if n == nil || j.truth.nodes[checker] == nil || j.truth.impairments > 0 {
			continue
		}
		if at-j.node(name).touchedAt < massCheckTakes || at-j.node(checker).touchedAt < massCheckTakes {
			continue
		}
		if n.canBelieve() && !n.hasStranger && j.reaches(checker, name) {
			j.result.FalseDeaths++
			j.report("false", at, "%s calls the roll, and gives up %s, which others reach", checker, name)
		}
	}
}

// checkHeard holds what a process heard from others against the cuts: it finds cuts that the rig did not make.
func (j *judge) checkHeard(at time.Duration, node string, reports map[string]member.ReceptionReport) {
	for sender, heard := range reports {
		if j.truth.nodes[sender] == nil || j.truth.nodes[sender].hasStranger || at < j.node(sender).strangerUntil {
			continue // a stranger under its name, which is not cut off, is heard as it
		}
		cutAt, cut := j.cutAt[nodePair{sender, node}]
		if !cut || j.truth.impairments > 0 || j.node(node).resumedAt >= cutAt {
			continue
		}
		if last := time.Duration(heard.At); last > cutAt+inFlightTime && last <= at {
			j.report("rig", at, "%s was cut off from %s, and heard it %.1fs later", node, sender, (last - cutAt).Seconds())
			delete(j.cutAt, nodePair{sender, node})
		}
	}
}

// applyView takes a process's new view.
func (j *judge) applyView(at time.Duration, line record.Line, view member.View) {
	if j.truth.nodes[line.Node] == nil { // a stranger's own view
		return
	}
	n := j.node(line.Node)
	if n.view != nil && n.view.pid == line.PID && view.Number <= n.view.view.Number {
		j.report("order", at, "%s has view %d after %d", line.Node, view.Number, n.view.view.Number)
	}
	if n.holder != 0 && n.holder != line.PID {
		return // a process that has yielded the place, or has not got it yet
	}
	before := n.view
	if before == nil {
		before = &belief{}
	}
	for _, m := range view.Members {
		j.checkMember(at, line.Node, before.members[m.Name], m)
	}
	n.view = newBelief(line.PID, view)
	j.checkAgreement(at)
}

// checkMember holds one member of a view, as it was and is, against what is true.
func (j *judge) checkMember(at time.Duration, viewer string, was, is member.Member) {
	if j.truth.nodes[is.Name] == nil {
		j.report("twice", at, "%s has a member %q, which is no node", viewer, is.Name)
		return
	}
	if was.Incarnation.Home == is.Incarnation.Home && was.Incarnation.Number > is.Incarnation.Number {
		j.report("life", at, "%s takes incarnation %v of %s for newer than %v",
			viewer, is.Incarnation, is.Name, was.Incarnation)
	}
	if was.State == is.State || is.Name == viewer {
		return
	}
	j.measureDetection(at, viewer, is)
	j.checkBriefStop(at, viewer, is)
	j.checkState(at, viewer, is)
}

// measureDetection measures how long a viewer took to see that a node was killed.
func (j *judge) measureDetection(at time.Duration, viewer string, is member.Member) {
	n := j.node(is.Name)
	if !n.killed || is.State.Present() || n.killSeenBy[viewer] || n.killedAt < j.node(viewer).undisturbedSince {
		return
	}
	n.killSeenBy[viewer] = true
	j.result.Detect.add(at - n.killedAt)
}

// checkBriefStop finds that a node is called dead that was stopped for a short time.
func (j *judge) checkBriefStop(at time.Duration, viewer string, is member.Member) {
	n := j.node(is.Name)
	actual := j.truth.nodes[is.Name]
	if is.State != member.Dead || !n.wasStoppedBriefly || at-n.resumedAt >= calmFor || !j.truth.isIntact() {
		return
	}
	if actual.running && !actual.leaving && is.Incarnation == n.incarnation &&
		j.node(viewer).undisturbedSince <= n.resumedAt {
		j.result.BriefDeaths++
		j.report("false", at, "%s calls %s dead, which stood still for 1 s at most", viewer, is.Name)
	}
}

// checkState holds a member's new state against what is true. Only what a process believes of another while both have
// been well for a while is held against it.
func (j *judge) checkState(at time.Duration, viewer string, is member.Member) {
	switch is.State {
	case member.Suspect:
		if j.isWell(at, viewer, is) {
			j.result.Flaps++
		}
	case member.Dead:
		j.checkDead(at, viewer, is)
	case member.Left:
		j.checkLeft(at, viewer, is)
	}
}

// isWell reports whether a member runs, in the incarnation that a viewer believes, and reaches it, and both have not
// been disturbed of late.
func (j *judge) isWell(at time.Duration, viewer string, is member.Member) bool {
	n := j.node(is.Name)
	actual := j.truth.nodes[is.Name]
	runs := actual.running && !actual.stopped && !actual.leaving && !actual.hasStranger
	settled := at >= n.settledAt && at >= j.node(viewer).settledAt
	return runs && settled && is.Incarnation == n.incarnation && j.reaches(viewer, is.Name)
}

func (j *judge) checkDead(at time.Duration, viewer string, is member.Member) {
	n := j.node(is.Name)
	actual := j.truth.nodes[is.Name]
	if j.isWell(at, viewer, is) && actual.serving && n.holderHasView() {
		j.result.FalseDeaths++
		if at-j.disturbedAt > calmFor && j.truth.heavyLosses == 0 {
			j.report("false", at, "%s calls %s dead, which is well", viewer, is.Name)
		}
		return
	}
	heardOfLeave := n.endedAt-j.disturbedAt > quietFor && at >= j.node(viewer).settledAt
	if n.leftAsPlanned && !actual.running && heardOfLeave {
		j.report("told", at, "%s calls %s dead, which left as planned", viewer, is.Name)
	}
}

func (j *judge) checkLeft(at time.Duration, viewer string, is member.Member) {
	n := j.node(is.Name)
	actual := j.truth.nodes[is.Name]
	switch {
	case j.isWell(at, viewer, is) && at-j.disturbedAt > calmFor:
		j.report("told", at, "%s says that %s has left, which is well", viewer, is.Name)
	case !n.leftAsPlanned && !actual.running && n.endedAt > 0:
		j.report("told", at, "%s says that %s left as planned, which was killed", viewer, is.Name)
	}
}

// holderHasView reports whether the node's process has been there for long enough that others may know its incarnation.
func (n *nodeHistory) holderHasView() bool {
	return n.view != nil && n.holder == n.view.pid
}
