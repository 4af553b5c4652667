package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/live"
	"olivebridge/internal/lab/sample"
	"olivebridge/internal/protocol"
)

// Options say how a script is played.
type Options struct {
	Node   string            // the node's program, with olivefleet beside it
	Dir    string            // for everything that the processes write
	Log    io.Writer         // what goes wrong with the run itself; may be nil
	Tell   func(line string) // progress; may be nil
	Mutant string            // that every process is, which a program built for that knows
	Leak   bool              // the rig is a mutant: cuts are not made
	// More is what the fleet files say besides; nil: nothing.
	More func(Says) string
	// Crowd asks the nodes, which it knows by name and address, for work until the script is over; nil: there is none.
	Crowd func(ctx context.Context, nodes map[string]string, s *fault.Script) []Asked
	// Operators call at the nodes' doors until the script is over; nil: nobody does.
	Operators func(ctx context.Context, doors func(node string) string, s *fault.Script) []Said
}

// Said is one call of an operator's, and what was answered; "": nobody did.
type Said struct {
	At     time.Duration // when the answer was in, by the monotonic clock
	Node   string
	Line   string
	Answer string
}

// Says is what a script lets the fleet files say.
type Says struct {
	Nodes   int
	Share   float64  // of the amounts of budgets
	Voters  []string // of every log
	Edition int      // of them
}

// voters is the same as lines of a table of a fleet file.
func (s Says) voters() string {
	var names []string
	for _, k := range s.Voters {
		names = append(names, fmt.Sprintf("%q", k))
	}
	return fmt.Sprintf("keepers = [%s]\nedition = %d\n", strings.Join(names, ", "), s.Edition)
}

// says is what they say at first.
func says(names []string) Says {
	return Says{len(names), 1, slices.Clone(names[:min(3, len(names)-1+len(names)%2)]), 1}
}

// Happened is one thing that was done to a process, or that it was seen to do, by the machine's monotonic clock.
type Happened struct {
	At    time.Duration `json:"at"`
	Node  string        `json:"node,omitempty"`
	What  string        `json:"what"`
	PID   int           `json:"pid,omitempty"`
	From  []string      `json:"from,omitempty"` // of cuts and ails: from whom
	To    []string      `json:"to,omitempty"`   // and to whom
	Ails  *fault.Ails   `json:"ails,omitempty"`
	Ended bool          `json:"ended,omitempty"` // the end of a cut or an ail
	Wrong time.Duration `json:"wrong,omitempty"` // by which a node's wall clock is wrong from its next start on
	Share float64       `json:"share,omitempty"` // of the amounts of budgets that all fleet files say from now on
}

// Account is all that is known of a run from outside, and what its processes recorded.
type Account struct {
	Names   []string
	Begin   time.Duration // when clients were sent, by the monotonic clock
	End     time.Duration
	Events  []Happened
	Lines   []record.Line // of all processes, in order
	Came    []Came        // tries that came to peers, in order
	Spared  []string      // tries that peers answered without having run them
	Peers   []PeerEvent   // what happened to peers and others of the world, in order
	Falls   int           // cold peers that were pushed over
	Asked   []Asked       // work that a crowd of its own asked for
	Said    []Said        // by operators
	Probed  []Probed      // how many probes had come to all peers
	Passed  Passed
	CPU     map[string]time.Duration
	RSS     map[string]int64
	Broken  []string // what the run itself found: crashes, refusals, rules of clients and peers
	Machine error
	Wall    time.Duration // the wall clock less the monotonic one
	Tally   live.Tally
	Periods int // of the wall clock, of countPeriod each, that the run was in
}

// Came is a try that came to a peer, or that one is done with.
type Came struct {
	At   time.Duration // by the monotonic clock
	Peer string
	Call string
	Done bool // the peer is done with it
}

// PeerEvent is one thing that happened to a peer, or to another part of the world.
type PeerEvent struct {
	At   time.Duration // by the monotonic clock
	Who  string
	What string
}

// Probed is how many probes had come to peers at some time.
type Probed struct {
	At     time.Duration // by the monotonic clock
	Probes int
}

