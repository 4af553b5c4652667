// Package path meters what a request on the plain path costs a node: a real one, as a child process on
// loopback, between stand-in peers and a lean load, next to httputil.ReverseProxy in the same place.
package path

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"
)

// Options say what is metered, and how long.
type Options struct {
	Root     string   // of the source tree; the node is built there
	Node     string   // a node built already; "": one is built
	Overlay  string   // of the go command, for a build with a planted fault
	Proxy    []string // the command that calls ServeProxy with the addresses that follow; none: the node alone
	Loads    []string // their names; none: all
	ProxyGC  int      // the proxy's GOGC; 0: Go's own
	Pairs    int      // how often node and proxy are measured in turn
	Short    bool     // fewer requests: for the counts, not for the times
	Progress io.Writer
}

// peerCount is how many peers there are.
const peerCount = 12

// sizes are how many requests a load has in each pass.
type sizes struct{ warm, timed, traced, profiled int }

func (o Options) sizes() sizes {
	if o.Short {
		return sizes{warm: 1500, timed: 3000, traced: 300, profiled: 1000}
	}
	return sizes{warm: 3000, timed: 20000, traced: 1000, profiled: 5000}
}

// Meter is one measurement: its stand-ins, and where its files are.
type meter struct {
	Options
	dir       string
	profiled  string  // a node that writes its allocations, if it is built for that
	stacks    *stacks // nil: there are no symbols
	peers     *peers
	discovery *discovery
	ids       ids
}

// Measure meters the path.
func Measure(ctx context.Context, o Options) (*Report, error) {
	for _, name := range o.Loads {
		if !slices.ContainsFunc(Loads(), func(l Load) bool { return l.Name == name }) {
			return nil, fmt.Errorf("load %q: there is none of that name", name)
		}
	}
	dir, err := os.MkdirTemp("", "olivelab-path")
	if err != nil {
		return nil, fmt.Errorf("a place for what is built: %w", err)
	}
	defer os.RemoveAll(dir)
	m := &meter{Options: o, dir: dir}
	if m.profiled = m.Node; m.Node == "" {
		if m.Node, err = m.build(ctx, "node"); err != nil {
			return nil, err
		}
		if m.profiled, err = m.build(ctx, "profiled-node", "-tags", profileTag); err != nil {
			return nil, err
		}
	}
	r := &Report{Go: runtime.Version(), Short: o.Short}
	if m.stacks, err = readSymbols(m.Node); err != nil {
		r.NotCounted = append(r.NotCounted, err.Error())
	}
	if m.peers, err = startPeers(peerCount); err != nil {
		return nil, err
	}
	defer m.peers.close()
	if m.discovery, err = startDiscovery(m.peers.addresses()); err != nil {
		return nil, err
	}
	defer m.discovery.close()
	for _, l := range Loads() {
		if len(o.Loads) > 0 && !slices.Contains(o.Loads, l.Name) {
			continue
		}
		f, err := m.pairs(ctx, l)
		if err != nil {
			return nil, err
		}
		missing, err := m.places(ctx, l, &f)
		if err != nil {
			return nil, err
		}
		for _, why := range missing {
			if !slices.Contains(r.NotCounted, why.Error()) {
				r.NotCounted = append(r.NotCounted, why.Error())
			}
		}
		r.Loads = append(r.Loads, f)
	}
	return r, nil
}

// build builds the node from the tree, by the go command's flags.
func (m *meter) build(ctx context.Context, name string, flags ...string) (string, error) {
	m.say("building the %s", name)
	program := filepath.Join(m.dir, name)
	args := append([]string{"build", "-o", program}, flags...)
	if m.Overlay != "" {
		args = append(args, "-overlay", m.Overlay)
	}
	cmd := exec.CommandContext(ctx, "go", append(args, "./cmd/olivebridge")...)
	cmd.Dir = m.Root
	if said, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the node: %w: %s", err, strings.ReplaceAll(strings.TrimSpace(string(said)), "\n", "; "))
	}
	return program, nil
}

func (m *meter) say(form string, args ...any) {
	if m.Progress != nil {
		fmt.Fprintf(m.Progress, form+"\n", args...)
	}
}

func (m *meter) node(ctx context.Context, program string, env ...string) (*child, error) {
	return startNode(ctx, program, m.dir, m.peers.addresses(), m.discovery.addr, env...)
}

