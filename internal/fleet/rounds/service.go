package rounds

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/agreed"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/record"
	"olivebridge/internal/maintenance"
)

// The channels of the members' streams.
const (
	VotersChannel = 5 // between voters
	RoundsChannel = 6 // from nodes to whoever leads them
)

const (
	// askEach is how often a node reports to whoever leads, and hears what is out; it asks again at once when that has changed.
	askEach = 250 * time.Millisecond
	// askWithin is how long an answer may take; an operator's call has to have one within a second.
	askWithin = 400 * time.Millisecond
	// doWithin bounds an operator's call over all voters.
	doWithin = 900 * time.Millisecond
	// driveEach is how often whoever leads looks whether the round can go on.
	driveEach = 100 * time.Millisecond
)

// Desk is what a node does with a server, in all its processes.
type Desk interface {
	Suspend(server string) error
	Restore(server string) error
	Suspended() []string
	// Busy is how many tries this process has open at a server.
	Busy(server string) int
	// Listed are the servers that take new work, and Known reports whether one was ever listed.
	Listed() []string
	Known(server string) bool
}

// Config is what a process is told.
type Config struct {
	Name      string
	Voters    agreed.Roster
	Directory string
	Dial      func(name string, channel byte, timeout time.Duration) (net.Conn, error)
	View      func() *member.View
	// Others are addresses of nodes that may be asked before this one has its place, with DialAddr; both may be nil.
	Others   func() []string
	DialAddr func(addr string, channel byte, timeout time.Duration) (net.Conn, error)
	Log      *slog.Logger
	Record   *record.Book
}

// Service is a process's part in operators' work over the fleet.
type Service struct {
	c     Config
	part  *agreed.Part // in keeping the log
	count struct{ asks, lost, steps, applied atomic.Int64 }

	mu          sync.Mutex
	desk        Desk
	incarnation string // "": this process has not the node's place
	log         *agreed.Log
	ledger      *ledger
	stop        chan struct{}
	reports     map[string]report // at whoever leads
	version     uint64            // of the ledger, that this node goes by
	out         []string          // that it keeps out by that
	own         map[string]bool   // of them, those that were suspended at its own door before
	rounds      []Round           // as it heard last
	led         string            // who answered last
	turn        int
	seen        Move // the step that is being waited for, since when, and for whom
	since       time.Time
	waits       []string
	tasks       sync.WaitGroup
}

type report struct {
	Report
	at time.Time
}

// New makes a service, which does nothing until Up.
func New(c Config) *Service {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{c: c, reports: map[string]report{}, own: map[string]bool{}}
	s.part = agreed.NewPart(agreed.PartConfig{Name: c.Name, Roster: c.Voters, Directory: filepath.Join(c.Directory, "rounds"),
		What: "fleet rounds", Log: c.Log, Opened: s.opened, Closed: func() { s.opened(nil, nil) }, New: func() raft.FSM { return newLedger() },
		Dial: func(name string, timeout time.Duration) (net.Conn, error) {
			return c.Dial(name, VotersChannel, timeout)
		}})
	return s
}

// opened takes the log in that this process keeps, or that it keeps none.
func (s *Service) opened(log *agreed.Log, state raft.FSM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = log
	s.ledger, _ = state.(*ledger)
}

// Keep lets others keep the log from now on.
func (s *Service) Keep(r agreed.Roster) { s.part.Keep(r) }

// ServeVoters takes a stream from another voter.
func (s *Service) ServeVoters(c net.Conn, from string) { s.part.Serve(c, from) }

// Operate gives it the node's desk, before there are clients: what is out is out here, too, by the word of whoever knows the
// latest, or as it was when the node ended.
func (s *Service) Operate(d Desk) {
	s.mu.Lock()
	s.desk = d
	s.mu.Unlock()
	if r, told := s.peek(); told {
		s.apply(r.Version, r.Out, true)
		return
	}
	var kept []string
	if data, err := os.ReadFile(s.file()); err == nil && json.Unmarshal(data, &kept) == nil {
		s.apply(0, kept, true)
	}
}

const (
	// peekWithin is how long a start waits for others' word of what is out.
	peekWithin = 500 * time.Millisecond
	// peekAt is how many are asked.
	peekAt = 8
)

