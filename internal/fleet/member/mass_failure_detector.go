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
	// probeAttempts is how often a silent member is probed in one round: a process that was paused for 1 s from just
	// before the first probe on answers the last.
	probeAttempts = 4
	// probeAttemptInterval is the time from one such probe to the next; each waits for probeTimeout.
	probeAttemptInterval = 400 * time.Millisecond
	// maxConcurrentProbes bounds the members that are probed at one time: 300 members take 2.8 s.
	maxConcurrentProbes = 256
	// probeResultTTL is how long the result of a round is given to others without another round.
	probeResultTTL = time.Second
)

// massProbeRecord is a line of the record: what a probe of all members found.
type massProbeRecord struct {
	Probed int      `json:"asked"`
	Failed []string `json:"lost"`
	Silent []string `json:"silent"`
}

// massFailureDetector probes all members at once after the loss of many. See mass_failure.go.
type massFailureDetector struct {
	agent      *agent
	ready      atomic.Bool // the agent runs, and other members may be probed
	sampling   atomic.Bool // a sample, or the probe of all that follows it, is under way
	lastSample time.Time   // owned by the agent's loop

	probing sync.Mutex // held for a round of probes: there is one at a time

	mu           sync.Mutex
	silentAt     map[string]time.Time // silent members, by the end of the round that found them so
	declaredDead map[string]time.Time // members that were declared dead, and when
}

func newMassFailureDetector(a *agent) *massFailureDetector {
	return &massFailureDetector{agent: a, silentAt: map[string]time.Time{}, declaredDead: map[string]time.Time{}}
}

// check starts a sample where a member has failed just now. The agent's loop calls it.
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

// restoreReachable takes back the death of members that were heard since they were declared dead: memberlist may have had
// later news of them, and would not report it again.
func (d *massFailureDetector) restoreReachable() {
	reachable := d.removeReachable()
	if len(reachable) == 0 {
		return
	}
	for _, node := range d.agent.list.Members() { // one that memberlist has dropped as well comes back by itself
		if slices.Contains(reachable, node.Name) {
			d.agent.applyNode(node)
		}
	}
}

// removeReachable removes from declaredDead the members that were heard since, and returns them.
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

// probeSample probes a few members, and then all if there is a mass failure.
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

// probeAll probes all members, asks some of those that answered as witnesses, and declares dead whom nobody reached.
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

// declareDead declares a member dead, in the incarnation that it had before it was probed: a later one was not.
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

// otherMembers returns the members that are present, but for this one.
func (d *massFailureDetector) otherMembers() (names []string) {
	service := d.agent.service
	for _, m := range service.View().Present() {
		if m.Name != service.config.Name {
			names = append(names, m.Name)
		}
	}
	return names
}

// probe probes members, all at once and some times each, and returns those that were not heard since a time, sorted.
func (d *massFailureDetector) probe(names []string, since time.Time, attempts int) []string {
	d.probing.Lock()
	defer d.probing.Unlock()
	view := d.agent.service.View()
	var mu sync.Mutex
	var silent []string
	var probes sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for _, name := range names {
		m, known := view.Lookup(name)
		addr, err := netip.ParseAddrPort(m.Addr)
		if !known || !m.State.Present() || err != nil {
			silent = append(silent, name) // declared dead here already
			continue
		}
		slots <- struct{}{}
		probes.Go(func() {
			defer func() { <-slots }()
			if d.reaches(name, net.UDPAddrFromAddrPort(addr), since, attempts) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			silent = append(silent, name)
		})
	}
	probes.Wait()
	slices.Sort(silent)
	return silent
}

// rememberSilent stores the result of a round with all its attempts.
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

// reaches reports whether a member answers a probe, or was heard since a time.
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
			return true // an agent that ends declares nobody dead
		case <-time.After(probeAttemptInterval - probeTimeout):
		}
	}
	return d.agent.transport.lastReceivedFrom(name).After(since)
}
