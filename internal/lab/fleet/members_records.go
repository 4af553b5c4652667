package fleet

import (
	"encoding/json"
	"time"

	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/record"
)

// applyRecord checks a line of a process's record against the actual state.
func (j *judge) applyRecord(at time.Duration, line record.Line) {
	if n := j.node(line.Node); n.stopped && at > n.stoppedAt+stopGrace && n.holder == line.PID {
		j.report("rig", at, "%s was stopped, but went on writing its record", line.Node)
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
			j.report("rig", at, "%s: cannot parse view: %v", line.Node, err)
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
			j.checkReceptions(at, line.Node, reports)
		}
	}
}

// applyIncarnation handles the start of a process that holds its node's name from now on.
func (j *judge) applyIncarnation(at time.Duration, line record.Line, incarnation member.Incarnation) {
	n := j.node(line.Node)
	before, again := n.incarnation, n.hasStarted
	if again && before.Home == incarnation.Home && incarnation.Number <= before.Number {
		j.report("life", at, "%s starts incarnation %v after %v", line.Node, incarnation, before)
	}
	n.incarnation = incarnation
	n.hasStarted = true
	n.holder = line.PID
	n.view = nil
	if again && j.changedAt > 0 { // after an upgrade the others still have to learn the new incarnation
		j.restartAgreement(at, true)
	}
}

// checkMassFailure checks the result of a process's check of many silent members against the actual state during that
// check. A node that was healthy all the time, and that the checker reaches directly or through other nodes, must not
// be among the lost. That holds during any cut.
func (j *judge) checkMassFailure(at time.Duration, checker string, lost []string) {
	for _, name := range lost {
		n := j.truth.nodes[name]
		if n == nil || j.truth.nodes[checker] == nil || j.truth.impairments > 0 {
			continue
		}
		if at-j.node(name).lastEventAt < massCheckTime || at-j.node(checker).lastEventAt < massCheckTime {
			continue
		}
		if n.canUpdateView() && !n.hasStranger && j.reaches(checker, name) {
			j.result.FalseDeaths++
			j.report("false", at, "%s declares %s dead after a check of many members, but other nodes reach it", checker, name)
		}
	}
}

// checkReceptions checks the messages that a process received against the cuts. It reports a cut that the rig did not
// make.
func (j *judge) checkReceptions(at time.Duration, node string, reports map[string]member.ReceptionReport) {
	for sender, heard := range reports {
		if j.truth.nodes[sender] == nil || j.truth.nodes[sender].hasStranger || at < j.node(sender).strangerUntil {
			continue // messages of a stranger under the same name, which is not cut off, count as the node's
		}
		cutAt, cut := j.cutAt[nodePair{sender, node}]
		if !cut || j.truth.impairments > 0 || j.node(node).resumedAt >= cutAt {
			continue
		}
		if last := time.Duration(heard.At); last > cutAt+inFlightTime && last <= at {
			j.report("rig", at, "%s was cut off from %s, but received a message from it %.1fs later",
				node, sender, (last - cutAt).Seconds())
			delete(j.cutAt, nodePair{sender, node})
		}
	}
}

// applyView checks a process's new view and stores it.
func (j *judge) applyView(at time.Duration, line record.Line, view member.View) {
	if j.truth.nodes[line.Node] == nil { // a stranger's own view
		return
	}
	n := j.node(line.Node)
	if n.view != nil && n.view.pid == line.PID && view.Number <= n.view.view.Number {
		j.report("order", at, "%s has view %d after %d", line.Node, view.Number, n.view.view.Number)
	}
	if n.holder != 0 && n.holder != line.PID {
		return // a process that does not hold the node's name any more, or not yet
	}
	before := n.view
	if before == nil {
		before = &latestView{}
	}
	for _, m := range view.Members {
		j.checkMember(at, line.Node, before.members[m.Name], m)
	}
	n.view = newLatestView(line.PID, view)
	j.checkAgreement(at)
}

