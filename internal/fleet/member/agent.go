package member

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// agentTick is the interval at which the loop of an agent runs.
	agentTick = 100 * time.Millisecond
	// minProcessPause is the gap between two ticks above which the process counts as having been paused.
	minProcessPause = time.Second
	// addrsWriteInterval is the minimum time between two writes of the members' addresses. They are written only if the
	// view has changed.
	addrsWriteInterval = 2 * time.Second
	// receptionInterval is the interval at which the reception reports are written to the record.
	receptionInterval = time.Second
)

// agent runs memberlist for one incarnation of the node, while this process holds the node's membership of the fleet.
// It implements memberlist's delegate interfaces, whose methods are called by memberlist's goroutines.
type agent struct {
	service      *Service
	incarnation  Incarnation
	list         *memberlist.Memberlist
	transport    *transport
	massFailures *massFailureDetector
	broadcasts   memberlist.TransmitLimitedQueue // queued messages of Service.Broadcast
	knownAddrs   []string                        // member addresses stored by earlier incarnations
	joining      atomic.Bool                     // set while an attempt to join runs

	stop      chan struct{} // closed by close
	closeOnce sync.Once
	tasks     sync.WaitGroup

	// The next two fields are owned by the agent's loop.
	isolated    bool                 // nothing was received from any member for isolationTimeout
	lastRejoins map[string]time.Time // time of the last attempt to join, by missing address

	mu           sync.Mutex
	settled      bool // see Claim.Settled
	leaving      bool // a planned shutdown of the node has begun
	predecessor  bool // the node's previous process may still be finishing requests
	lastConflict time.Time
	// announcedDepartures has the members that a message reported as gone: true if the member itself sent the report,
	// false if another member declared it dead.
	announcedDepartures map[string]bool
	suspectedNumbers    map[string]uint32 // suspected incarnation number of memberlist, by member
	latestNumbers       map[string]uint32 // highest such number seen in a message, by member
}

// newAgent starts an agent on an open transport. The agent then owns the transport; after an error the caller does.
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

// close stops the agent without notifying other members.
func (a *agent) close() {
	a.closeOnce.Do(func() {
		close(a.stop)
		_ = a.list.Shutdown()
		_ = a.transport.Shutdown()
		a.tasks.Wait()
	})
}

// stepTimes has the times at which an agent's loop last ran each of its steps.
type stepTimes struct {
	began            time.Time // start of the loop
	tick             time.Time
	rejoin           time.Time
	receptionRecord  time.Time
	knownAddrsFile   time.Time
	knownAddrsOfView uint64 // number of the view whose addresses were last written
}

// run calls tick every agentTick until the agent is closed.
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

// tick runs those steps of the loop that are due.
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

// checkPause logs, counts and records a pause of the process if the gap between two ticks exceeds minProcessPause.
func (a *agent) checkPause(gap time.Duration) {
	if gap <= minProcessPause {
		return
	}
	a.service.counters.pauses.Add(1)
	a.service.config.Log.Warn("fleet place", "reason", "paused", "for", gap.Round(time.Millisecond).String())
	a.service.config.Record.Write("paused", gap)
}

// storeKnownAddrs writes the addresses of a view's members. It only logs an error.
func (a *agent) storeKnownAddrs(view *View) {
	err := writeKnownAddrs(a.service.config.Directory, view)
	if err != nil {
		a.service.config.Log.Warn("fleet place", "reason", "members-not-kept", "why", err.Error())
	}
}