// peek asks others what is out, all at once, and returns the latest that any of them goes by. Nobody answers a node that starts
// with the others.
func (s *Service) peek() (latest reply, told bool) {
	if s.c.Others == nil {
		return latest, false
	}
	others := s.c.Others()
	others = others[:min(len(others), peekAt)]
	said := make(chan reply, len(others))
	for _, addr := range others {
		go func() {
			r, err := s.exchange(func() (net.Conn, error) { return s.c.DialAddr(addr, RoundsChannel, peekWithin) }, question{Peek: true})
			if err != nil {
				r = reply{}
			}
			said <- r
		}()
	}
	late := time.After(peekWithin)
	for range others {
		select {
		case r := <-said:
			if r.Version > latest.Version {
				latest, told = r, true
			}
		case <-late:
			return latest, told
		}
	}
	return latest, told
}

func (s *Service) file() string { return filepath.Join(s.c.Directory, "out.json") }

// Up begins, for a process that has got the node's place.
func (s *Service) Up(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation, s.stop = incarnation, make(chan struct{})
	stop := s.stop
	s.tasks.Go(func() { s.follow(stop) })
	s.tasks.Go(func() { s.drive(stop) })
	s.part.Up()
}

// Down ends that.
func (s *Service) Down() {
	s.mu.Lock()
	stop := s.stop
	s.incarnation, s.stop = "", nil
	s.mu.Unlock()
	if stop != nil {
		close(stop)
		s.part.Down()
		s.tasks.Wait()
	}
}

// question and reply go over the stream to whoever leads.
type question struct {
	Incarnation string         `json:"life,omitempty"`
	Version     uint64         `json:"version"`
	Busy        map[string]int `json:"busy,omitempty"`
	Do          *command       `json:"do,omitempty"`   // an operator's call
	Peek        bool           `json:"peek,omitempty"` // by a node that starts: any may answer
}

type reply struct {
	Refuse  string   `json:"refuse,omitempty"`
	Leader  string   `json:"keeper,omitempty"` // who leads, as far as is known
	Version uint64   `json:"version"`
	Out     []string `json:"out,omitempty"`
	Rounds  []Round  `json:"rounds,omitempty"`
	Waits   []string `json:"waits,omitempty"` // nodes that the round waits for
	Answer  Answer   `json:"answer"`
}

// ServeRounds answers a node until its stream ends.
func (s *Service) ServeRounds(c net.Conn, from string) {
	in, out := json.NewDecoder(c), json.NewEncoder(c)
	for {
		var q question
		if err := in.Decode(&q); err != nil {
			return
		}
		c.SetWriteDeadline(time.Now().Add(askWithin))
		if err := out.Encode(s.answer(from, q)); err != nil {
			return
		}
	}
}

// answer answers a node, if this process leads.
func (s *Service) answer(from string, q question) reply {
	s.mu.Lock()
	log, state, by := s.log, s.ledger, reply{Version: s.version, Out: s.out}
	s.mu.Unlock()
	if q.Peek {
		return by
	}
	if log == nil || !log.Leads() {
		r := reply{Refuse: "another leads, or nobody"}
		if log != nil {
			r.Leader = log.Leader()
		}
		return r
	}
	var r reply
	switch {
	case q.Do != nil:
		got, err := log.Agree(q.Do)
		if err != nil {
			return reply{Refuse: err.Error(), Leader: log.Leader()}
		}
		r.Answer, _ = got.(Answer)
	case log.Verify() != nil: // what it would say may be old
		return reply{Refuse: "it does not lead any more"}
	}
	var out map[string]Out
	r.Version, out, r.Rounds = state.view()
	for server := range out {
		r.Out = append(r.Out, server)
	}
	slices.Sort(r.Out)
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Do == nil {
		s.reports[from] = report{Report{Incarnation: q.Incarnation, Version: q.Version, Busy: q.Busy}, time.Now()}
	}
	r.Waits = s.waits
	return r
}

// follow reports to whoever leads, and does what it is told.
func (s *Service) follow(stop chan struct{}) {
	for {
		s.mu.Lock()
		q := question{Incarnation: s.incarnation, Version: s.version, Busy: map[string]int{}}
		out, desk := s.out, s.desk
		s.mu.Unlock()
		for _, server := range out {
			if n := desk.Busy(server); n > 0 {
				q.Busy[server] = n
			}
		}
		s.count.asks.Add(1)
		r, err := s.ask(q)
		if err != nil {
			s.count.lost.Add(1)
		} else if s.heard(r) {
			continue // what it goes by now is told at once
		}
		select {
		case <-stop:
			return
		case <-time.After(askEach):
		}
	}
}