// rig is what stands around the processes of one run.
type rig struct {
	o      Options
	names  []string
	zones  map[string]string
	relays *Relays
	second map[string]bool          // at its second address
	doors  map[string]string        // where operators call, of each node's newest process
	clocks map[string]time.Duration // by how much a node's wall clock is wrong
	starts int
	files  map[string]string // fleet files, by path, without what More says
	says   Says
	wrote  int // how often that has changed

	mu     sync.Mutex
	events []Happened
	cpu    map[string]time.Duration
	rss    map[string]int64
	came   []Came
	probed []Probed
	spared []string
	peers  []PeerEvent
	falls  map[string]int
}

var _ live.Fleet = (*rig)(nil)

// Play plays a script to its end.
func Play(ctx context.Context, s *fault.Script, o Options) (*Account, error) {
	if o.More == nil {
		o.More = func(Says) string { return "" }
	}
	g := &rig{o: o, files: map[string]string{}, zones: map[string]string{}, second: map[string]bool{}, doors: map[string]string{}, clocks: map[string]time.Duration{}, falls: map[string]int{}, cpu: map[string]time.Duration{}, rss: map[string]int64{}}
	for _, n := range s.World.Nodes {
		g.names = append(g.names, n.Name)
		g.zones[n.Name] = n.Zone
	}
	g.says = says(g.names)
	var err error
	if g.relays, err = NewRelays(g.names, s.Seed); err != nil {
		return nil, err
	}
	g.relays.leaks = o.Leak
	defer g.relays.Close()
	r, err := live.Start(ctx, s, live.Options{Node: o.Node, Dir: o.Dir, Log: o.Log, Watch: g, Fleet: g,
		Came:   func(peer, call string) { g.came = append(g.came, Came{record.Now(), peer, call, false}) },
		Done:   func(peer, call string) { g.came = append(g.came, Came{record.Now(), peer, call, true}) },
		Spared: func(_, call string) { g.spared = append(g.spared, call) }})
	if err != nil {
		return nil, err
	}
	a := &Account{Names: g.names, Begin: record.Now(), Wall: time.Duration(time.Now().UnixNano()) - record.Now()}
	began := time.Now()
	asked := make(chan []Asked, 1)
	if o.Crowd != nil {
		go func() { asked <- o.Crowd(ctx, r.Nodes(), s) }()
	}
	said := make(chan []Said, 1)
	if o.Operators != nil {
		go func() { said <- o.Operators(ctx, g.door, s) }()
	}
	g.progress(r, s.Length.D())
	a.End = record.Now()
	if o.Crowd != nil {
		a.Asked = <-asked
	}
	if o.Operators != nil {
		a.Said = <-said
	}
	a.Periods = 1 + int(time.Now().Unix()/int64(countPeriod.Seconds())-began.Unix()/int64(countPeriod.Seconds()))
	r.Wait()
	a.Broken, a.Machine, a.Tally = r.Broken(), r.Machine(), r.Table().Total
	a.Events, a.CPU, a.RSS, a.Passed, a.Came = g.events, g.cpu, g.rss, g.relays.Total(), g.came
	a.Probed, a.Spared, a.Peers = g.probed, g.spared, g.peers
	for _, n := range g.falls {
		a.Falls += n
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return a, g.read(a)
}

// progress tells how it goes until the script is over. What happens then, the planned end of all, is not judged.
func (g *rig) progress(r *live.Run, length time.Duration) {
	each := time.NewTicker(100 * time.Millisecond)
	defer each.Stop()
	told := 0
	for begin := time.Now(); time.Since(begin) < length; {
		select {
		case <-r.Done():
			return
		case <-each.C:
		}
		g.mu.Lock()
		fresh := g.events[min(told, len(g.events)):]
		told = len(g.events)
		g.mu.Unlock()
		if g.o.Tell == nil {
			continue
		}
		for _, e := range fresh {
			g.o.Tell(fmt.Sprintf("%6.2fs  %s", time.Since(begin).Seconds(), e))
		}
	}
}

// String is for people.
func (e Happened) String() string {
	switch {
	case e.What == "clock wrong":
		return fmt.Sprintf("%s has a wall clock that is wrong by %v", e.Node, e.Wrong)
	case e.Node != "":
		return e.Node + " " + e.What
	case e.What == "keepers":
		return "the voters are to be " + strings.Join(e.To, " ")
	case e.Share != 0:
		return fmt.Sprintf("%s: %.2f of what they were", e.What, e.Share)
	case e.Ails != nil && !e.Ended:
		return fmt.Sprintf("%s %+v between %s and %s", e.What, *e.Ails, strings.Join(e.From, " "), strings.Join(e.To, " "))
	}
	return fmt.Sprintf("%s from %s to %s", e.What, strings.Join(e.From, " "), strings.Join(e.To, " "))
}

func (g *rig) door(node string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.doors[node]
}

func (g *rig) note(e Happened) {
	e.At = record.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, e)
}

