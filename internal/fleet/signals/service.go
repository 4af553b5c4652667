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
	// reportInterval is how often a node sends its report again, while there is anything in it.
	reportInterval = time.Second
	// reportPause is the least time between two reports: news is sent at once but for that.
	reportPause = 100 * time.Millisecond
)

// Config configures a Service.
type Config struct {
	// Name is the node's name.
	Name string
	// Witnesses is how many other nodes have to report a server for it to be suspected.
	Witnesses int
	// Broadcast gossips a report, in place of the last one from the same node; see member.Service.
	Broadcast func(from string, message []byte)
	// Present reports whether a node is in the fleet.
	Present func(name string) bool
	// Record is given the suspected servers; nil: nothing.
	Record *record.Recorder
}

// Service is a process's part in the gossip about servers. Its methods are safe for concurrent use, and do not block.
type Service struct {
	config   Config
	start    time.Time // origin of times
	counters counters

	mu          sync.Mutex
	detector    *Detector
	incarnation string // "": this process does not have the node's membership, and reports nothing
	group       []Server
	suspected   []uint64
	onChange    func() // is called when the suspected servers change; nil: nobody is told

	wake  chan struct{} // holds one
	news  atomic.Bool   // there is something to report at once
	stop  chan struct{} // ends the loop; nil: it does not run
	tasks sync.WaitGroup
}

// counters count events of a Service, since its start.
type counters struct {
	sent    atomic.Int64 // reports
	taken   atomic.Int64 // reports of others
	stale   atomic.Int64 // reports that were not new
	broken  atomic.Int64 // reports that could not be decoded
	changes atomic.Int64 // of the suspected servers
}

// New makes a service, which reports nothing until Start.
func New(c Config) *Service {
	return &Service{
		config:   c,
		start:    time.Now(),
		detector: NewDetector(c.Name, c.Witnesses),
		wake:     make(chan struct{}, 1),
	}
}

// now is the detector's time, which is never 0.
func (s *Service) now() time.Duration { return time.Since(s.start) + 1 }

// Start begins to report, for a process that has got the node's membership.
func (s *Service) Start(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stop := make(chan struct{})
	s.incarnation = incarnation
	s.stop = stop
	s.tasks.Go(func() { s.run(stop) })
}

// Stop ends what Start began, for a process that gives the membership up.
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

// OnChange sets what is called from now on when the suspected servers change. It must not block.
func (s *Service) OnChange(changed func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = changed
}

// SetGroup takes all servers that take new requests.
func (s *Service) SetGroup(group []Server) {
	s.mu.Lock()
	s.group = group
	s.mu.Unlock()
	s.wakeUp()
}

// Observe takes how an attempt or a health check of this node went.
func (s *Service) Observe(server Server, result Result) {
	s.mu.Lock()
	news := s.detector.Observe(s.now(), server, result)
	s.mu.Unlock()
	if news {
		s.news.Store(true)
		s.wakeUp()
	}
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Receive takes another node's report, passes it on, and reports whether it was new.
func (s *Service) Receive(message []byte) bool {
	report, err := decode(message)
	if err != nil {
		s.counters.broken.Add(1)
		return false
	}
	s.mu.Lock()
	fresh := s.config.Present(report.From) && s.detector.Receive(s.now(), report)
	s.mu.Unlock()
	if !fresh {
		s.counters.stale.Add(1)
		return false
	}
	s.counters.taken.Add(1)
	s.config.Broadcast(report.From, message)
	s.wakeUp()
	return true
}

// run sends reports, and finds which servers are suspected, until stop is closed.
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
		if s.news.Swap(false) || due {
			reported = s.sendReport(reported)
		}
		s.updateSuspected()
		select {
		case <-stop:
			return
		case <-time.After(reportPause):
		}
	}
}

// sendReport sends what this node has observed. An empty report is sent only after one that was not. It reports whether
// there was anything in it.
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

func (s *Service) nextReport() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.DropNodes(s.config.Present)
	report := s.detector.Report(s.now(), s.incarnation)
	if (mutant.Active("liar") || mutant.Active("one-witness")) && strings.HasSuffix(s.config.Name, "1") {
		report.Observations = nil
		for _, server := range s.group[:len(s.group)/3] { // fewer than would be ignored
			report.Observations = append(report.Observations, Observation{Server: server})
		}
		report.Observations = report.Observations[:min(len(report.Observations), MaxObservations)]
	}
	return report
}

// updateSuspected finds which servers are suspected now, and tells if that has changed.
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

// Suspected returns the servers that this node should avoid.
func (s *Service) Suspected() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspected
}

// Status is for operators.
func (s *Service) Status() string {
	return fmt.Sprintf("signals: %d peers left alone on others' word", len(s.Suspected()))
}

// Counters returns the counters for the log.
func (s *Service) Counters() string {
	c := &s.counters
	return fmt.Sprintf("words_said=%d words_heard=%d words_stale=%d words_broken=%d doubts_changed=%d",
		c.sent.Load(), c.taken.Load(), c.stale.Load(), c.broken.Load(), c.changes.Load())
}
