// Package path measures the cost of a request on the plain path through a node. It runs a real node as a child
// process on loopback between a lightweight load generator and stub servers, and compares it with
// httputil.ReverseProxy in its place.
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
)

// Options select what is measured and with how many requests.
type Options struct {
	Root     string    // root of the source tree in which the node is built
	Node     string    // path of a built node; empty: build one
	Overlay  string    // overlay file of the go command, to build a mutant
	Proxy    []string  // command that calls ServeProxy; empty: measure only the node
	Loads    []string  // names of the loads; empty: all
	ProxyGC  int       // GOGC of the proxy; 0: the default of Go
	Pairs    int       // number of measurements, each with a new node and a new proxy; at least 1
	Short    bool      // send fewer requests: enough for the counts, not for the times
	Progress io.Writer // receives progress messages; may be nil
}

// stubServerCount is the number of stub servers.
const stubServerCount = 12

// sizes are the numbers of requests of a load in each pass; slices is the number of slices of the timed pass.
type sizes struct{ warm, timed, slices, traced, profiled int }

func (o Options) sizes() sizes {
	if o.Short {
		return sizes{warm: 1500, timed: 3000, slices: 10, traced: 300, profiled: 1000}
	}
	return sizes{warm: 3000, timed: 20000, slices: 10, traced: 1000, profiled: 5000}
}

// meter is one measurement with its stubs and the directory of its files.
type meter struct {
	Options
	dir          string
	profiledNode string       // path of the node for allocation profiles: Options.Node or a build with profileTag
	stackReader  *stackReader // nil if the node has no symbols
	stubServers  *stubServers
	discovery    *discovery
	callIDs      callIDs
}

