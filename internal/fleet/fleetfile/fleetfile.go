// Package fleetfile reads the file that tells a node of its fleet. It holds as a whole or not at all; what is wrong
// with it is told by file, line and key.
package fleetfile

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is what a node is told of its fleet.
type File struct {
	Member  Member   `toml:"member"`
	Book    Book     `toml:"book"`
	Budgets []Budget `toml:"budget"`
	Choices Choices  `toml:"choices"`
	Work    Work     `toml:"work"`

	Operators Operators `toml:"operators"`
}

// Work says which calls are kept beyond the loss of a node. All nodes of a fleet say the same.
type Work struct {
	Classes []string `toml:"classes"` // names of classes of calls
	Voters  []string `toml:"keepers"` // names of nodes; an odd number
	Edition int      `toml:"edition"` // of voters: higher by one with each change of them
	Window  string   `toml:"window"`  // for how long a call is kept after its last change
	Most    int      `toml:"most"`    // calls that are kept at one time
	Tries   int      `toml:"tries"`   // nodes that may let one call out, where none of the earlier has

	WindowTime time.Duration `toml:"-"`
}

// Operators says who keeps operators' work over the whole fleet. All nodes of a fleet say the same.
type Operators struct {
	Voters  []string `toml:"keepers"` // names of nodes; an odd number; none: each node's door is for itself
	Edition int      `toml:"edition"` // of voters: higher by one with each change of them
}

// Choices says with how many peers of a large upstream group a node works. All nodes of a fleet say the same.
type Choices struct {
	Copies int `toml:"copies"` // how many nodes work with each peer; 0: all
	Least  int `toml:"least"`  // the least number of peers that a node works with
	// Witnesses is on the word of how many other nodes a peer is left alone for a while; 0: nodes tell each other nothing.
	Witnesses int `toml:"witnesses"`
}

// Book says who keeps the book of the budgets, and on what terms. All nodes of a fleet say the same.
type Book struct {
	Voters  []string `toml:"keepers"` // names of nodes; an odd number
	Edition int      `toml:"edition"` // of voters: higher by one with each change of them
	Lease   string   `toml:"lease"`   // how long a part may be used
	Reserve float64  `toml:"reserve"` // part of every whole that is never lent
	Seats   int      `toml:"seats"`   // in how many parts it is cut: the most nodes that there will be

	LeaseTime time.Duration `toml:"-"`
}

// Budget is an amount that all nodes together may use.
type Budget struct {
	Name   string  `toml:"name"`
	Tenant string  `toml:"tenant"` // whose requests it is for
	Use    string  `toml:"use"`    // "retries", "cold-peers": see Retries and ColdPeers; such a budget has no tenant
	Kind   string  `toml:"kind"`   // "rate", which is meant if it is missing, "in-use" or "count"
	Rate   float64 `toml:"rate"`   // of a rate: requests a second
	Burst  float64 `toml:"burst"`  // of a rate: requests, beyond that
	Most   int     `toml:"most"`   // of in-use: requests at one time
	Count  int     `toml:"count"`  // of a count: requests in a period
	Period string  `toml:"period"` // of a count: its length; periods begin at 00:00 UTC of 1970

	PeriodTime time.Duration `toml:"-"`
}

// Member is the node's place among the others.
type Member struct {
	Fleet     string   `toml:"fleet"`     // the fleet's name; messages of others are not taken
	Listen    string   `toml:"listen"`    // own address, UDP and TCP
	Advertise string   `toml:"advertise"` // where others reach it; "": Listen
	Join      []string `toml:"join"`      // addresses of others; its own is passed over
	Zone      string   `toml:"zone"`      // may be empty
	Directory string   `toml:"directory"` // for what must last; no other node has it
	Record    string   `toml:"record"`    // file that is told what this process believes; "": none
}

// Retries is the Use of a budget for tries that are not their call's first.
const Retries = "retries"

// ColdPeers is the Use of a budget for tries to each peer that has just started.
const ColdPeers = "cold-peers"

// MaxJoin is how many addresses to join may be named. Three of any zone do.
const MaxJoin = 64

// maxName bounds names and zones, which go with messages.
const maxName = 64

// Error is one thing that is wrong with a file.
type Error struct {
	File   string
	Line   int
	Key    string // "": the file itself
	Reason string
}

func (e *Error) Error() string {
	at := fmt.Sprintf("fleet file %s", e.File)
	if e.Line > 0 {
		at += fmt.Sprintf(", line %d", e.Line)
	}
	if e.Key != "" {
		at += ": " + e.Key
	}
	return at + ": " + e.Reason
}

