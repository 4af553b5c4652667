package campaign

import (
	"path"
	"regexp"
	"strings"
	"sync"
)

// Prefixes of function names in a stack trace: functions of this repository, of the lab, and of
// this package. Functions of this package are at the bottom of the stack of every run.
const (
	modulePrefix   = "olivebridge/"
	labPrefix      = modulePrefix + "internal/lab/"
	campaignPrefix = labPrefix + "campaign."
)

// outputBuffer keeps the beginning and the end of a worker's output. Both are needed: a panic's
// message comes before the stacks of all goroutines, and the nodes' logs come before the panic.
type outputBuffer struct {
	mu        sync.Mutex
	head      []byte
	tail      []byte
	truncated bool
}

// keptBytes is the number of bytes kept of the beginning, and of the end.
const keptBytes = 64 << 10

// Write implements io.Writer.
func (l *outputBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(b)
	if room := keptBytes - len(l.head); room > 0 {
		l.head = append(l.head, b[:min(room, n)]...)
		b = b[min(room, n):]
	}
	if l.tail = append(l.tail, b...); len(l.tail) > 2*keptBytes {
		l.tail = append(l.tail[:0], l.tail[len(l.tail)-keptBytes:]...)
		l.truncated = true
	}
	return n, nil
}

// String returns the kept output, with a mark in the place of what was dropped.
func (l *outputBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.truncated {
		return string(l.head) + string(l.tail)
	}
	return string(l.head) + "\n[...]\n" + string(l.tail)
}

// digest returns one line: the reason why the process ended, and the innermost functions of
// this repository in its goroutines.
func (l *outputBuffer) digest() string { return digest(l.String()) }

// maxFrames is the largest number of goroutines in a digest.
const maxFrames = 4

var (
	reasonPattern    = regexp.MustCompile(`(?m)^(?:panic|fatal error|runtime|SIGQUIT|worker): ?.*$`)
	goroutinePattern = regexp.MustCompile(`(?m)^goroutine \d+ (?:[^\[\n]*)\[([^\]\n]*)\]:\n((?:.+\n?)*)`)
)

// digest returns the digest of a process's output.
func digest(output string) string {
	reason := reasonPattern.FindString(output)
	if reason == "" {
		reason, _, _ = strings.Cut(strings.TrimSpace(output), "\n")
	}
	if reason == "" {
		reason = "it ended and said nothing"
	}
	parts := []string{reason}
	node, lab := frames(output)
	if len(node) == 0 { // frames of the node are more useful than those of the lab
		node = lab
	}
	return strings.Join(append(parts, node[:min(len(node), maxFrames)]...), "; ")
}

// frames returns the innermost function of this repository and the wait state of each goroutine,
// split into functions of the node and of the lab. Equal functions are listed once.
func frames(output string) (node, lab []string) {
	seen := map[string]bool{}
	for _, g := range goroutinePattern.FindAllStringSubmatch(output, -1) {
		f := innermostFrame(g[2])
		if f == "" || seen[f] {
			continue
		}
		seen[f] = true
		line := f + " [" + g[1] + "]"
		if strings.HasPrefix(f, labPrefix) {
			lab = append(lab, line)
		} else {
			node = append(node, line)
		}
	}
	return node, lab
}

// innermostFrame returns the first frame of this repository in a goroutine's stack, outside of this
// package: function, file and line. It returns "" if there is none.
func innermostFrame(stack string) string {
	lines := strings.Split(stack, "\n")
	for i := 0; i+1 < len(lines); i++ {
		call, at := lines[i], strings.TrimSpace(lines[i+1])
		if !strings.HasPrefix(call, modulePrefix) || strings.HasPrefix(call, campaignPrefix) {
			continue
		}
		if open := strings.LastIndexByte(call, '('); open > 0 {
			call = call[:open] // drop the arguments: they are addresses
		}
		place, _, _ := strings.Cut(at, " ")
		return call + " " + path.Base(place)
	}
	return ""
}