// joined is how many addresses a process is told to join.
const joined = 3

// Env implements live.Fleet: it writes the fleet file of a node's next process.
func (g *rig) Env(node string, twin bool) ([]string, error) {
	g.starts++
	i := slices.Index(g.names, node)
	slot, own := i, node
	switch {
	case twin:
		slot, own = i+2*len(g.names), node+"~"
	case g.second[node]:
		slot = i + len(g.names)
	}
	home := filepath.Join(g.o.Dir, own)
	if err := os.MkdirAll(g.state(own), 0o700); err != nil {
		return nil, err
	}
	var join []string
	for k := range min(joined, len(g.names)) {
		join = append(join, fmt.Sprintf("%q", g.relays.Front(k)))
	}
	text := fmt.Sprintf("[member]\nfleet = \"rig\"\nlisten = %q\nadvertise = %q\njoin = [%s]\nzone = %q\ndirectory = %q\nrecord = %q\n",
		g.relays.Own(slot), g.relays.Front(slot), strings.Join(join, ", "), g.zones[node], g.state(own),
		filepath.Join(g.o.Dir, own+".jsonl"))
	path := filepath.Join(home, fmt.Sprintf("fleet-%d.toml", g.starts))
	if err := g.write(path, text); err != nil {
		return nil, err
	}
	g.files[path] = text
	ip, _, _ := strings.Cut(g.relays.Own(slot), ":")
	door := fmt.Sprintf("%s:%d", ip, 10000+g.starts)
	env := []string{protocol.EnvFleet + "=" + path, "TMPDIR=" + home, protocol.EnvAdmin + "=" + door}
	if !twin {
		g.mu.Lock()
		g.doors[node] = door
		g.mu.Unlock()
	}
	if g.o.Mutant != "" {
		env = append(env, "OLIVEFLEET_PLANT="+g.o.Mutant)
	}
	if by := g.clocks[node]; by != 0 && !twin {
		env = append(env, "OLIVEFLEET_WALL="+by.String())
	}
	return env, nil
}

