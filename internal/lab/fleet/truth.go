package fleet

// truth is how things are with the processes at one time, as the rig knows from what it did.
type truth struct {
	names       []string
	nodes       map[string]*nodeState
	cuts        map[[2]string]int          // ordered pairs
	impairments int                        // in force
	heavyLosses int                        // of them, those that lose more than what is stated for false deaths
	reachable   map[string]map[string]bool // whom each node can reach, as long as nothing happens
}

// statedLoss is the share of messages that may be lost without a false death: beyond it they are counted, and the views have
// to agree again when it is over.
const statedLoss = 0.1

// nodeState is how it is with one node.
type nodeState struct {
	running     bool // a process runs that may take part
	serving     bool // and has said that it serves
	leaving     bool // it was told to end
	stopped     bool
	hasStranger bool // a stranger lives under its name
}

func newTruth(names []string) *truth {
	t := &truth{names: names, nodes: map[string]*nodeState{}, cuts: map[[2]string]int{}}
	for _, n := range names {
		t.nodes[n] = &nodeState{}
	}
	return t
}

// apply takes in what happened.
func (t *truth) apply(e Event) {
	t.reachable = map[string]map[string]bool{}
	if e.Node == "" {
		by := 1
		if e.Ended {
			by = -1
		}
		if e.Ails != nil {
			t.impairments += by
			if e.Ails.Lose > statedLoss {
				t.heavyLosses += by
			}
			return
		}
		for _, a := range e.From {
			for _, b := range e.To {
				if a != b {
					t.cuts[[2]string{a, b}] += by
				}
			}
		}
		return
	}
	n := t.nodes[e.Node]
	switch e.What {
	case "started":
		*n = nodeState{running: true, hasStranger: n.hasStranger}
	case "serves":
		n.serving = true
	case "killed", "ended":
		*n = nodeState{hasStranger: n.hasStranger}
	case "told SIGTERM":
		n.leaving = true
	case "stopped":
		n.stopped = true
	case "goes on":
		n.stopped = false
	case "twin":
		n.hasStranger = true
	case "twin killed":
		n.hasStranger = false
	}
}

// isOpen reports whether messages go from a to b.
func (t *truth) isOpen(a, b string) bool { return t.cuts[[2]string{a, b}] == 0 }

// isSymmetric reports whether what lies between the nodes is such that one can say what they ought to believe: nothing is lost
// by chance, and nothing is cut one way only.
func (t *truth) isSymmetric() bool {
	if t.impairments > 0 {
		return false
	}
	for p, n := range t.cuts {
		if (n > 0) != (t.cuts[[2]string{p[1], p[0]}] > 0) {
			return false
		}
	}
	return true
}

// isIntact reports whether nothing at all is cut or ailing.
func (t *truth) isIntact() bool {
	if t.impairments > 0 {
		return false
	}
	for _, n := range t.cuts {
		if n > 0 {
			return false
		}
	}
	return true
}

// reachableFrom is the nodes that a node can reach, over others if need be, itself included.
func (t *truth) reachableFrom(name string) map[string]bool {
	if part := t.reachable[name]; part != nil {
		return part
	}
	part, queue := map[string]bool{name: true}, []string{name}
	for len(queue) > 0 {
		from := queue[0]
		queue = queue[1:]
		for _, n := range t.names {
			if l := t.nodes[n]; !part[n] && l.running && !l.stopped && t.isOpen(from, n) && t.isOpen(n, from) {
				part[n] = true
				queue = append(queue, n)
			}
		}
	}
	if t.reachable != nil {
		t.reachable[name] = part
	}
	return part
}

// isCertain reports whether one can say whether a node is there: it is not just about to end.
func (l *nodeState) isCertain() bool { return !l.leaving }

// canBelieve reports whether a node's process can believe anything now.
func (l *nodeState) canBelieve() bool { return l.running && l.serving && !l.stopped && !l.leaving }

// timeline goes through what happened, in the order of time.
type timeline struct {
	*truth
	events []Event
	next   int
}