// Load reads a file.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var at *os.PathError
		if errors.As(err, &at) {
			err = at.Err
		}
		return nil, &Error{File: path, Reason: err.Error()}
	}
	return Parse(path, data)
}

// Fixed names what differs in another file and cannot change while a node runs; "": nothing.
func (f *File) Fixed(next *File) string {
	switch {
	case !reflect.DeepEqual(f.Member, next.Member):
		return "member"
	case f.Book.without() != next.Book.without():
		return "book"
	case older(f.Book.Voters, f.Book.Edition, next.Book.Voters, next.Book.Edition):
		return "book.keepers, without a higher edition,"
	case (len(f.Operators.Voters) == 0) != (len(next.Operators.Voters) == 0):
		return "operators"
	case older(f.Operators.Voters, f.Operators.Edition, next.Operators.Voters, next.Operators.Edition):
		return "operators.keepers, without a higher edition,"
	case older(f.Work.Voters, f.Work.Edition, next.Work.Voters, next.Work.Edition):
		return "work.keepers, without a higher edition,"
	case f.Choices != next.Choices:
		return "choices"
	case !reflect.DeepEqual(f.Work.without(), next.Work.without()):
		return "work"
	case len(f.Budgets) != len(next.Budgets):
		return "the list of budgets"
	}
	for i, a := range f.Budgets {
		b := next.Budgets[i]
		if a.Name != b.Name || a.Tenant != b.Tenant || a.Use != b.Use || a.Kind != b.Kind || a.PeriodTime != b.PeriodTime {
			return fmt.Sprintf("name, tenant, kind or period of budget %q", a.Name)
		}
	}
	return ""
}

// older reports whether voters differ, and the later ones do not say so by their edition.
func older(a []string, edition int, b []string, next int) bool {
	return next < edition || next == edition && !slices.Equal(a, b)
}

// terms are a book without its voters.
type terms struct {
	lease   time.Duration
	reserve float64
	seats   int
}

func (b Book) without() terms { return terms{b.LeaseTime, b.Reserve, b.Seats} }

func (w Work) without() Work {
	w.Voters, w.Edition = nil, 0
	return w
}

// Parse reads a file's bytes.
func Parse(path string, data []byte) (*File, error) {
	f := &File{}
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		return nil, decodeError(path, err)
	}
	c := checker{file: path, lines: lines(data)}
	c.member(&f.Member)
	c.budgets(f)
	c.choices(&f.Choices)
	c.work(&f.Work)
	if _, said := c.lines["operators"]; said {
		f.Operators.Edition = c.voters("operators", f.Operators.Voters, f.Operators.Edition)
	}
	if c.err != nil {
		return nil, c.err
	}
	return f, nil
}

// decodeError words what the library found.
func decodeError(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := &strict.Errors[0]
		line, _ := first.Position()
		return &Error{path, line, strings.Join(first.Key(), "."), "unknown key"}
	}
	var at *toml.DecodeError
	if errors.As(err, &at) {
		line, _ := at.Position()
		return &Error{path, line, strings.Join(at.Key(), "."), strings.TrimPrefix(at.Error(), "toml: ")}
	}
	return &Error{File: path, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
}

// lines tells where each key stands, and each table.
func lines(data []byte) map[string]int {
	at := map[string]int{}
	p := unstable.Parser{}
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for k := e.Key(); k.Next(); {
			parts = append(parts, string(k.Node().Data))
			if line == 0 {
				line = 1 + bytes.Count(data[:k.Node().Raw.Offset], []byte("\n"))
			}
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = key + "."
			at[key] = line
		case unstable.KeyValue:
			at[table+key] = line
		}
	}
	return at
}

type checker struct {
	file  string
	lines map[string]int
	err   error
}

func (c *checker) fail(key, format string, args ...any) {
	if c.err != nil {
		return
	}
	line, ok := c.lines[key]
	if !ok { // it is missing: its table is where it should stand
		table, _, _ := strings.Cut(key, ".")
		line = c.lines[table]
	}
	c.err = &Error{c.file, line, key, fmt.Sprintf(format, args...)}
}

func (c *checker) member(m *Member) {
	c.word("member.fleet", m.Fleet, false)
	c.word("member.zone", m.Zone, true)
	c.address("member.listen", m.Listen)
	if m.Advertise == "" {
		m.Advertise = m.Listen
	}
	c.address("member.advertise", m.Advertise)
	if len(m.Join) > MaxJoin {
		c.fail("member.join", "%d addresses, %d at most", len(m.Join), MaxJoin)
	}
	for _, a := range m.Join {
		c.address("member.join", a)
	}
	switch {
	case m.Directory == "":
		c.fail("member.directory", "missing")
	case !filepath.IsAbs(m.Directory):
		c.fail("member.directory", "not an absolute path: %q", m.Directory)
	}
}