// pairs measures a load on node and proxy in turn.
func (m *meter) pairs(ctx context.Context, l Load) (Figures, error) {
	f := Figures{Load: l.Name, About: l.About, Requests: m.sizes().timed}
	var nodes, proxies []Process
	for i := range max(m.Pairs, 1) {
		m.say("%s: pair %d", l.Name, i+1)
		n, err := m.plain(ctx, l, func() (*child, error) { return m.node(ctx, m.Node) })
		if err != nil {
			return f, fmt.Errorf("node: %w", err)
		}
		nodes = append(nodes, n)
		if len(m.Proxy) == 0 {
			continue
		}
		p, err := m.plain(ctx, l, func() (*child, error) {
			return startProxy(ctx, m.Proxy, m.peers.addresses(), m.ProxyGC)
		})
		if err != nil {
			return f, fmt.Errorf("ReverseProxy: %w", err)
		}
		proxies = append(proxies, p)
		f.Ratios = append(f.Ratios, n.Micros/p.Micros)
	}
	f.Node, f.Proxy = medians(nodes), medians(proxies)
	f.Ratio = median(f.Ratios, func(v float64) float64 { return v })
	return f, nil
}

// places counts what needs a slower node: system calls, copies, and which functions they and the
// allocations fall to. What the machine does not let it count is missing, for a reason each.
func (m *meter) places(ctx context.Context, l Load, f *Figures) (missing []error, err error) {
	m.say("%s: system calls, copies, functions", l.Name)
	miss := func(err error) error {
		if ctx.Err() != nil || errors.Is(err, errRefused) {
			return fmt.Errorf("node: %w", err)
		}
		if err != nil {
			missing = append(missing, err)
		}
		return nil
	}
	f.Calls, f.Writers, _, err = m.traced(ctx, l, false)
	if err := miss(err); err != nil {
		return nil, err
	}
	_, _, f.Copiers, err = m.traced(ctx, l, true)
	if err := miss(err); err != nil {
		return nil, err
	}
	f.Allocators, err = m.allocators(ctx, l, m.profiled)
	if err := miss(err); err != nil {
		return nil, err
	}
	f.Counts = f.count()
	return missing, nil
}

// plain measures a load on a child of its own, undisturbed.
func (m *meter) plain(ctx context.Context, l Load, start func() (*child, error)) (p Process, err error) {
	c, err := start()
	if err != nil {
		return p, err
	}
	defer c.end()
	d := newDriver(l, c.addr, &m.ids)
	defer d.close()
	s := m.sizes()
	if err := m.drive(ctx, d, s.warm); err != nil {
		return p, err
	}
	blank, err := c.cost()
	if err != nil {
		return p, err
	}
	before, err := c.cost()
	if err != nil {
		return p, err
	}
	asking := before.Since(blank) // what it costs to ask
	ioBefore, err := readProc(c.pid())
	if err != nil {
		return p, err
	}
	begun := time.Now()
	if err := m.drive(ctx, d, s.timed); err != nil {
		return p, err
	}
	took := time.Since(begun)
	ioAfter, err := readProc(c.pid())
	if err != nil {
		return p, err
	}
	after, err := c.cost()
	if err != nil {
		return p, err
	}
	u, n := after.Since(before), float64(s.timed)
	proc := ioAfter.since(ioBefore, s.timed)
	return Process{
		Allocations:    (float64(u.Allocations) - float64(asking.Allocations)) / n,
		AllocatedBytes: (float64(u.AllocatedBytes) - float64(asking.AllocatedBytes)) / n,
		Collections:    float64(u.Collections) / n * 1000,
		Reads:          proc.Reads, Writes: proc.Writes, ReadBytes: proc.ReadBytes, WrittenBytes: proc.WriteBytes,
		Waited: proc.Waited, Preempted: proc.Preempted,
		UserMicros: float64(u.UserMicros) / n, SystemMicros: float64(u.SystemMicros) / n,
		Micros: float64(u.UserMicros+u.SystemMicros) / n,
		Busy:   float64(u.UserMicros+u.SystemMicros) / float64(took.Microseconds()),
	}, nil
}

// drive sends requests, of which hardly any may be refused: what is not served does not pass the path.
func (m *meter) drive(ctx context.Context, d *driver, count int) error {
	o, err := d.run(ctx, count)
	if err != nil {
		return err
	}
	if o.refused*100 > o.sent {
		return fmt.Errorf("load %s: %w: %d of %d requests", d.load.Name, errRefused, o.refused, o.sent)
	}
	return nil
}
