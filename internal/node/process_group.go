package node

import (
	"sync"

	"olivebridge/internal/handover"
)

// processGroup is this process and the other processes of its node: the predecessor and the successor, each for as long
// as it lives. It has both only while a third process starts.
type processGroup struct {
	mu             sync.Mutex
	listener       *handover.Listener // where a successor finds this process; nil: it has one, or can have none
	predecessor    *handover.Link     // nil: there is none
	successor      *handover.Link     // nil: there is none
	successorReady bool               // the successor takes clients
	ending         bool               // this process ends

	commands sync.Mutex     // one command at a time, so that all processes carry them out in one order
	running  sync.WaitGroup // goroutines that accept a successor or receive messages
}

// count counts the processes, this one included.
func (g *processGroup) count() int {
	return 1 + len(g.links())
}

// links go to the other processes.
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

func (g *processGroup) hasPredecessor() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.predecessor != nil
}

func (g *processGroup) setSuccessor(link *handover.Link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.successor = link
	g.successorReady = false
}

// setReady notes that a process takes clients, if it is the successor.
func (g *processGroup) setReady(link *handover.Link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.successorReady = link == g.successor
}

// readySuccessor is the successor that takes clients; nil: there is none.
func (g *processGroup) readySuccessor() *handover.Link {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.successorReady {
		return nil
	}
	return g.successor
}

// removeResult says what this process has to do after another one has ended.
type removeResult struct {
	// acceptSuccessor: the successor has ended, and this process waits for another one.
	acceptSuccessor bool
	// rejoinFleet: the successor took clients, and the node's membership with them.
	rejoinFleet bool
}

// remove notes that another process has ended.
func (g *processGroup) remove(link *handover.Link) removeResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	var r removeResult
	switch link {
	case g.successor:
		// It may have listened in place of this process, though it never said that it was ready.
		r.acceptSuccessor = !g.ending
		r.rejoinFleet = !g.ending && g.successorReady
		g.successor = nil
		g.successorReady = false
	case g.predecessor:
		g.predecessor = nil
	}
	return r
}

// accept runs accept in the background, on a listener that close or closeListener ends. It reports false if this
// process ends.
func (g *processGroup) accept(listener *handover.Listener, accept func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ending { // close waits for what runs
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

// close ends all links, and returns once nothing of the group runs.
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