// heard takes an answer in, and reports whether this node goes by something else now.
func (s *Service) heard(r reply) bool {
	s.mu.Lock()
	s.rounds, s.waits = r.Rounds, cmpWaits(r.Waits, s.waits)
	changed := r.Version != s.version && s.desk != nil
	s.mu.Unlock()
	if changed {
		return s.apply(r.Version, r.Out, false)
	}
	return false
}

func cmpWaits(heard, own []string) []string {
	if heard != nil {
		return heard
	}
	return own
}

// apply keeps out what is to be out, and puts back what is not any more; but for what was suspended at this node's own door
// before the fleet's word came. At a start nothing was: what is suspended then the node's other process has handed on.
func (s *Service) apply(version uint64, out []string, start bool) bool {
	s.mu.Lock()
	desk, before := s.desk, s.out
	s.mu.Unlock()
	already := desk.Suspended()
	for _, server := range out {
		if slices.Contains(before, server) {
			continue
		}
		if slices.Contains(already, server) && !start {
			s.own[server] = true
		}
		if err := desk.Suspend(server); err != nil { // in another process of the node: it is tried again, and the round waits
			s.c.Log.Warn("fleet rounds", "reason", "not-suspended", "server", server, "why", err.Error())
			delete(s.own, server)
			s.mu.Lock()
			s.out = before
			s.mu.Unlock()
			return false
		}
		before = append(slices.Clone(before), server)
	}
	for _, server := range before {
		if slices.Contains(out, server) {
			continue
		}
		if !s.own[server] {
			desk.Restore(server) // one that no list names is not in use anyway
		}
		delete(s.own, server)
	}
	if version > 0 {
		data, _ := json.Marshal(out) // plain words
		err := os.WriteFile(s.file()+".new", data, 0o600)
		if err == nil {
			err = os.Rename(s.file()+".new", s.file())
		}
		if err != nil {
			s.c.Log.Warn("fleet rounds", "reason", "not-kept", "why", err.Error())
		}
	}
	s.mu.Lock()
	s.version, s.out = version, out
	s.mu.Unlock()
	s.count.applied.Add(1)
	s.c.Record.Write("out", Held{version, out})
	return true
}

// Held is what a node keeps out by the fleet's word, in its record.
type Held struct {
	Version uint64   `json:"version"`
	Out     []string `json:"out"`
}

var errNobody = errors.New("no majority of the voters is there, or none can be reached")

// ask asks whoever leads, over a stream of its own: some a second.
func (s *Service) ask(q question) (r reply, err error) {
	s.mu.Lock()
	who := s.led
	s.mu.Unlock()
	voters := s.part.Roster().Names
	for range len(voters) + 1 {
		if who == "" {
			s.mu.Lock()
			who = voters[s.turn%len(voters)]
			s.turn++
			s.mu.Unlock()
		}
		r, err = s.once(who, q)
		if err == nil && r.Refuse == "" {
			s.mu.Lock()
			s.led = who
			s.mu.Unlock()
			return r, nil
		}
		if who = r.Leader; err != nil {
			who = ""
		}
	}
	s.mu.Lock()
	s.led = ""
	s.mu.Unlock()
	return r, cmp.Or(err, errNobody)
}

func (s *Service) once(who string, q question) (r reply, err error) {
	if who == s.c.Name {
		return s.answer(who, q), nil
	}
	return s.exchange(func() (net.Conn, error) { return s.c.Dial(who, RoundsChannel, askWithin) }, q)
}

// exchange asks one question over a stream of its own.
func (s *Service) exchange(dial func() (net.Conn, error), q question) (r reply, err error) {
	c, err := dial()
	if err != nil {
		return r, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(askWithin))
	if err := json.NewEncoder(c).Encode(q); err != nil {
		return r, err
	}
	err = json.NewDecoder(c).Decode(&r)
	return r, err
}

// drive takes the round on, for as long as this process leads.
func (s *Service) drive(stop chan struct{}) {
	each := time.NewTicker(driveEach)
	defer each.Stop()
	for {
		select {
		case <-stop:
			return
		case <-each.C:
		}
		s.mu.Lock()
		log, state := s.log, s.ledger
		s.mu.Unlock()
		if log == nil || !log.Leads() {
			continue
		}
		_, _, rounds := state.view()
		for _, r := range rounds {
			if r.State == Runs {
				s.advance(log, r)
			}
		}
	}
}

