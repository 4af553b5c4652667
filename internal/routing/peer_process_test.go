package routing

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/balancer"
)

// memoryLink is one direction of a link between two processes: the process to, as the other one sees it.
type memoryLink struct {
	to     *Router
	back   *memoryLink // the opposite direction
	silent atomic.Bool // messages are lost
}

func (l *memoryLink) Claim(number uint64, call OpenCall) {
	if !l.silent.Load() {
		l.to.HandleClaim(l.back, number, call)
	}
}

func (l *memoryLink) AnswerClaim(number uint64, granted bool) {
	if !l.silent.Load() {
		l.to.HandleClaimResult(number, granted)
	}
}

func (l *memoryLink) Opened(calls []OpenCall) {
	if !l.silent.Load() {
		l.to.HandleOpened(l.back, calls)
	}
}

func (l *memoryLink) Closed(clientRequestID string) {
	if !l.silent.Load() {
		l.to.HandleClosed(l.back, clientRequestID)
	}
}

// upgradedNode is a node whose processes succeed one another. Its servers run a call until finish is closed.
type upgradedNode struct {
	t         *testing.T
	ctx       context.Context
	stops     []context.CancelFunc // by process
	processes []*Router            // in the order of their starts
	links     []*memoryLink        // of each process but the first to its predecessor
	runs      atomic.Int64         // number of attempts at servers
	finish    chan bool
}

// startNode starts a node with a number of processes, all of which accept calls.
func startNode(t *testing.T, processes int) *upgradedNode {
	n := &upgradedNode{t: t, ctx: t.Context(), finish: make(chan bool)}
	for range processes {
		n.startProcess(true)
	}
	return n
}

// startProcess starts the next process. answersClaims is false if its predecessor is of an earlier build.
func (n *upgradedNode) startProcess(answersClaims bool) {
	config := Config{
		Settings:         testSettings(),
		Seed:             1,
		InitialEndpoints: fullList(7, 8),
		Transport:        transportFunc(n.run),
		Watcher:          idleWatcher{},
		Log:              slog.New(slog.DiscardHandler),
	}
	if len(n.processes) > 0 {
		predecessor := n.processes[len(n.processes)-1]
		up := &memoryLink{to: predecessor}
		up.back = &memoryLink{back: up}
		up.silent.Store(!answersClaims)
		up.back.silent.Store(!answersClaims)
		config.Predecessor = Predecessor{Process: up, AnswersClaims: answersClaims}
		n.links = append(n.links, up)
	}
	r := New(config)
	if config.Predecessor.Process != nil {
		up := n.links[len(n.links)-1]
		up.back.to = r
		up.to.AttachSuccessor(up.back)
	}
	ctx, stop := context.WithCancel(n.ctx)
	go r.Run(ctx)
	n.processes = append(n.processes, r)
	n.stops = append(n.stops, stop)
	synctest.Wait()
}

func (n *upgradedNode) run(ctx context.Context, _ Attempt) AttemptResult {
	n.runs.Add(1)
	select {
	case <-n.finish:
		return AttemptResult{Result: balancer.OK}
	case <-ctx.Done():
		return AttemptResult{Result: balancer.Cancelled}
	}
}

// call sends a call to a process and returns a channel with its verdict. It returns once the call is open or answered.
func (n *upgradedNode) call(process, class int, id string) <-chan Verdict {
	verdict := make(chan Verdict, 1)
	c := newCall(class, 2*time.Second)
	c.ClientRequestID = id
	go func() {
		answer, _ := n.processes[process].Handle(n.ctx, c)
		verdict <- answer.Verdict
	}()
	synctest.Wait()
	return verdict
}

// end ends the predecessor at the head of a link (last false) or the successor behind it (last true). The process does
// not answer its open calls.
func (n *upgradedNode) end(link int, successor bool) {
	up := n.links[link]
	if successor {
		n.stops[link+1]()
		up.to.EndPeer(up.back)
	} else {
		n.stops[link]()
		up.back.to.EndPeer(up)
	}
	synctest.Wait()
}

func (n *upgradedNode) stop() {
	for _, stop := range n.stops {
		stop()
	}
	synctest.Wait()
}

