package path

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"
)

// tally is what was counted.
type tally struct {
	calls   map[string]count // by name
	writers map[string]count // calls that wrote to sockets, by function
	copiers map[string]count // copies, by function
}

// count is a number of things, and a sum over them: of empty calls, or of bytes.
type count struct{ n, sum float64 }

func newTally() tally {
	return tally{map[string]count{}, map[string]count{}, map[string]count{}}
}

// Entry is a function, or a system call, and what falls to it per request.
type Entry struct {
	Name  string  `json:"name"`
	Count float64 `json:"count"`
	Sum   float64 `json:"sum"` // of bytes; of system calls: those that found nothing
}

// minEntryCount is what falls to a place at least, or it is left out.
const minEntryCount = 0.005

// perRequestEntries are what has been counted since an earlier time, per request, the most first.
func perRequestEntries(now, old map[string]count, requests int) (some []Entry) {
	n := float64(requests)
	for _, name := range slices.Sorted(maps.Keys(now)) {
		p := Entry{name, (now[name].n - old[name].n) / n, (now[name].sum - old[name].sum) / n}
		if p.Count >= minEntryCount {
			some = append(some, p)
		}
	}
	slices.SortStableFunc(some, func(a, b Entry) int { return cmp.Compare(b.Count, a.Count) })
	return some
}

// sumEntries adds up those places whose name is wanted; all, by nil.
func sumEntries(some []Entry, wanted func(string) bool) (n, sum float64) {
	for _, p := range some {
		if wanted == nil || wanted(p.Name) {
			n, sum = n+p.Count, sum+p.Sum
		}
	}
	return n, sum
}

// isSocketWrite reports whether a call by its name sends bytes.
func isSocketWrite(name string) bool {
	return name == "write socket" || name == "writev socket" || strings.HasPrefix(name, "send")
}

// isSocketRead reports whether a call by its name takes bytes.
func isSocketRead(name string) bool { return name == "read socket" || name == "readv socket" }

// tracedConnsDivisor is the part of a load's connections that a traced node is given. It takes some ten times as long for a request, and
// calls that wait for each other would be so old that their clients are looked at, as at full speed they are not.
const tracedConnsDivisor = 4

// countTraced is what a load does by the tracer's count, per request.
func (m *meter) countTraced(ctx context.Context, l Load, copies bool) (calls, writers, copiers []Entry, err error) {
	c, err := m.startNode(ctx, m.Node)
	if err != nil {
		return nil, nil, nil, err
	}
	defer c.kill()
	l.Conns = max(l.Conns/tracedConnsDivisor, 1)
	d := newLoadGenerator(l, c.addr, &m.ids)
	defer d.close()
	s := m.sizes()
	if err := d.runServed(ctx, s.warm); err != nil { // at full speed
		return nil, nil, nil, err
	}
	t, err := startTracer(c.pid(), m.stacks, copies)
	if err != nil {
		return nil, nil, nil, err
	}
	// The tracer hears of all ends first: of two that wait for one process at a time, Linux may leave one asleep.
	defer func() {
		c.cmd.Process.Kill()
		select {
		case <-t.done:
		case <-time.After(responseTimeout):
		}
	}()
	if err := d.runServed(ctx, s.traced/3); err != nil { // and at the tracer's
		return nil, nil, nil, err
	}
	before := t.snapshot()
	if err := d.runServed(ctx, s.traced); err != nil {
		return nil, nil, nil, err
	}
	after := t.snapshot()
	return perRequestEntries(after.calls, before.calls, s.traced), perRequestEntries(after.writers, before.writers, s.traced),
		perRequestEntries(after.copiers, before.copiers, s.traced), nil
}
