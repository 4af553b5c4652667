package path

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"
)

// tally holds the counts of a tracer.
type tally struct {
	calls   map[string]count // system calls by name
	writers map[string]count // system calls that wrote to sockets, by function
	copiers map[string]count // copies by function
}

// count is a number of events and a sum over them: system calls with the number of those that failed with EAGAIN, or
// copies or allocations with their bytes.
type count struct{ n, sum float64 }

func newTally() tally {
	return tally{map[string]count{}, map[string]count{}, map[string]count{}}
}

// Entry is the count of one function or system call per request.
type Entry struct {
	Name  string  `json:"name"`
	Count float64 `json:"count"`
	Sum   float64 `json:"sum"` // bytes; for system calls the number of those that failed with EAGAIN
}

// minEntryCount is the smallest count per request of an entry; entries below it are omitted.
const minEntryCount = 0.005

// perRequestEntries returns the differences of the counts between two times per request, in descending order.
func perRequestEntries(now, old map[string]count, requests int) (entries []Entry) {
	n := float64(requests)
	for _, name := range slices.Sorted(maps.Keys(now)) {
		p := Entry{name, (now[name].n - old[name].n) / n, (now[name].sum - old[name].sum) / n}
		if p.Count >= minEntryCount {
			entries = append(entries, p)
		}
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(b.Count, a.Count) })
	return entries
}

// sumEntries adds up the entries whose name is wanted; a nil wanted selects all.
func sumEntries(entries []Entry, include func(string) bool) (n, sum float64) {
	for _, p := range entries {
		if include == nil || include(p.Name) {
			n, sum = n+p.Count, sum+p.Sum
		}
	}
	return n, sum
}

// isSocketWrite reports whether a system call with this name writes to a socket.
func isSocketWrite(name string) bool {
	return name == "write socket" || name == "writev socket" || strings.HasPrefix(name, "send")
}

// isSocketRead reports whether a system call with this name reads from a socket.
func isSocketRead(name string) bool { return name == "read socket" || name == "readv socket" }

// tracedConnsDivisor is the divisor of the number of a load's connections for a traced node. A traced node takes
// about ten times as long for a request. With all connections, calls would queue for so long that the node checks
// whether their clients have disconnected, which it does not do at full speed.
const tracedConnsDivisor = 4

// countTraced runs a load on a new node under the tracer and returns the counts per request: of copies if copies is
// true, or else of system calls.
func (m *meter) countTraced(ctx context.Context, l Load, copies bool) (calls, writers, copiers []Entry, err error) {
	c, err := m.startNode(ctx, m.Node)
	if err != nil {
		return nil, nil, nil, err
	}
	defer c.kill()
	l.Conns = max(l.Conns/tracedConnsDivisor, 1)
	generator := newLoadGenerator(l, c.addr, &m.callIDs)
	defer generator.close()
	s := m.sizes()
	if err := generator.runServed(ctx, s.warm); err != nil { // without the tracer, at full speed
		return nil, nil, nil, err
	}
	t, err := startTracer(c.pid(), m.stackReader, copies)
	if err != nil {
		return nil, nil, nil, err
	}
	// Let the tracer reap the child before anything else waits for it: of two waiters for one process, Linux may leave
	// one blocked.
	defer func() {
		_ = c.cmd.Process.Kill()
		select {
		case <-t.done:
		case <-time.After(responseTimeout):
		}
	}()
	if err := generator.runServed(ctx, s.traced/3); err != nil { // warm up at the tracer's speed
		return nil, nil, nil, err
	}
	before := t.snapshot()
	if err := generator.runServed(ctx, s.traced); err != nil {
		return nil, nil, nil, err
	}
	after := t.snapshot()
	return perRequestEntries(after.calls, before.calls, s.traced),
		perRequestEntries(after.writers, before.writers, s.traced),
		perRequestEntries(after.copiers, before.copiers, s.traced), nil
}