// advance takes a round one step further, if all nodes are as far. A leader that sees less than half of the fleet waits.
func (s *Service) advance(log *agreed.Log, r Round) {
	v := s.c.View()
	var members []Member
	for _, m := range v.Present() {
		members = append(members, Member{m.Name, m.Incarnation.String(), m.Predecessor})
	}
	at := Move{r.ID, r.At, r.Step}
	now := time.Now()
	s.mu.Lock()
	if s.seen != at {
		s.seen, s.since = at, now
	}
	reports := map[string]Report{}
	for name, one := range s.reports {
		one.Age = now.Sub(one.at)
		reports[name] = one.Report
	}
	ok, waits := Ready(r, members, reports, now.Sub(s.since))
	s.waits = append([]string{}, waits...)
	s.mu.Unlock()
	if !ok || !v.Partition().Majority {
		return
	}
	got, err := log.Agree(command{Move: &at})
	if mutant.Active("step-without-look") { // and comes again
		log.Agree(command{Move: &at})
	}
	if a, is := got.(Answer); err == nil && is && a.No == "" {
		s.count.steps.Add(1)
		s.c.Log.Info("fleet rounds", "reason", "step", "round", r.Key, "server", r.Server(), "from", string(r.Step))
		s.c.Record.Write("step", Stepped{r.ID, r.At, r.Server(), r.Step})
	}
}

// Stepped is a step that was taken, in the record of whoever took it.
type Stepped struct {
	Round  uint64 `json:"round"`
	At     int    `json:"at"`
	Server string `json:"server"`
	From   Step   `json:"from"`
}

// Do carries an operator's call out that is for the whole fleet: what follows FLEET.
func (s *Service) Do(words []string) (string, error) {
	s.mu.Lock()
	desk := s.desk
	s.mu.Unlock()
	if desk == nil {
		return "", errors.New("the node is starting")
	}
	c, err := s.parse(words, desk)
	if err != nil {
		return "", err
	}
	if c == nil {
		return s.Status(), nil
	}
	var last error
	for end := time.Now().Add(doWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := s.ask(question{Do: c})
		switch {
		case err == nil && r.Answer.No != "":
			return "", errors.New(r.Answer.No)
		case err == nil:
			return r.Answer.Text, nil
		}
		last = err
	}
	return "", fmt.Errorf("it may hold or not, say it again: %w", last)
}

// parse turns an operator's words into a command; nil: they ask how things stand.
func (s *Service) parse(words []string, desk Desk) (*command, error) {
	usage := errors.New("FLEET wants STATUS, SUSPEND id, RESTORE id, ROUND name hold ALL, ROUND name hold id..., or STOP name")
	if len(words) == 0 {
		return nil, usage
	}
	rest := words[1:]
	switch {
	case words[0] == "STATUS" && len(rest) == 0:
		return nil, nil
	case words[0] == "SUSPEND" && len(rest) == 1 && !desk.Known(rest[0]):
		return nil, maintenance.UnknownServerError(rest[0])
	case words[0] == "SUSPEND" && len(rest) == 1:
		return &command{Suspend: &Word{rest[0], s.c.Name}}, nil
	case words[0] == "RESTORE" && len(rest) == 1:
		return &command{Restore: &Word{rest[0], s.c.Name}}, nil
	case words[0] == "STOP" && len(rest) == 1:
		return &command{Stop: &Stop{rest[0], "said at " + s.c.Name}}, nil
	case words[0] == "ROUND" && len(rest) >= 3:
		hold, err := time.ParseDuration(rest[1])
		if err != nil || hold < 0 || hold > time.Hour {
			return nil, fmt.Errorf("hold: not a time from 0s to 1h: %q", rest[1])
		}
		servers := rest[2:]
		if len(servers) == 1 && servers[0] == "ALL" {
			servers = desk.Listed()
		}
		for _, one := range servers {
			if !desk.Known(one) {
				return nil, maintenance.UnknownServerError(one)
			}
		}
		return &command{Begin: &Begin{rest[0], s.c.Name, servers, hold}}, nil
	}
	return nil, usage
}

// Status is for operators: how things stand, as this node heard last.
func (s *Service) Status() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("rounds: out by the fleet's word: %v", s.out)
	for i := len(s.rounds) - 1; i >= 0; i-- { // the newest first
		text += "; " + s.rounds[i].String()
		if s.rounds[i].State == Runs && len(s.waits) > 0 {
			text += ", waits for " + strings.Join(s.waits, " ")
		}
	}
	return text
}

// Counters are for the log.
func (s *Service) Counters() string {
	c := &s.count
	return fmt.Sprintf("round_asks=%d round_lost=%d round_steps=%d round_applied=%d", c.asks.Load(), c.lost.Load(), c.steps.Load(),
		c.applied.Load())
}
