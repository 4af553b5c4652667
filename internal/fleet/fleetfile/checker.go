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
	// MaxJoin is how many addresses to join may be named. Three of any zone are enough.
	MaxJoin = 64
	// maxName bounds names and zones, which go with messages, in bytes.
	maxName = 64
	// maxVoters bounds the voters of a log.
	maxVoters = 5
)

// checker checks a file that was decoded, sets what is missing, and keeps the first error.
type checker struct {
	file  string
	lines map[string]int // of keys and tables
	err   error
}

// checkFile checks all tables.
func (c *checker) checkFile(f *File) {
	c.checkMember(&f.Member)
	c.checkBudgets(f)
	c.checkChoices(&f.Choices)
	c.checkWork(&f.Work)
	if c.has("operators") {
		f.Operators.Edition = c.checkVoters("operators", f.Operators.Voters, f.Operators.Edition)
	}
}

// has reports whether the file has a key or table.
func (c *checker) has(key string) bool {
	_, has := c.lines[key]
	return has
}

// fail reports an error at a key, unless there was one before.
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

// checkVoters checks the names of the voters of a table's log, and returns their edition.
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

// checkNames checks a list of names of which each stands once.
func (c *checker) checkNames(key string, names []string) {
	for i, name := range names {
		c.checkWord(key, name)
		if slices.Contains(names[:i], name) {
			c.fail(key, "%q stands twice", name)
		}
	}
}

// checkRange checks a number between two bounds.
func (c *checker) checkRange(key string, value, minValue, maxValue int) {
	if value < minValue || value > maxValue {
		c.fail(key, "%d is not from %d to %d", value, minValue, maxValue)
	}
}

// checkDuration reads a time between two bounds.
func (c *checker) checkDuration(key, text string, minValue, maxValue time.Duration) time.Duration {
	value, err := time.ParseDuration(text)
	if err != nil || value < minValue || value > maxValue {
		c.fail(key, "not a time from %v to %v: %q", minValue, maxValue, text)
	}
	return value
}

// checkWord checks a word of printable ASCII.
func (c *checker) checkWord(key, word string) {
	if word == "" {
		c.fail(key, "missing")
		return
	}
	c.checkOptionalWord(key, word)
}

// checkOptionalWord checks a word that may be empty.
func (c *checker) checkOptionalWord(key, word string) {
	unprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	switch {
	case len(word) > maxName:
		c.fail(key, "%d bytes, %d at most", len(word), maxName)
	case strings.ContainsFunc(word, unprintable):
		c.fail(key, "not a word of printable ASCII: %q", word)
	}
}

// checkAddress checks an IP address with a port, at which others can reach a node. Names of hosts are not resolved.
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
		c.fail(key, "port 0, where others would not find it: %q", text)
	case addr.Addr().IsUnspecified():
		c.fail(key, "%s is no address of its own", addr.Addr())
	}
}