// The bounds of the book's terms.
const (
	leastLease  = 500 * time.Millisecond // with eight asks in it, and an election of the leader within
	mostLease   = time.Minute
	mostVoters  = 5
	mostSeats   = 1024
	mostBudgets = 64
)

// budgets checks the budgets, and the book that they need.
func (c *checker) budgets(f *File) {
	if len(f.Budgets) == 0 {
		return
	}
	if len(f.Budgets) > mostBudgets {
		c.fail("budget", "%d budgets, %d at most", len(f.Budgets), mostBudgets)
	}
	b := &f.Book
	b.Edition = c.voters("book", b.Voters, b.Edition)
	var err error
	if b.LeaseTime, err = time.ParseDuration(b.Lease); err != nil || b.LeaseTime < leastLease || b.LeaseTime > mostLease {
		c.fail("book.lease", "not a time from %v to %v: %q", leastLease, mostLease, b.Lease)
	}
	if !(b.Reserve >= 0 && b.Reserve <= 0.5) {
		c.fail("book.reserve", "%g is not from 0 to 0.5", b.Reserve)
	}
	if b.Seats < 1 || b.Seats > mostSeats {
		c.fail("book.seats", "%d is not from 1 to %d", b.Seats, mostSeats)
	}
	names, tenants := map[string]bool{}, map[string]bool{}
	for i, one := range f.Budgets {
		c.word("budget.name", one.Name, false)
		switch {
		case one.Use == "":
			c.word("budget.tenant", one.Tenant, false)
		case one.Use != Retries && one.Use != ColdPeers:
			c.fail("budget.use", "%q: there are %q and %q", one.Use, Retries, ColdPeers)
		case one.Tenant != "":
			c.fail("budget.tenant", "%q is for %s, of whatever tenant", one.Name, one.Use)
		case one.Kind != "" && one.Kind != "rate":
			c.fail("budget.kind", "%q is for %s, which have a rate", one.Name, one.Use)
		}
		whose := one.Use + " " + one.Tenant
		if names[one.Name] || tenants[whose] {
			c.fail("budget", "%q: its name, its tenant or its use stands twice", one.Name)
		}
		names[one.Name], tenants[whose] = true, true
		c.amount(&f.Budgets[i], b.Seats)
	}
}

// voters checks the names of those that keep a log, and returns their edition.
func (c *checker) voters(table string, names []string, edition int) int {
	key := table + ".keepers"
	if _, said := c.lines[table+".edition"]; !said {
		edition = 1
	}
	if edition < 1 {
		c.fail(table+".edition", "%d is not 1 or more", edition)
	}
	if n := len(names); n%2 == 0 || n > mostVoters {
		c.fail(key, "%d names: 1, 3 or 5 are wanted", n)
	}
	for i, k := range names {
		c.word(key, k, false)
		if slices.Contains(names[:i], k) {
			c.fail(key, "%q stands twice", k)
		}
	}
	return edition
}

// The bounds of kept work, and what is meant where nothing is said.
const (
	leastWindow   = 10 * time.Second
	mostWindow    = 7 * 24 * time.Hour
	mostWork      = 1000000
	mostTries     = 10
	defaultWindow = "1h"
	defaultWork   = 100000
	defaultTries  = 3
)

// work checks what is said of kept calls.
func (c *checker) work(w *Work) {
	if _, said := c.lines["work"]; !said {
		return
	}
	if len(w.Classes) == 0 {
		c.fail("work.classes", "missing")
	}
	for i, name := range w.Classes {
		c.word("work.classes", name, false)
		if slices.Contains(w.Classes[:i], name) {
			c.fail("work.classes", "%q stands twice", name)
		}
	}
	w.Edition = c.voters("work", w.Voters, w.Edition)
	w.Window, w.Most, w.Tries = cmp.Or(w.Window, defaultWindow), cmp.Or(w.Most, defaultWork), cmp.Or(w.Tries, defaultTries)
	var err error
	if w.WindowTime, err = time.ParseDuration(w.Window); err != nil || w.WindowTime < leastWindow || w.WindowTime > mostWindow {
		c.fail("work.window", "not a time from %v to %v: %q", leastWindow, mostWindow, w.Window)
	}
	if w.Most < 1 || w.Most > mostWork {
		c.fail("work.most", "%d is not from 1 to %d", w.Most, mostWork)
	}
	if w.Tries < 1 || w.Tries > mostTries {
		c.fail("work.tries", "%d is not from 1 to %d", w.Tries, mostTries)
	}
}

