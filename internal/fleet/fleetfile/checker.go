package fleetfile

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// MaxJoin is the maximum number of addresses to join. Three addresses, in any zone, are enough.
	MaxJoin = 64
	// maxName is the maximum length of names and zones in bytes. They are sent with messages.
	maxName = 64
	// maxVoters is the maximum number of voters of a raft log.
	maxVoters = 5
)

// checker validates a decoded file, sets the defaults of missing keys, and keeps the first error.
type checker struct {
	file  string
	lines map[string]int // line of each key and table
	err   error
}

// checkFile checks all tables of a file.
func (c *checker) checkFile(f *File) {
	c.checkMember(&f.Member)
	c.checkBudgets(f)
	c.checkChoices(&f.Choices)
	c.checkWork(&f.Work)
	if c.has("operators") {
		f.Operators.Edition = c.checkVoters("operators", f.Operators.Voters, f.Operators.Edition)
	}
}

// has reports whether the file contains a key or table.
func (c *checker) has(key string) bool {
	_, has := c.lines[key]
	return has
}

// fail records an error at a key, unless an earlier error is recorded. The line is that of the key, or that of its
// table if the key is missing.
func (c *checker) fail(key, format string, args ...any) {
	if c.err != nil {
		return
	}
	line, ok := c.lines[key]
	if !ok { // the key is missing
		table, _, _ := strings.Cut(key, ".")
		line = c.lines[table]
	}
	c.err = &Error{c.file, line, key, fmt.Sprintf(format, args...)}
}

// checkMember checks table member and sets the default of its key advertise.
func (c *checker) checkMember(m *Member) {
	c.checkWord("member.fleet", m.Fleet)
	c.checkOptionalWord("member.zone", m.Zone)
	c.checkAddress("member.listen", m.Listen)
	if m.Advertise == "" {
		m.Advertise = m.Listen
	}
	c.checkAddress("member.advertise", m.Advertise)
	if len(m.Join) > MaxJoin {
		c.fail("member.join", "%d addresses, %d at most", len(m.Join), MaxJoin)
	}
	for _, addr := range m.Join {
		c.checkAddress("member.join", addr)
	}
	switch {
	case m.Directory == "":
		c.fail("member.directory", "missing")
	case !filepath.IsAbs(m.Directory):
		c.fail("member.directory", "not an absolute path: %q", m.Directory)
	}
}

// checkVoters checks the names of the voters of a table's log and their edition, which is 1 if missing. It returns the
// edition.
func (c *checker) checkVoters(table string, names []string, edition int) int {
	key := table + ".keepers"
	if !c.has(table + ".edition") {
		edition = 1
	}
	if edition < 1 {
		c.fail(table+".edition", "%d is not 1 or more", edition)
	}
	if n := len(names); n%2 == 0 || n > maxVoters {
		c.fail(key, "%d names: 1, 3 or 5 are wanted", n)
	}
	c.checkNames(key, names)
	return edition
}

// checkNames checks a list of names without duplicates.
func (c *checker) checkNames(key string, names []string) {
	for i, name := range names {
		c.checkWord(key, name)
		if slices.Contains(names[:i], name) {
			c.fail(key, "%q stands twice", name)
		}
	}
}

// checkRange checks that a number lies between two inclusive bounds.
func (c *checker) checkRange(key string, value, minValue, maxValue int) {
	if value < minValue || value > maxValue {
		c.fail(key, "%d is not from %d to %d", value, minValue, maxValue)
	}
}

// checkDuration parses a duration and checks that it lies between two inclusive bounds.
func (c *checker) checkDuration(key, text string, minValue, maxValue time.Duration) time.Duration {
	value, err := time.ParseDuration(text)
	if err != nil || value < minValue || value > maxValue {
		c.fail(key, "not a time from %v to %v: %q", minValue, maxValue, text)
	}
	return value
}

// checkWord checks a word of printable ASCII that must not be empty.
func (c *checker) checkWord(key, word string) {
	if word == "" {
		c.fail(key, "missing")
		return
	}
	c.checkOptionalWord(key, word)
}

// checkOptionalWord checks a word of printable ASCII that may be empty.
func (c *checker) checkOptionalWord(key, word string) {
	unprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	switch {
	case len(word) > maxName:
		c.fail(key, "%d bytes, %d at most", len(word), maxName)
	case strings.ContainsFunc(word, unprintable):
		c.fail(key, "not a word of printable ASCII: %q", word)
	}
}

// checkAddress checks an IP address and port at which other nodes can reach a node. Host names are not resolved.
func (c *checker) checkAddress(key, text string) {
	if text == "" {
		c.fail(key, "missing")
		return
	}
	addr, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		c.fail(key, "not IP:port: %q", text)
	case addr.Port() == 0:
		c.fail(key, "port 0, which other nodes cannot reach: %q", text)
	case addr.Addr().IsUnspecified():
		c.fail(key, "%s is no address of its own", addr.Addr())
	}
}
