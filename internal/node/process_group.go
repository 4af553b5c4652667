package node

import (
	"sync"

	"olivebridge/internal/handover"
)

// processGroup has the links from this process to the other running processes of its node: to the predecessor and to
// the successor. Both exist only if a successor starts before the predecessor has ended.
type processGroup struct {
	mu             sync.Mutex
	listener       *handover.Listener // accepts a successor; nil: none can connect
	predecessor    *handover.Link     // nil: there is no predecessor
	successor      *handover.Link     // nil: there is no successor
	successorReady bool               // the successor accepts clients
	ending         bool               // close was called
	// tookOver reports whether the predecessor has handed over its listener and its state. It is immutable once the
	// node's goroutines run.
	tookOver bool
	// predecessorAnswersClaims reports whether the predecessor answers claims of calls. It is immutable once the node's
	// goroutines run.
	predecessorAnswersClaims bool

	commands sync.Mutex     // serializes commands, so that all processes execute them in the same order
	running  sync.WaitGroup // goroutines that accept a successor or receive messages
}

// count returns the number of processes, including this one.
func (g *processGroup) count() int {
	return 1 + len(g.links())
}

// links returns the links to the other processes.
func (g *processGroup) links() []*handover.Link {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.linksLocked()
}

func (g *processGroup) linksLocked() []*handover.Link {
	var links []*handover.Link
	for _, link := range []*handover.Link{g.predecessor, g.successor} {
		if link != nil {
			links = append(links, link)
		}
	}
	return links
}

// predecessorLink returns the link to the predecessor; nil: there is none.
func (g *processGroup) predecessorLink() *handover.Link {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.predecessor
}

func (g *processGroup) setSuccessor(link *handover.Link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.successor = link
	g.successorReady = false
}

// setReady records that the successor accepts clients, if link leads to the successor.
func (g *processGroup) setReady(link *handover.Link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.successorReady = link == g.successor
}

// readySuccessor returns the link to a successor that accepts clients; nil: there is none.
func (g *processGroup) readySuccessor() *handover.Link {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.successorReady {
		return nil
	}
	return g.successor
}

// removeResult has the actions that are due in this process after another process of the node has ended.
type removeResult struct {
	// acceptSuccessor is set if the successor has ended, so that this process must wait for another one.
	acceptSuccessor bool
	// rejoinFleet is set if the ended successor accepted clients and held the node's membership in the fleet, which this
	// process must acquire again.
	rejoinFleet bool
}

// remove removes the link to a process that has ended, and returns the actions that are due.
func (g *processGroup) remove(link *handover.Link) removeResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	var r removeResult
	switch link {
	case g.successor:
		// A successor may listen at the hand-over path in place of this process before it reports that it is ready.
		r.acceptSuccessor = !g.ending
		r.rejoinFleet = !g.ending && g.successorReady
		g.successor = nil
		g.successorReady = false
	case g.predecessor:
		g.predecessor = nil
	}
	return r
}

// accept sets the listener for successors and runs the function accept in the background. close and closeListener close
// the listener, which must end the function. accept reports false, and does nothing, after close was called.
func (g *processGroup) accept(listener *handover.Listener, accept func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ending { // close waits for the goroutines, and none may be added after that
		return false
	}
	g.listener = listener
	g.running.Go(accept)
	return true
}

func (g *processGroup) closeListener() {
	g.mu.Lock()
	listener := g.listener
	g.listener = nil
	g.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
}

// close closes the listener and all links, and returns once the goroutines of the group have ended.
func (g *processGroup) close() {
	g.mu.Lock()
	g.ending = true
	links := g.linksLocked()
	g.mu.Unlock()
	g.closeListener()
	for _, link := range links {
		link.Close()
	}
	g.running.Wait()
}