// Measure runs all loads of o and reports their cost. Counts that the machine does not allow to be measured are
// listed in Report.NotCounted.
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
	defer func() { _ = os.RemoveAll(dir) }()
	m := &meter{Options: o, dir: dir}
	if err := m.buildNodes(ctx); err != nil {
		return nil, err
	}
	r := &Report{Go: runtime.Version(), Short: o.Short}
	if m.stackReader, err = readSymbols(m.Node); err != nil {
		r.NotCounted = append(r.NotCounted, err.Error())
	}
	if m.stubServers, err = startStubServers(stubServerCount); err != nil {
		return nil, err
	}
	defer m.stubServers.close()
	if m.discovery, err = startDiscovery(m.stubServers.addresses()); err != nil {
		return nil, err
	}
	defer m.discovery.close()
	for _, l := range Loads() {
		if len(o.Loads) > 0 && !slices.Contains(o.Loads, l.Name) {
			continue
		}
		if err := m.measureLoad(ctx, l, r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// buildNodes sets Node and profiledNode: to the program that Options names or, if it names none, to two builds.
func (m *meter) buildNodes(ctx context.Context) (err error) {
	if m.Node != "" {
		m.profiledNode = m.Node
		return nil
	}
	if m.Node, err = m.build(ctx, "node"); err != nil {
		return err
	}
	m.profiledNode, err = m.build(ctx, "profiled-node", "-tags", profileTag)
	return err
}

// measureLoad runs one load and adds its cost to a report.
func (m *meter) measureLoad(ctx context.Context, l Load, r *Report) error {
	f, err := m.measurePairs(ctx, l)
	if err != nil {
		return err
	}
	missing, err := m.countByFunction(ctx, l, &f)
	if err != nil {
		return err
	}
	for _, why := range missing {
		if !slices.Contains(r.NotCounted, why.Error()) {
			r.NotCounted = append(r.NotCounted, why.Error())
		}
	}
	r.Loads = append(r.Loads, f)
	return nil
}

// build builds the node from the source tree with the given flags of the go command and returns its path.
func (m *meter) build(ctx context.Context, name string, flags ...string) (string, error) {
	m.logProgress("building the %s", name)
	program := filepath.Join(m.dir, name)
	args := append([]string{"build", "-o", program}, flags...)
	if m.Overlay != "" {
		args = append(args, "-overlay", m.Overlay)
	}
	cmd := exec.CommandContext(ctx, "go", append(args, "./cmd/olivebridge")...)
	cmd.Dir = m.Root
	if said, err := cmd.CombinedOutput(); err != nil {
		line := strings.ReplaceAll(strings.TrimSpace(string(said)), "\n", "; ")
		return "", fmt.Errorf("building the node: %w: %s", err, line)
	}
	return program, nil
}

// logProgress writes a line to Options.Progress.
func (m *meter) logProgress(format string, args ...any) {
	if m.Progress != nil {
		_, _ = fmt.Fprintf(m.Progress, format+"\n", args...)
	}
}

// startNode starts a node between the stub servers and the stub of discovery.
func (m *meter) startNode(ctx context.Context, program string, env ...string) (*child, error) {
	return startNode(ctx, program, m.dir, m.stubServers.addresses(), m.discovery.addr, env...)
}

// measurePairs measures a load on pairs of a node and a proxy and returns the medians over the pairs.
func (m *meter) measurePairs(ctx context.Context, l Load) (Figures, error) {
	f := Figures{Load: l.Name, About: l.About, Requests: m.sizes().timed}
	var nodes, proxies []Process
	for i := range max(m.Pairs, 1) {
		m.logProgress("%s: pair %d", l.Name, i+1)
		pair, err := m.measurePair(ctx, l)
		if err != nil {
			return f, err
		}
		nodes = append(nodes, pair[0])
		if len(pair) > 1 {
			proxies = append(proxies, pair[1])
			f.Ratios = append(f.Ratios, pair[0].Micros/pair[1].Micros)
		}
	}
	f.Node, f.Proxy = medianProcess(nodes), medianProcess(proxies)
	f.Ratio = median(f.Ratios, func(v float64) float64 { return v })
	return f, nil
}

// measurePair measures a load on a new node and, if Options.Proxy is set, on a new proxy. They are loaded
// alternately, slice by slice, so that other load of the machine affects both alike.
func (m *meter) measurePair(ctx context.Context, l Load) ([]Process, error) {
	starts := []func() (*child, error){func() (*child, error) { return m.startNode(ctx, m.Node) }}
	if len(m.Proxy) > 0 {
		starts = append(starts, func() (*child, error) {
			return startProxy(ctx, m.Proxy, m.stubServers.addresses(), m.ProxyGC)
		})
	}
	var subjects []*measuredChild
	defer func() {
		for _, subject := range subjects {
			subject.close()
		}
	}()
	s := m.sizes()
	for i, start := range starts {
		c, err := start()
		if err != nil {
			return nil, err
		}
		subject := &measuredChild{child: c, loadGenerator: newLoadGenerator(l, c.addr, &m.callIDs),
			stubServers: m.stubServers,
			name:        []string{"node", "ReverseProxy"}[i]}
		subjects = append(subjects, subject)
		if err := subject.warmUp(ctx, s.warm); err != nil {
			return nil, fmt.Errorf("%s: %w", subject.name, err)
		}
	}
	for range s.slices {
		for _, subject := range subjects {
			if err := subject.measureSlice(ctx, s.timed/s.slices); err != nil {
				return nil, fmt.Errorf("%s: %w", subject.name, err)
			}
		}
	}
	var processes []Process
	for _, subject := range subjects {
		processes = append(processes, subject.perRequest())
	}
	return processes, nil
}

// countByFunction takes the counts that need a slower node: system calls, copies, and allocations, each by function.
// missing has an error for each count that the machine does not allow to be taken.
func (m *meter) countByFunction(ctx context.Context, l Load, f *Figures) (missing []error, err error) {
	m.logProgress("%s: system calls, copies, functions", l.Name)
	recordMissing := func(err error) error {
		if ctx.Err() != nil || errors.Is(err, errNotServed) {
			return fmt.Errorf("node: %w", err)
		}
		if err != nil {
			missing = append(missing, err)
		}
		return nil
	}
	f.Calls, f.Writers, _, err = m.countTraced(ctx, l, false)
	if err := recordMissing(err); err != nil {
		return nil, err
	}
	_, _, f.Copiers, err = m.countTraced(ctx, l, true)
	if err := recordMissing(err); err != nil {
		return nil, err
	}
	f.Allocators, err = m.countAllocations(ctx, l, m.profiledNode)
	if err := recordMissing(err); err != nil {
		return nil, err
	}
	f.Counts = f.computeCounts()
	return missing, nil
}