// TestCopiedIDInOtherProcess guards against an id that is open in one process of a node running again in another one
// during an upgrade: the copy of a call must get an error, whichever process holds the call and whichever gets the
// copy.
func TestCopiedIDInOtherProcess(t *testing.T) {
	const a, b, c = 0, 1, 2 // processes in the order of their starts
	for name, test := range map[string]struct {
		processes    int
		holder, copy int
		meanwhile    func(n *upgradedNode) // between the call and its copy
		want         Verdict               // of the copy
		repeats      bool                  // a copy that may run twice runs: the process that got the call is dead or too old
	}{
		"open in the predecessor":                 {processes: 2, holder: a, copy: b, want: Duplicate},
		"open in the successor":                   {processes: 2, holder: b, copy: a, want: Duplicate},
		"open in the same process":                {processes: 2, holder: b, copy: b, want: Duplicate},
		"open in the predecessor's predecessor":   {processes: 3, holder: a, copy: c, want: Duplicate},
		"open in the successor's successor":       {processes: 3, holder: c, copy: a, want: Duplicate},
		"open in the successor's successor, near": {processes: 3, holder: c, copy: b, want: Duplicate},
		"opened before the successor started": {processes: 1, holder: a, copy: b, want: Duplicate,
			meanwhile: func(n *upgradedNode) { n.startProcess(true) }},
		"the predecessor dies": {processes: 2, holder: a, copy: b, want: Duplicate, repeats: true,
			meanwhile: func(n *upgradedNode) { n.end(0, false) }},
		"the predecessor's predecessor dies": {processes: 3, holder: a, copy: c, want: Duplicate, repeats: true,
			meanwhile: func(n *upgradedNode) { n.end(0, false) }},
		"both predecessors die": {processes: 3, holder: a, copy: c, want: Duplicate, repeats: true,
			meanwhile: func(n *upgradedNode) { n.end(0, false); n.end(1, false) }},
		"the successor dies": {processes: 2, holder: b, copy: a, want: Duplicate, repeats: true,
			meanwhile: func(n *upgradedNode) { n.end(0, true) }},
		"the successor dies, and another one starts": {processes: 2, holder: b, copy: c, want: Duplicate, repeats: true,
			meanwhile: func(n *upgradedNode) {
				n.end(0, true)
				n.processes = append(n.processes[:1], n.processes[0]) // the next process succeeds the first one
				n.startProcess(true)
			}},
		"the successor hangs": {processes: 2, holder: b, copy: a, want: Duplicate,
			meanwhile: func(n *upgradedNode) { n.links[0].silent.Store(true); n.links[0].back.silent.Store(true) }},
		"the predecessor hangs": {processes: 2, holder: a, copy: b, want: Duplicate,
			meanwhile: func(n *upgradedNode) { n.links[0].silent.Store(true); n.links[0].back.silent.Store(true) }},
		"the predecessor is of an earlier build": {processes: 1, holder: a, copy: b, want: Failed, repeats: true,
			meanwhile: func(n *upgradedNode) { n.startProcess(false) }},
	} {
		t.Run(name, func(t *testing.T) {
			for _, class := range []int{nonIdempotentClass, idempotentClass} {
				synctest.Test(t, func(t *testing.T) {
					n := startNode(t, test.processes)
					n.call(test.holder, class, "order")
					before := n.runs.Load()
					if test.meanwhile != nil {
						test.meanwhile(n)
					}
					want, runs := test.want, int64(0)
					if test.repeats && class == idempotentClass {
						want, runs = Served, 1
					}
					answer := n.call(test.copy, class, "order")
					time.Sleep(maxClaimTimeout)
					ran := n.runs.Load() - before
					close(n.finish)
					if got := <-answer; got != want || ran != runs {
						t.Errorf("class %d: the copy got %v and ran %d times; want %v and %d", class, got, ran, want, runs)
					}
					n.stop()
				})
			}
		})
	}
}

// TestCopyWaitsWhileCallEnds guards against a copy that runs because the call and its process end while the claim of
// the copy waits for an answer: that the call is not open any more does not mean that it has not run.
func TestCopyWaitsWhileCallEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t, 2)
		up := n.links[0]
		up.silent.Store(true) // the claim is on its way for long
		copied := n.call(1, nonIdempotentClass, "order")
		n.call(0, nonIdempotentClass, "order")
		close(n.finish)
		synctest.Wait()
		n.end(0, false)
		if got := <-copied; got != Duplicate || n.runs.Load() != 1 {
			t.Errorf("the copy got %v, and the call ran %d times; want %v and once", got, n.runs.Load(), Duplicate)
		}
		n.stop()
	})
}

