package member

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/internal/fleet/mutant"
)

const (
	// probeAttempts is the maximum number of probes sent to a silent member in one round. If a process pauses for 1 s just
	// before the first probe, it still answers the last one.
	probeAttempts = 4
	// probeAttemptInterval is the time between the starts of two such probes. It includes the wait of probeTimeout for an
	// answer.
	probeAttemptInterval = 400 * time.Millisecond
	// maxConcurrentProbes is the maximum number of members that are probed at the same time. With this limit, a round of
	// probes of 300 silent members takes 2.8 s.
	maxConcurrentProbes = 256
	// probeResultTTL is the time for which the result of a round answers witness requests without another round.
	probeResultTTL = time.Second
)

// massProbeRecord is the record entry with the result of a probe of all members.
type massProbeRecord struct {
	Probed int      `json:"asked"`
	Failed []string `json:"lost"`
	Silent []string `json:"silent"`
}

// massFailureDetector probes all members at once after the loss of many members. The rules are in mass_failure.go.
type massFailureDetector struct {
	agent      *agent
	ready      atomic.Bool // set once memberlist runs and members can be probed
	sampling   atomic.Bool // set while a sample, or the probe of all members after it, runs
	lastSample time.Time   // start of the last sample; owned by the agent's loop

	probing sync.Mutex // held during a round of probes, so that only one round runs

	mu           sync.Mutex
	silentAt     map[string]time.Time // end of the last round that found a member silent, by member
	declaredDead map[string]time.Time // time of the declaration, by member declared dead
}

func newMassFailureDetector(a *agent) *massFailureDetector {
	return &massFailureDetector{agent: a, silentAt: map[string]time.Time{}, declaredDead: map[string]time.Time{}}
}

// check starts a sample if a member has failed recently and sampleInterval has passed. The agent's loop calls it.
func (d *massFailureDetector) check(now time.Time) {
	d.restoreReachable()
	service := d.agent.service
	if now.Sub(d.lastSample) < sampleInterval || !service.View().HasRecentFailure(service.now()) {
		return
	}
	if !d.sampling.CompareAndSwap(false, true) {
		return
	}
	d.lastSample = now
	d.agent.tasks.Go(func() {
		defer d.sampling.Store(false)
		d.probeSample(now)
	})
}

// restoreReachable marks members as alive again from which a packet or frame arrived after this process declared them
// dead. If memberlist had later information about such a member than the declaration, it does not report the member
// again.
func (d *massFailureDetector) restoreReachable() {
	reachable := d.removeReachable()
	if len(reachable) == 0 {
		return
	}
	for _, node := range d.agent.list.Members() { // memberlist reports the return of members that it dropped
		if slices.Contains(reachable, node.Name) {
			d.agent.applyNode(node)
		}
	}
}

// removeReachable removes from declaredDead the members from which a packet or frame arrived since, and returns them.
func (d *massFailureDetector) removeReachable() (reachable []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, since := range d.declaredDead {
		if d.agent.transport.lastReceivedFrom(name).After(since) {
			reachable = append(reachable, name)
			delete(d.declaredDead, name)
		}
	}
	return reachable
}

// probeSample probes a random sample of members, and then all members if the sample indicates a mass failure.
func (d *massFailureDetector) probeSample(now time.Time) {
	names := d.otherMembers()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	sample := names[:min(sampleSize, len(names))]
	silent := d.probe(sample, now, 1)
	if IsMassFailure(len(silent), len(sample)) {
		d.agent.service.counters.massProbes.Add(1)
		d.probeAll()
	}
}

// probeAll probes all members, asks some of those that answered for witness reports, and declares the members dead that
// no process reached.
func (d *massFailureDetector) probeAll() {
	began := time.Now()
	viewBefore := d.agent.service.View()
	names := d.otherMembers()
	silent := d.probe(names, began, probeAttempts)
	answered := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(silent, name) })
	d.rememberSilent(silent)
	var failed []string
	if len(silent) > 0 {
		failed = ConfirmedFailures(silent, d.askWitnesses(silent, answered))
	}
	if mutant.Active("lost-unwitnessed") {
		failed = silent
	}
	record := d.agent.service.config.Record
	record.Write("roll", massProbeRecord{Probed: len(names), Silent: silent, Failed: failed})
	now := time.Now()
	for _, name := range failed {
		if !d.agent.transport.lastReceivedFrom(name).After(began) {
			d.declareDead(name, viewBefore, now)
		}
	}
}

// declareDead declares a member dead in the incarnation that it had before the probes, since a later one was not
// probed.
func (d *massFailureDetector) declareDead(name string, viewBefore *View, now time.Time) {
	d.mu.Lock()
	d.declaredDead[name] = now
	d.mu.Unlock()
	service := d.agent.service
	service.counters.massProbeDeaths.Add(1)
	m, _ := viewBefore.Lookup(name)
	service.apply(Event{Kind: EventSuspect, Name: name, Incarnation: m.Incarnation})
	service.apply(Event{Kind: EventDead, Name: name, Incarnation: m.Incarnation})
	d.agent.declareDead(name, m.Incarnation)
}

// otherMembers returns the names of the present members, except this node.
func (d *massFailureDetector) otherMembers() (names []string) {
	service := d.agent.service
	for _, m := range service.View().Present() {
		if m.Name != service.config.Name {
			names = append(names, m.Name)
		}
	}
	return names
}

// probe probes members concurrently, up to the given number of attempts each. It returns, sorted, those that did not
// answer and from which nothing was received since the given time.
func (d *massFailureDetector) probe(names []string, since time.Time, attempts int) []string {
	d.probing.Lock()
	defer d.probing.Unlock()
	view := d.agent.service.View()
	var mu sync.Mutex // guards silent
	var silent []string
	addSilent := func(name string) {
		mu.Lock()
		defer mu.Unlock()
		silent = append(silent, name)
	}
	var probes sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for _, name := range names {
		m, known := view.Lookup(name)
		addr, err := netip.ParseAddrPort(m.Addr)
		if !known || !m.State.Present() || err != nil {
			addSilent(name) // already declared dead in the view
			continue
		}
		slots <- struct{}{}
		probes.Go(func() {
			defer func() { <-slots }()
			if !d.reaches(name, net.UDPAddrFromAddrPort(addr), since, attempts) {
				addSilent(name)
			}
		})
	}
	probes.Wait()
	slices.Sort(silent)
	return silent
}

// rememberSilent stores which members a round of probeAttempts attempts found silent.
func (d *massFailureDetector) rememberSilent(silent []string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.silentAt) > 2*MaxMembers {
		clear(d.silentAt)
	}
	for _, name := range silent {
		d.silentAt[name] = now
	}
}

// reaches reports whether a member answers a probe, or a packet or frame of the member arrived since the given time.
func (d *massFailureDetector) reaches(name string, addr net.Addr, since time.Time, attempts int) bool {
	for i := range attempts {
		if d.agent.transport.lastReceivedFrom(name).After(since) {
			return true
		}
		if _, err := d.agent.list.Ping(name, addr); err == nil {
			return true
		}
		if i == attempts-1 {
			break
		}
		select {
		case <-d.agent.stop:
			return true // a closing agent declares no member dead
		case <-time.After(probeAttemptInterval - probeTimeout):
		}
	}
	return d.agent.transport.lastReceivedFrom(name).After(since)
}