// The bounds of witnesses. One alone may be wrong, or cut off.
const (
	leastWitnesses = 2
	mostWitnesses  = 20
)

// The bounds of choices. With one copy a peer's only node may die, and nobody is left who knows it.
const (
	leastCopies  = 2
	mostCopies   = 1000
	mostOfANode  = 100000
	defaultLeast = 64
)

// choices checks what is said of subsets.
func (c *checker) choices(f *Choices) {
	_, said := c.lines["choices"]
	switch {
	case !said:
		return
	case f.Witnesses != 0 && (f.Witnesses < leastWitnesses || f.Witnesses > mostWitnesses):
		c.fail("choices.witnesses", "%d is not from %d to %d", f.Witnesses, leastWitnesses, mostWitnesses)
	case f.Copies == 0 && f.Witnesses > 0 && f.Least == 0: // signals alone
		return
	case f.Copies < leastCopies || f.Copies > mostCopies:
		c.fail("choices.copies", "%d is not from %d to %d", f.Copies, leastCopies, mostCopies)
	case f.Least < 0 || f.Least > mostOfANode:
		c.fail("choices.least", "%d is not from 0 to %d", f.Least, mostOfANode)
	}
	if _, said := c.lines["choices.least"]; !said {
		f.Least = defaultLeast
	}
}

// mostAmount bounds amounts: beyond it a unit is lost in rounding.
const mostAmount = 10000000

// amount checks what a budget's kind states, and that it states nothing else.
func (c *checker) amount(b *Budget, seats int) {
	if b.Kind == "" {
		b.Kind = "rate"
	}
	kinds := map[string][]string{"rate": {"rate", "burst"}, "in-use": {"most"}, "count": {"count", "period"}}
	takes, known := kinds[b.Kind]
	if !known {
		c.fail("budget.kind", "%q is none of rate, in-use and count", b.Kind)
		return
	}
	for key, stated := range map[string]bool{"rate": b.Rate != 0, "burst": b.Burst != 0, "most": b.Most != 0, "count": b.Count != 0,
		"period": b.Period != ""} {
		if stated && !slices.Contains(takes, key) {
			c.fail("budget."+key, "%q is of the kind %s, which has none", b.Name, b.Kind)
		}
	}
	switch b.Kind {
	case "rate":
		if !(b.Rate >= 0 && b.Rate <= mostAmount) {
			c.fail("budget.rate", "%g is not from 0 to %d", b.Rate, mostAmount)
		}
		if least := float64(seats) + 1; !(b.Burst >= least && b.Burst <= mostAmount) { // each seat needs one unit of its own
			c.fail("budget.burst", "%g is not from %g, one more than seats, to %d", b.Burst, least, mostAmount)
		}
	case "in-use":
		if b.Most < 0 || b.Most > mostAmount {
			c.fail("budget.most", "%d is not from 0 to %d", b.Most, mostAmount)
		}
	case "count":
		if b.Count < 0 || b.Count > mostAmount {
			c.fail("budget.count", "%d is not from 0 to %d", b.Count, mostAmount)
		}
		var err error
		if b.PeriodTime, err = time.ParseDuration(b.Period); err != nil || b.PeriodTime < time.Minute {
			c.fail("budget.period", "not a time of a minute or more: %q", b.Period)
		}
	}
}

func (c *checker) word(key, w string, mayMiss bool) {
	switch {
	case w == "" && !mayMiss:
		c.fail(key, "missing")
	case len(w) > maxName:
		c.fail(key, "%d bytes, %d at most", len(w), maxName)
	case strings.ContainsFunc(w, func(r rune) bool { return r <= ' ' || r > '~' }):
		c.fail(key, "not a word of printable ASCII: %q", w)
	}
}

// address takes IP and port: there are no names here.
func (c *checker) address(key, a string) {
	if a == "" {
		c.fail(key, "missing")
		return
	}
	at, err := netip.ParseAddrPort(a)
	switch {
	case err != nil:
		c.fail(key, "not IP:port: %q", a)
	case at.Port() == 0:
		c.fail(key, "port 0, where others would not find it: %q", a)
	case at.Addr().IsUnspecified():
		c.fail(key, "%s is no address of its own", at.Addr())
	}
}