// TestSameIDAtOnce guards against two processes that open the same id at the same moment: one call runs.
func TestSameIDAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t, 3)
		verdicts := make(chan Verdict, len(n.processes))
		for _, process := range n.processes {
			c := newCall(nonIdempotentClass, 2*time.Second)
			c.ClientRequestID = "order"
			go func() {
				answer, _ := process.Handle(n.ctx, c)
				verdicts <- answer.Verdict
			}()
		}
		synctest.Wait()
		close(n.finish)
		got := map[Verdict]int{}
		for range n.processes {
			got[<-verdicts]++
		}
		if got[Served] > 1 || got[Served]+got[Duplicate] != len(n.processes) || n.runs.Load() > 1 {
			t.Errorf("got %v and %d runs, want one at most served and run, the others duplicates", got, n.runs.Load())
		}
		n.stop()
	})
}

// TestClaimDoesNotDelayCalls guards against calls that wait for the other process without a bound, or fail although no
// call with their id is open: what the caller gets, and after how long, while the predecessor lives, hangs or ends.
func TestClaimDoesNotDelayCalls(t *testing.T) {
	for name, test := range map[string]struct {
		answersClaims bool
		before        func(n *upgradedNode)
		during        func(n *upgradedNode) // 100 ms after the call
		class         int
		want          Verdict
		atMost        time.Duration
	}{
		"the predecessor answers": {answersClaims: true, class: nonIdempotentClass, want: Served},
		"the predecessor has ended": {answersClaims: true, class: nonIdempotentClass, want: Served,
			before: func(n *upgradedNode) { n.end(0, false) }},
		"the predecessor hangs": {answersClaims: true, class: nonIdempotentClass, want: Failed, atMost: maxClaimTimeout,
			before: func(n *upgradedNode) { n.links[0].silent.Store(true) }},
		"the predecessor hangs, may run twice": {answersClaims: true, want: Served, atMost: maxClaimTimeout,
			before: func(n *upgradedNode) { n.links[0].silent.Store(true) }},
		"the predecessor hangs and ends": {answersClaims: true, class: nonIdempotentClass, want: Served,
			atMost: 100 * time.Millisecond,
			before: func(n *upgradedNode) { n.links[0].silent.Store(true) },
			during: func(n *upgradedNode) { n.end(0, false) }},
		"earlier build":                {class: nonIdempotentClass, want: Failed},
		"earlier build, may run twice": {want: Served},
		"earlier build, has ended": {class: nonIdempotentClass, want: Served,
			before: func(n *upgradedNode) { n.end(0, false) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := startNode(t, 1)
				n.startProcess(test.answersClaims)
				close(n.finish)
				if test.before != nil {
					test.before(n)
				}
				begun := time.Now()
				verdict := n.call(1, test.class, "order")
				if test.during != nil {
					time.Sleep(100 * time.Millisecond)
					test.during(n)
				}
				got := <-verdict
				if waited := time.Since(begun); got != test.want || waited > test.atMost {
					t.Errorf("got %v after %v, want %v after at most %v", got, waited, test.want, test.atMost)
				}
				n.stop()
			})
		})
	}
}

// TestEndedCallsAreForgotten guards against ids that stay open in another process after their calls have ended, or for
// ever after that process has died.
func TestEndedCallsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t, 3)
		var verdicts []<-chan Verdict
		for i, id := range []string{"x", "y", "z"} {
			verdicts = append(verdicts, n.call(i, nonIdempotentClass, id))
		}
		close(n.finish)
		for _, verdict := range verdicts {
			if got := <-verdict; got != Served {
				t.Errorf("got %v, want served", got)
			}
		}
		n.checkForgotten("after all calls have ended")
		n.finish = make(chan bool)
		n.call(0, nonIdempotentClass, "u")
		n.call(2, nonIdempotentClass, "v")
		n.end(0, false)
		n.end(1, true)
		time.Sleep(2*time.Second + watchdogDelay + expiryInterval)
		n.processes = n.processes[1:2]
		n.checkForgotten("after the calls of dead processes have expired")
		n.stop()
	})
}

// checkForgotten checks that no process counts a call as open in another one.
func (n *upgradedNode) checkForgotten(when string) {
	n.t.Helper()
	synctest.Wait()
	for i, process := range n.processes {
		open := make(chan int, 1)
		process.post(inspectEvent(func(r *Router) { open <- len(r.calls.inOtherProcess) + len(r.peers.claims) }))
		if got := <-open; got > 0 {
			n.t.Errorf("%s: process %d has %d calls of others, want none", when, i, got)
		}
	}
}