// write writes a fleet file at once or not at all: a process may read it just now.
func (g *rig) write(path, text string) error {
	next := path + ".new"
	if err := os.WriteFile(next, []byte(text+g.o.More(g.says)), 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// Amounts implements live.Fleet.
func (g *rig) Amounts(share float64) (int, error) {
	g.says.Share = share
	return g.rewrite(Happened{What: "amounts", Share: share})
}

// Voters implements live.Fleet.
func (g *rig) Voters(names []string) (int, error) {
	g.says.Voters = names
	g.says.Edition++
	return g.rewrite(Happened{What: "keepers", To: names})
}

// rewrite writes all fleet files anew.
func (g *rig) rewrite(e Happened) (int, error) {
	g.wrote++
	for path, text := range g.files {
		if err := g.write(path, text); err != nil {
			return g.wrote, err
		}
	}
	g.note(e)
	return g.wrote, nil
}

func (g *rig) state(own string) string { return filepath.Join(g.o.Dir, own, "state") }

// Tell implements live.Fleet.
func (g *rig) Tell(node, what string, pid int) { g.note(Happened{Node: node, What: what, PID: pid}) }

// Move implements live.Fleet.
func (g *rig) Move(node string) {
	g.second[node] = !g.second[node]
	g.note(Happened{Node: node, What: "moves"})
}

// Clock implements live.Fleet. Only programs that were built for mutants can be told a wrong time: their records show it, so
// that the judge finds where it was not.
func (g *rig) Clock(node string, by time.Duration) {
	g.clocks[node] = by
	g.note(Happened{Node: node, What: "clock wrong", Wrong: by})
}

// Arm implements live.Fleet. Only programs that were built for mutants can be met.
func (g *rig) Arm(node, step string) (met func() bool, goOn func(), err error) {
	arm, at := filepath.Join(g.o.Dir, node, "arm-"+step), filepath.Join(g.o.Dir, node, "at-"+step)
	met = func() bool {
		_, err := os.Stat(at)
		return err == nil
	}
	goOn = func() {
		os.Remove(arm)
		os.Remove(at)
	}
	return met, goOn, os.WriteFile(arm, nil, 0o600)
}

func (g *rig) some(of func(string) bool) (names []string) {
	for _, n := range g.names {
		if of(n) {
			names = append(names, n)
		}
	}
	return names
}

// Cut implements live.Fleet.
func (g *rig) Cut(from, to func(string) bool) func() {
	heal := g.relays.Cut(from, to)
	e := Happened{What: "cut", From: g.some(from), To: g.some(to)}
	g.note(e)
	return func() {
		heal()
		e.Ended, e.What = true, "cut healed"
		g.note(e)
	}
}

// Ail implements live.Fleet.
func (g *rig) Ail(from, to func(string) bool, a fault.Ails) func() {
	heal := g.relays.Ail(from, to, a)
	e := Happened{What: "ail", From: g.some(from), To: g.some(to), Ails: &a}
	g.note(e)
	return func() {
		heal()
		e.Ended, e.What = true, "ail over"
		g.note(e)
	}
}

// Spoil implements live.Fleet. A superuser may write anywhere, so what stands in the way is no mode of a file.
func (g *rig) Spoil(node string, how fault.Spoilt) (func(), error) {
	file := filepath.Join(g.state(node), "life.json")
	next := file + ".new"
	kept, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	restore := func() {
		os.RemoveAll(next)
		os.WriteFile(file, kept, 0o600)
	}
	switch how {
	case fault.Full:
		err = os.Symlink("/dev/full", next)
	case fault.Unwritable:
		err = os.Mkdir(next, 0o700)
	case fault.Foreign:
		err = os.WriteFile(file, []byte(strings.Replace(string(kept), fmt.Sprintf("%q", node), `"somebody-else"`, 1)), 0o600)
	case fault.Torn:
		err = os.WriteFile(file, kept[:len(kept)/2], 0o600)
	case fault.Emptied:
		return func() {}, os.RemoveAll(g.state(node))
	default:
		err = fmt.Errorf("unknown: %q", how)
	}
	return restore, err
}

// Request, Reading and Event implement sample.Sink.
func (g *rig) Request(sample.Request) {}

func (g *rig) Event(e sample.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers = append(g.peers, PeerEvent{record.Now(), e.Who, e.What})
}

func (g *rig) Reading(r sample.Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	probes := 0
	for _, p := range r.Peers {
		probes += p.Probes
		g.falls[p.Name] = p.Falls
	}
	g.probed = append(g.probed, Probed{record.Now(), probes})
	for _, n := range r.Nodes {
		g.cpu[n.Name] = n.CPU
		g.rss[n.Name] = max(g.rss[n.Name], n.Resident)
	}
}

// read reads what the processes recorded.
func (g *rig) read(a *Account) error {
	files, err := filepath.Glob(filepath.Join(g.o.Dir, "*.jsonl"))
	if err != nil {
		return err
	}
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 4<<20)
		for lines.Scan() {
			var l record.Line
			if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
				f.Close()
				return fmt.Errorf("%s: %w", filepath.Base(path), err)
			}
			if strings.HasSuffix(path, "~.jsonl") {
				l.Node += "~" // a stranger's own word
			}
			a.Lines = append(a.Lines, l)
		}
		f.Close()
		if err := lines.Err(); err != nil {
			return fmt.Errorf("%s: %w", filepath.Base(path), err)
		}
	}
	slices.SortStableFunc(a.Lines, func(x, y record.Line) int { return int(x.At - y.At) })
	return nil
}
