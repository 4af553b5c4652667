package member

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// agentTick is the interval of an agent's loop.
	agentTick = 100 * time.Millisecond
	// minProcessPause is from which time between two ticks on the process is said to have been paused.
	minProcessPause = time.Second
	// addrsWriteInterval is how often the members' addresses are written, if there is a new view.
	addrsWriteInterval = 2 * time.Second
	// receptionInterval is how often the record is given the state of what was received.
	receptionInterval = time.Second
)

// agent runs memberlist for one incarnation of the node, for as long as this process has the node's membership of the
// fleet. It implements memberlist's delegates, whose methods are called by memberlist's goroutines.
type agent struct {
	service      *Service
	incarnation  Incarnation
	list         *memberlist.Memberlist
	transport    *transport
	massFailures *massFailureDetector
	broadcasts   memberlist.TransmitLimitedQueue // messages of Service.Broadcast
	knownAddrs   []string                        // of members that were present before this incarnation
	joining      atomic.Bool                     // an attempt to join is under way

	stop      chan struct{} // closed by close
	closeOnce sync.Once
	tasks     sync.WaitGroup

	// These two are owned by the agent's loop.
	isolated    bool                 // nobody was heard for isolationTimeout
	lastRejoins map[string]time.Time // the last attempt to join each missing address

	mu           sync.Mutex
	settled      bool // see Claim
	leaving      bool // the node is shutting down as planned
	predecessor  bool // for predecessorTime: the node's other process may still be finishing its work
	lastConflict time.Time
	// announcedDepartures are the members that are said to be gone, and whether they said so themselves.
	announcedDepartures map[string]bool
	suspectedNumbers    map[string]uint32 // memberlist's incarnation number that is suspected, by member
	latestNumbers       map[string]uint32 // the latest of these numbers that others have sent, by member
}

// newAgent starts an agent on a transport that is open. It owns the transport from then on, but if it fails.
func newAgent(s *Service, t *transport, incarnation Incarnation, predecessor bool) (*agent, error) {
	a := &agent{
		service:             s,
		incarnation:         incarnation,
		predecessor:         predecessor,
		transport:           t,
		stop:                make(chan struct{}),
		announcedDepartures: map[string]bool{},
		suspectedNumbers:    map[string]uint32{},
		latestNumbers:       map[string]uint32{},
		lastRejoins:         map[string]time.Time{},
		knownAddrs:          readKnownAddrs(s.config.Directory),
	}
	a.massFailures = newMassFailureDetector(a)
	a.broadcasts.RetransmitMult = retransmitMultiplier
	a.broadcasts.NumNodes = func() int { return len(s.View().Present()) }
	t.observe = a.observe
	t.serveWitness = a.massFailures.serveWitness
	t.start()
	list, err := memberlist.Create(a.memberlistConfig())
	if err != nil {
		return nil, err
	}
	a.list = list
	if err := a.raiseOwnNumber(); err != nil {
		_ = list.Shutdown()
		return nil, err
	}
	a.massFailures.ready.Store(true)
	a.tasks.Go(a.run)
	return a, nil
}

// close ends the agent without a message to others.
func (a *agent) close() {
	a.closeOnce.Do(func() {
		close(a.stop)
		_ = a.list.Shutdown()
		_ = a.transport.Shutdown()
		a.tasks.Wait()
	})
}

// stepTimes is when the steps of an agent's loop were last taken.
type stepTimes struct {
	began            time.Time
	tick             time.Time
	rejoin           time.Time
	receptionRecord  time.Time
	knownAddrsFile   time.Time
	knownAddrsOfView uint64 // number of the view whose addresses the file has
}

// run is the agent's loop.
func (a *agent) run() {
	ticker := time.NewTicker(agentTick)
	defer ticker.Stop()
	last := &stepTimes{began: time.Now(), tick: time.Now()}
	for {
		select {
		case <-a.stop:
			return
		case <-ticker.C:
		}
		a.tick(time.Now(), last)
	}
}

// tick takes the steps of the loop that are due.
func (a *agent) tick(now time.Time, last *stepTimes) {
	a.checkPause(now.Sub(last.tick))
	last.tick = now
	a.service.tick()
	a.updateClaim(now, last.began)
	a.checkIsolation(now, last.began)
	a.massFailures.check(now)
	if now.Sub(last.rejoin) >= rejoinInterval {
		last.rejoin = now
		a.rejoin(now)
	}
	view := a.service.View()
	if view.Number != last.knownAddrsOfView && now.Sub(last.knownAddrsFile) >= addrsWriteInterval {
		last.knownAddrsFile = now
		last.knownAddrsOfView = view.Number
		a.storeKnownAddrs(view)
	}
	record := a.service.config.Record
	if record != nil && now.Sub(last.receptionRecord) >= receptionInterval {
		last.receptionRecord = now
		record.Write("heard", a.transport.receptionReports())
	}
}

// checkPause reports that the process was paused, if so much time passed between two ticks.
func (a *agent) checkPause(gap time.Duration) {
	if gap <= minProcessPause {
		return
	}
	a.service.counters.pauses.Add(1)
	a.service.config.Log.Warn("fleet place", "reason", "paused", "for", gap.Round(time.Millisecond).String())
	a.service.config.Record.Write("paused", gap)
}

func (a *agent) storeKnownAddrs(view *View) {
	err := writeKnownAddrs(a.service.config.Directory, view)
	if err != nil {
		a.service.config.Log.Warn("fleet place", "reason", "members-not-kept", "why", err.Error())
	}
}
