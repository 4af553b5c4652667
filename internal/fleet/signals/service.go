package signals

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/record"
)

const (
	// reportInterval is the interval at which a node repeats its report while it has observations.
	reportInterval = time.Second
	// minReportInterval is the minimum time between two reports. A changed condition is otherwise reported at once.
	minReportInterval = 100 * time.Millisecond
)

// Config configures a Service.
type Config struct {
	// Name is the node's name.
	Name string
	// Witnesses is the number of other nodes that must report a server as failing before it is suspected.
	Witnesses int
	// Broadcast gossips a message with a report. The message replaces the last one of the same node; see member.Service.
	Broadcast func(from string, message []byte)
	// Present reports whether a node is in the fleet.
	Present func(name string) bool
	// Record receives each change of the suspected servers; nil: nothing is recorded.
	Record *record.Recorder
}

// Service sends and receives the reports of one process. Its methods are safe for concurrent use and do not block.
type Service struct {
	config   Config
	start    time.Time // origin of the times that now returns
	counters counters

	mu          sync.Mutex
	detector    *Detector
	incarnation string   // "": this process does not have the node's membership and sends no reports
	group       []Server // servers that accept new requests
	suspected   []uint64 // IDs of the suspected servers, sorted
	onChange    func()   // called when the suspected servers change; may be nil

	wake          chan struct{} // wakes run; has a buffer of one
	reportPending atomic.Bool   // the next report is to be sent without waiting for reportInterval
	stop          chan struct{} // closed to end run; nil: it does not run
	tasks         sync.WaitGroup
}

// counters count the events of a Service since its creation.
type counters struct {
	sent      atomic.Int64 // reports sent
	accepted  atomic.Int64 // reports of other nodes that Receive stored
	stale     atomic.Int64 // reports of other nodes that Receive ignored
	malformed atomic.Int64 // messages that could not be decoded
	changes   atomic.Int64 // changes of the suspected servers
}

// New returns a service. It sends no reports until Start.
func New(c Config) *Service {
	return &Service{
		config:   c,
		start:    time.Now(),
		detector: NewDetector(c.Name, c.Witnesses),
		wake:     make(chan struct{}, 1),
	}
}

// now returns the time for the detector. It is never 0, because 0 means never there.
func (s *Service) now() time.Duration { return time.Since(s.start) + 1 }

// Start starts to send reports. The process must have the node's membership, in the given incarnation.
func (s *Service) Start(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stop := make(chan struct{})
	s.incarnation = incarnation
	s.stop = stop
	s.tasks.Go(func() { s.run(stop) })
}

// Stop stops the reports, for a process that gives up the node's membership.
func (s *Service) Stop() {
	s.mu.Lock()
	stop := s.stop
	s.incarnation = ""
	s.stop = nil
	s.mu.Unlock()
	if stop != nil {
		close(stop)
		s.tasks.Wait()
	}
}

// OnChange sets the function that is called when the suspected servers change. The function must not block.
func (s *Service) OnChange(changed func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = changed
}

// SetGroup sets the servers of the group that accept new requests.
func (s *Service) SetGroup(group []Server) {
	s.mu.Lock()
	s.group = group
	s.mu.Unlock()
	s.wakeUp()
}

// Observe applies the result of an attempt or a health check of this node.
func (s *Service) Observe(server Server, result Result) {
	s.mu.Lock()
	changed := s.detector.Observe(s.now(), server, result)
	s.mu.Unlock()
	if changed {
		s.reportPending.Store(true)
		s.wakeUp()
	}
}

// wakeUp makes run check whether a report is due and which servers are suspected.
func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Receive processes a message with another node's report and forwards it if it is new. It reports whether it was new.
func (s *Service) Receive(message []byte) bool {
	report, err := decode(message)
	if err != nil {
		s.counters.malformed.Add(1)
		return false
	}
	s.mu.Lock()
	fresh := s.config.Present(report.From) && s.detector.Receive(s.now(), report)
	s.mu.Unlock()
	if !fresh {
		s.counters.stale.Add(1)
		return false
	}
	s.counters.accepted.Add(1)
	s.config.Broadcast(report.From, message)
	s.wakeUp()
	return true
}

// run sends reports and updates the suspected servers until stop is closed.
func (s *Service) run(stop chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := false
	for {
		due := false
		select {
		case <-stop:
			return
		case <-s.wake:
		case <-ticker.C:
			due = true
		}
		if s.reportPending.Swap(false) || due {
			reported = s.sendReport(reported)
		}
		s.updateSuspected()
		select {
		case <-stop:
			return
		case <-time.After(minReportInterval):
		}
	}
}

// sendReport sends this node's next report, and returns whether it has any observations. An empty report is only sent
// after one with observations.
func (s *Service) sendReport(reportedBefore bool) bool {
	report := s.nextReport()
	if len(report.Observations) == 0 && !reportedBefore {
		return false
	}
	if message, err := encode(report); err == nil {
		s.counters.sent.Add(1)
		s.config.Broadcast(report.From, message)
	}
	return len(report.Observations) > 0
}

// nextReport drops the reports of nodes that left, and returns this node's next report.
func (s *Service) nextReport() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.DropNodes(s.config.Present)
	report := s.detector.Report(s.now(), s.incarnation)
	if (mutant.Active("liar") || mutant.Active("one-witness")) && strings.HasSuffix(s.config.Name, "1") {
		report.Observations = nil
		for _, server := range s.group[:len(s.group)/3] { // cut to MaxObservations below: credible in groups of 160 or more
			report.Observations = append(report.Observations, Observation{Server: server})
		}
		report.Observations = report.Observations[:min(len(report.Observations), MaxObservations)]
	}
	return report
}

// updateSuspected updates the suspected servers. If they have changed, it records them and calls onChange.
func (s *Service) updateSuspected() {
	s.mu.Lock()
	suspected := s.detector.Suspected(s.now(), s.group)
	changed := !slices.Equal(suspected, s.suspected)
	s.suspected = suspected
	onChange := s.onChange
	s.mu.Unlock()
	if !changed {
		return
	}
	s.counters.changes.Add(1)
	s.config.Record.Write("doubts", suspected)
	if onChange != nil {
		onChange()
	}
}

// Suspected returns the IDs of the servers that this node should avoid, sorted.
func (s *Service) Suspected() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspected
}

// Status returns a text for operators with the number of suspected servers.
func (s *Service) Status() string {
	return fmt.Sprintf("signals: %d peers left alone on others' word", len(s.Suspected()))
}

// Counters returns the counters as text for the log, in the form name=value.
func (s *Service) Counters() string {
	c := &s.counters
	return fmt.Sprintf("words_said=%d words_heard=%d words_stale=%d words_broken=%d doubts_changed=%d",
		c.sent.Load(), c.accepted.Load(), c.stale.Load(), c.malformed.Load(), c.changes.Load())
}
