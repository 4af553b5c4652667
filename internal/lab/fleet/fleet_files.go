package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"olivebridge/internal/protocol"
)

const (
	// addressesToJoin is the maximum number of join addresses in a fleet file.
	addressesToJoin = 3
	// firstAdminPort is the base of the admin ports: the n-th started process uses firstAdminPort+n.
	firstAdminPort = 10000
	// strangerMark is the suffix of the directory and of the record of a stranger, a process that uses a node's name.
	strangerMark = "~"

	directoryMode = 0o700
	fileMode      = 0o600
)

// The environment variables of programs that were built with faults; see package mutant.
const (
	envFaults     = "OLIVEFLEET_PLANT"
	envClockError = "OLIVEFLEET_WALL"
)

// FileValues are the values of the fleet files that a script can change.
type FileValues struct {
	Nodes       int
	AmountShare float64  // fraction of the budgets' amounts
	Voters      []string // names of the voters of each raft log
	Edition     int      // edition of the set of voters
}

// votersTable returns the lines of a table that name the voters and their edition.
func (s FileValues) votersTable() string {
	var names []string
	for _, name := range s.Voters {
		names = append(names, fmt.Sprintf("%q", name))
	}
	return fmt.Sprintf("keepers = [%s]\nedition = %d\n", strings.Join(names, ", "), s.Edition)
}

// maxVoters is the maximum number of voters at the start of a run.
const maxVoters = 3

// firstValues returns the values at the start of a run. The number of voters is odd.
func firstValues(names []string) FileValues {
	maxOdd := len(names) - 1 + len(names)%2
	return FileValues{
		Nodes:       len(names),
		AmountShare: 1,
		Voters:      slices.Clone(names[:min(maxVoters, maxOdd)]),
		Edition:     1,
	}
}

// Env implements live.Fleet. It writes the fleet file of a node's next process.
func (g *rig) Env(node string, twin bool) ([]string, error) {
	g.starts++
	slot, directory := g.slot(node, twin)
	home := filepath.Join(g.options.Dir, directory)
	if err := os.MkdirAll(g.stateDirectory(directory), directoryMode); err != nil {
		return nil, err
	}
	text := g.memberTable(node, slot, directory)
	path := filepath.Join(home, fmt.Sprintf("fleet-%d.toml", g.starts))
	if err := g.writeFile(path, text); err != nil {
		return nil, err
	}
	g.files[path] = text
	ip, _, _ := strings.Cut(g.relays.ProcessAddress(slot), ":")
	admin := fmt.Sprintf("%s:%d", ip, firstAdminPort+g.starts)
	env := []string{protocol.EnvFleet + "=" + path, "TMPDIR=" + home, protocol.EnvAdmin + "=" + admin}
	if !twin {
		g.setAdminAddress(node, admin)
	}
	if g.options.Mutant != "" {
		env = append(env, envFaults+"="+g.options.Mutant)
	}
	if by := g.clockErrors[node]; by != 0 && !twin {
		env = append(env, envClockError+"="+by.String())
	}
	return env, nil
}

// slot returns the relay slot of a node's next process, and the name of its directory.
func (g *rig) slot(node string, twin bool) (slot int, directory string) {
	index := slices.Index(g.names, node)
	switch {
	case twin:
		return index + 2*len(g.names), node + strangerMark
	case g.moved[node]:
		return index + len(g.names), node
	}
	return index, node
}

// memberTable returns the [member] table of a fleet file.
func (g *rig) memberTable(node string, slot int, directory string) string {
	var join []string
	for k := range min(addressesToJoin, len(g.names)) {
		join = append(join, fmt.Sprintf("%q", g.relays.RelayAddress(k)))
	}
	var table strings.Builder
	fmt.Fprintf(&table, "[member]\nfleet = \"rig\"\n")
	fmt.Fprintf(&table, "listen = %q\n", g.relays.ProcessAddress(slot))
	fmt.Fprintf(&table, "advertise = %q\n", g.relays.RelayAddress(slot))
	fmt.Fprintf(&table, "join = [%s]\n", strings.Join(join, ", "))
	fmt.Fprintf(&table, "zone = %q\n", g.zones[node])
	fmt.Fprintf(&table, "directory = %q\n", g.stateDirectory(directory))
	fmt.Fprintf(&table, "record = %q\n", filepath.Join(g.options.Dir, directory+recordSuffix))
	return table.String()
}

func (g *rig) setAdminAddress(node, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adminAddresses[node] = address
}

// writeFile replaces a fleet file atomically, since a process may be reading it.
func (g *rig) writeFile(path, text string) error {
	next := path + ".new"
	if err := os.WriteFile(next, []byte(text+g.options.ExtraTables(g.values)), fileMode); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// Amounts implements live.Fleet.
func (g *rig) Amounts(share float64) (int, error) {
	g.values.AmountShare = share
	return g.rewriteFiles(Event{What: eventAmounts, Share: share})
}

// Voters implements live.Fleet.
func (g *rig) Voters(names []string) (int, error) {
	g.values.Voters = names
	g.values.Edition++
	return g.rewriteFiles(Event{What: eventVoters, To: names})
}

// rewriteFiles rewrites all fleet files, and returns the number of rewrites so far.
func (g *rig) rewriteFiles(e Event) (int, error) {
	g.rewrites++
	for path, text := range g.files {
		if err := g.writeFile(path, text); err != nil {
			return g.rewrites, err
		}
	}
	g.addEvent(e)
	return g.rewrites, nil
}

// stateDirectory returns the state directory of a process, as its fleet file names it.
func (g *rig) stateDirectory(directory string) string {
	return filepath.Join(g.options.Dir, directory, "state")
}