// checkMember checks the new state of one member of a view against its previous state and against the actual one.
func (j *judge) checkMember(at time.Duration, viewer string, was, is member.Member) {
	if j.truth.nodes[is.Name] == nil {
		j.report("twice", at, "%s has a member %q, which is not a node", viewer, is.Name)
		return
	}
	if was.Incarnation.Home == is.Incarnation.Home && was.Incarnation.Number > is.Incarnation.Number {
		j.report("life", at, "%s accepts incarnation %v of %s after the newer %v",
			viewer, is.Incarnation, is.Name, was.Incarnation)
	}
	if was.State == is.State || is.Name == viewer {
		return
	}
	j.measureDetection(at, viewer, is)
	j.checkBriefStop(at, viewer, is)
	j.checkState(at, viewer, is)
}

// measureDetection measures the time that a viewer took to detect that a node was killed.
func (j *judge) measureDetection(at time.Duration, viewer string, is member.Member) {
	n := j.node(is.Name)
	if !n.killed || is.State.Present() || n.killSeenBy[viewer] || n.killedAt < j.node(viewer).undisturbedSince {
		return
	}
	n.killSeenBy[viewer] = true
	j.result.Detect.add(at - n.killedAt)
}

// checkBriefStop reports that a node was declared dead after a stop of at most briefStop.
func (j *judge) checkBriefStop(at time.Duration, viewer string, is member.Member) {
	n := j.node(is.Name)
	actual := j.truth.nodes[is.Name]
	if is.State != member.Dead || !n.wasStoppedBriefly || at-n.resumedAt >= undisturbedTime || !j.truth.isIntact() {
		return
	}
	if actual.running && !actual.leaving && is.Incarnation == n.incarnation &&
		j.node(viewer).undisturbedSince <= n.resumedAt {
		j.result.BriefDeaths++
		j.report("false", at, "%s declares %s dead, which was stopped for 1 s at most", viewer, is.Name)
	}
}

// checkState checks a member's new state against the actual one. A wrong state counts against the viewer only if both
// have been undisturbed for undisturbedTime.
func (j *judge) checkState(at time.Duration, viewer string, is member.Member) {
	switch is.State {
	case member.Suspect:
		if j.isHealthy(at, viewer, is) {
			j.result.Flaps++
		}
	case member.Dead:
		j.checkDead(at, viewer, is)
	case member.Left:
		j.checkLeft(at, viewer, is)
	}
}

// isHealthy reports whether a member runs in the incarnation that a viewer knows, no stranger uses its name, the viewer
// reaches it, and neither of the two was stopped within undisturbedTime.
func (j *judge) isHealthy(at time.Duration, viewer string, is member.Member) bool {
	n := j.node(is.Name)
	actual := j.truth.nodes[is.Name]
	runs := actual.running && !actual.stopped && !actual.leaving && !actual.hasStranger
	settled := at >= n.excusedUntil && at >= j.node(viewer).excusedUntil
	return runs && settled && is.Incarnation == n.incarnation && j.reaches(viewer, is.Name)
}

func (j *judge) checkDead(at time.Duration, viewer string, is member.Member) {
	n := j.node(is.Name)
	actual := j.truth.nodes[is.Name]
	if j.isHealthy(at, viewer, is) && actual.serving && n.holderHasView() {
		j.result.FalseDeaths++
		if at-j.disturbedAt > undisturbedTime && j.truth.heavyLosses == 0 {
			j.report("false", at, "%s declares %s dead, which is healthy", viewer, is.Name)
		}
		return
	}
	knowsLeave := n.endedAt-j.disturbedAt > leaveQuietTime && at >= j.node(viewer).excusedUntil
	if n.leftAsPlanned && !actual.running && knowsLeave {
		j.report("told", at, "%s declares %s dead, which left as planned", viewer, is.Name)
	}
}

func (j *judge) checkLeft(at time.Duration, viewer string, is member.Member) {
	n := j.node(is.Name)
	actual := j.truth.nodes[is.Name]
	switch {
	case j.isHealthy(at, viewer, is) && at-j.disturbedAt > undisturbedTime:
		j.report("told", at, "%s says that %s has left, but it is healthy", viewer, is.Name)
	case !n.leftAsPlanned && !actual.running && n.endedAt > 0:
		j.report("told", at, "%s says that %s left as planned, but it was killed", viewer, is.Name)
	}
}

// holderHasView reports whether the process that holds the node's name has recorded a view, so that others may know its
// incarnation.
func (n *nodeHistory) holderHasView() bool {
	return n.view != nil && n.holder == n.view.pid
}
