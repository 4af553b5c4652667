package campaign

import (
	"path"
	"regexp"
	"strings"
	"sync"
)

// How functions begin in a goroutine's frames: those of this repository, of the lab, and of
// this package, which stand beneath every run.
const (
	module   = "olivebridge/"
	ofLab    = module + "internal/lab/"
	ofWorker = ofLab + "campaign."
)

// lastWords keeps what a worker writes beside its replies: the beginning and the end of it,
// since a panic stands before all goroutines, and logs stand before the panic.
type lastWords struct {
	mu   sync.Mutex
	head []byte
	tail []byte
	cut  bool
}

const keptWords = 64 << 10 // bytes, at each end

// Write implements io.Writer.
func (l *lastWords) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(b)
	if room := keptWords - len(l.head); room > 0 {
		l.head = append(l.head, b[:min(room, n)]...)
		b = b[min(room, n):]
	}
	if l.tail = append(l.tail, b...); len(l.tail) > 2*keptWords {
		l.tail = append(l.tail[:0], l.tail[len(l.tail)-keptWords:]...)
		l.cut = true
	}
	return n, nil
}

func (l *lastWords) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		return string(l.head) + string(l.tail)
	}
	return string(l.head) + "\n[...]\n" + string(l.tail)
}

// digest is one line: what ended the process, and where this repository's goroutines stood.
func (l *lastWords) digest() string { return digest(l.String()) }

// mostFrames bounds the goroutines that a digest names.
const mostFrames = 4

var (
	reason    = regexp.MustCompile(`(?m)^(?:panic|fatal error|runtime|SIGQUIT|worker): ?.*$`)
	goroutine = regexp.MustCompile(`(?m)^goroutine \d+ (?:[^\[\n]*)\[([^\]\n]*)\]:\n((?:.+\n?)*)`)
)

func digest(said string) string {
	why := reason.FindString(said)
	if why == "" {
		why, _, _ = strings.Cut(strings.TrimSpace(said), "\n")
	}
	if why == "" {
		why = "it ended and said nothing"
	}
	parts := []string{why}
	node, lab := frames(said)
	if len(node) == 0 { // the node's own tell more than the lab's
		node = lab
	}
	return strings.Join(append(parts, node[:min(len(node), mostFrames)]...), "; ")
}

// frames names for each goroutine the innermost function of this repository: those of the
// node, and those of the lab. Many that stand alike are named once.
func frames(said string) (node, lab []string) {
	seen := map[string]bool{}
	for _, g := range goroutine.FindAllStringSubmatch(said, -1) {
		f := innermost(g[2])
		if f == "" || seen[f] {
			continue
		}
		seen[f] = true
		line := f + " [" + g[1] + "]"
		if strings.HasPrefix(f, ofLab) {
			lab = append(lab, line)
		} else {
			node = append(node, line)
		}
	}
	return node, lab
}

// innermost is the first frame of this repository in a goroutine's: function, file and line.
func innermost(stack string) string {
	lines := strings.Split(stack, "\n")
	for i := 0; i+1 < len(lines); i++ {
		call, at := lines[i], strings.TrimSpace(lines[i+1])
		if !strings.HasPrefix(call, module) || strings.HasPrefix(call, ofWorker) {
			continue
		}
		if open := strings.LastIndexByte(call, '('); open > 0 {
			call = call[:open] // its arguments are addresses
		}
		place, _, _ := strings.Cut(at, " ")
		return call + " " + path.Base(place)
	}
	return ""
}
