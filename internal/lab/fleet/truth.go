package fleet

// statedLoss is the share of messages that may be lost without a false death. Beyond it false deaths are counted, and
// the views have to agree again when it is over.
const statedLoss = 0.1

// truth is how things are with the nodes at one time, as the rig knows from what it did.
type truth struct {
	names       []string
	nodes       map[string]*nodeState
	cuts        map[nodePair]int           // in force
	impairments int                        // in force
	heavyLosses int                        // of them, those that lose more than statedLoss
	reachable   map[string]map[string]bool // results of reachableFrom since the last event
}

// nodePair is an ordered pair of nodes.
type nodePair struct{ from, to string }

// reversed is the way back.
func (p nodePair) reversed() nodePair {
	return nodePair{from: p.to, to: p.from}
}

// nodeState is how things are with one node.
type nodeState struct {
	running     bool // a process runs that may take part
	serving     bool // and has said that it serves
	leaving     bool // it was told to end
	stopped     bool
	hasStranger bool // a stranger uses its name
}

func newTruth(names []string) *truth {
	t := &truth{names: names, nodes: map[string]*nodeState{}, cuts: map[nodePair]int{}}
	for _, name := range names {
		t.nodes[name] = &nodeState{}
	}
	return t
}

// apply applies an event.
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

// change is by how much an event changes the number of cuts or impairments in force.
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

// isOpen reports whether messages go from one node to another.
func (t *truth) isOpen(from, to string) bool {
	return t.cuts[nodePair{from, to}] == 0
}

// isSymmetric reports whether one can say what the nodes ought to believe: nothing is lost by chance, and nothing is
// cut one way only.
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

// isIntact reports whether nothing at all is cut or impaired.
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

// reachableFrom is the nodes that a node can reach, over others if need be, itself included.
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

// isCertain reports whether one can say whether the node is there: it is not just about to end.
func (n *nodeState) isCertain() bool {
	return !n.leaving
}

// canBelieve reports whether the node's process can believe anything now.
func (n *nodeState) canBelieve() bool {
	return n.running && n.serving && !n.stopped && !n.leaving
}

// timeline goes through the events of a run in the order of time.
type timeline struct {
	*truth
	events []Event
	next   int
}
