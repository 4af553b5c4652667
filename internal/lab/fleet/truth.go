package fleet

// statedLoss is the documented fraction of lost messages up to which a healthy process is never declared dead. Beyond
// it false deaths are only counted, and the views have to agree again after the loss has ended.
const statedLoss = 0.1

// truth is the actual state of the nodes and of the network at one time. The rig knows it, as it caused it.
type truth struct {
	names       []string
	nodes       map[string]*nodeState
	cuts        map[nodePair]int           // number of active cuts
	impairments int                        // number of active impairments
	heavyLosses int                        // of those, the ones that lose more than statedLoss
	reachable   map[string]map[string]bool // cached results of reachableFrom, cleared at each event
}

// nodePair is an ordered pair of nodes.
type nodePair struct{ from, to string }

// reversed returns the pair of the opposite direction.
func (p nodePair) reversed() nodePair {
	return nodePair{from: p.to, to: p.from}
}

// nodeState is the actual state of one node.
type nodeState struct {
	running     bool // a process runs under the node's name
	serving     bool // the process has reported that it serves
	leaving     bool // the process was sent SIGTERM
	stopped     bool
	hasStranger bool // another process uses the node's name
}

func newTruth(names []string) *truth {
	t := &truth{names: names, nodes: map[string]*nodeState{}, cuts: map[nodePair]int{}}
	for _, name := range names {
		t.nodes[name] = &nodeState{}
	}
	return t
}

// apply updates the state by an event.
func (t *truth) apply(e Event) {
	t.reachable = map[string]map[string]bool{}
	switch {
	case e.Node != "":
		t.nodes[e.Node].apply(e)
	case e.Ails != nil:
		t.applyImpairment(e)
	default:
		t.applyCut(e)
	}
}

// change returns the difference that an event makes to the number of active cuts or impairments.
func (e Event) change() int {
	if e.Ended {
		return -1
	}
	return 1
}

func (t *truth) applyImpairment(e Event) {
	t.impairments += e.change()
	if e.Ails.Lose > statedLoss {
		t.heavyLosses += e.change()
	}
}

func (t *truth) applyCut(e Event) {
	for _, from := range e.From {
		for _, to := range e.To {
			if from != to {
				t.cuts[nodePair{from, to}] += e.change()
			}
		}
	}
}

func (n *nodeState) apply(e Event) {
	switch e.What {
	case eventStarted:
		*n = nodeState{running: true, hasStranger: n.hasStranger}
	case eventServes:
		n.serving = true
	case eventKilled, eventEnded:
		*n = nodeState{hasStranger: n.hasStranger}
	case eventTerminated:
		n.leaving = true
	case eventStopped:
		n.stopped = true
	case eventResumed:
		n.stopped = false
	case eventStrangerStarted:
		n.hasStranger = true
	case eventStrangerKilled:
		n.hasStranger = false
	}
}

// isOpen reports whether messages from one node to another are forwarded.
func (t *truth) isOpen(from, to string) bool {
	return t.cuts[nodePair{from, to}] == 0
}

// isSymmetric reports whether the correct views are known: no message is lost by chance, and each cut applies to both
// directions.
func (t *truth) isSymmetric() bool {
	if t.impairments > 0 {
		return false
	}
	for pair, cuts := range t.cuts {
		if (cuts > 0) != (t.cuts[pair.reversed()] > 0) {
			return false
		}
	}
	return true
}

// isIntact reports whether there is no cut and no impairment.
func (t *truth) isIntact() bool {
	if t.impairments > 0 {
		return false
	}
	for _, cuts := range t.cuts {
		if cuts > 0 {
			return false
		}
	}
	return true
}

// reachableFrom returns the set of nodes that a node can reach, directly or through other nodes. It contains the node
// itself.
func (t *truth) reachableFrom(name string) map[string]bool {
	if reached := t.reachable[name]; reached != nil {
		return reached
	}
	reached := map[string]bool{name: true}
	queue := []string{name}
	for len(queue) > 0 {
		from := queue[0]
		queue = queue[1:]
		for _, to := range t.names {
			if !reached[to] && t.nodes[to].answers() && t.isOpen(from, to) && t.isOpen(to, from) {
				reached[to] = true
				queue = append(queue, to)
			}
		}
	}
	if t.reachable != nil {
		t.reachable[name] = reached
	}
	return reached
}

// answers reports whether the node's process can answer messages now.
func (n *nodeState) answers() bool {
	return n.running && !n.stopped
}

// isCertain reports whether the correct view of the node is known: during a leave it is not.
func (n *nodeState) isCertain() bool {
	return !n.leaving
}

// canUpdateView reports whether the node's process can update its view.
func (n *nodeState) canUpdateView() bool {
	return n.running && n.serving && !n.stopped && !n.leaving
}

// timeline applies the events of a run in the order of time.
type timeline struct {
	*truth
	events []Event
	next   int
}
