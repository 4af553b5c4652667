package operations

import (
	"encoding/json"
	"log/slog"
	"os"
	"slices"
	"sync"
	"sync/atomic"

	"olivebridge/internal/fleet/record"
)

const (
	// suspensionsFile is the file of the node's directory that holds the servers that the fleet has suspended.
	suspensionsFile     = "out.json"
	suspensionsFileMode = 0o600
)

// SuspensionsRecord is the record's event of kind "out": what a node keeps out of use for the fleet.
type SuspensionsRecord struct {
	Version   uint64   `json:"version"`
	Suspended []string `json:"out"`
}

// suspensions applies the fleet's suspensions to the servers of this node. One goroutine at a time calls apply.
type suspensions struct {
	path    string // of the file
	log     *slog.Logger
	record  *record.Recorder
	applied atomic.Int64 // counts calls of apply that succeeded

	// suspendedBefore are servers that an operator had suspended at this node alone before the fleet did: they stay
	// suspended. Only apply uses it.
	suspendedBefore map[string]bool

	mu      sync.Mutex
	version uint64   // of the ledger, that was applied last; 0: none
	servers []string // that are suspended by it
}

func newSuspensions(path string, log *slog.Logger, recorder *record.Recorder) *suspensions {
	return &suspensions{path: path, log: log, record: recorder, suspendedBefore: map[string]bool{}}
}

// current is the version that was applied last, and the servers that are suspended by it.
func (s *suspensions) current() (version uint64, servers []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.servers
}

// apply suspends and restores servers, so that those in wanted are suspended, and reports whether it could. If a server
// cannot be suspended, in another process of the node, it is tried again with the next report, and rounds wait. At the
// node's start no server was suspended by an operator at this node: what is, the node's other process has handed on.
func (s *suspensions) apply(control ServerControl, version uint64, wanted []string, atStart bool) bool {
	suspended, ok := s.suspend(control, wanted, atStart)
	if !ok {
		s.mu.Lock()
		s.servers = suspended
		s.mu.Unlock()
		return false
	}
	s.restore(control, suspended, wanted)
	if version > 0 {
		if err := s.store(wanted); err != nil {
			s.log.Warn(logMessage, "reason", "not-kept", "why", err.Error())
		}
	}
	s.mu.Lock()
	s.version = version
	s.servers = wanted
	s.mu.Unlock()
	s.applied.Add(1)
	s.record.Write("out", SuspensionsRecord{Version: version, Suspended: wanted})
	return true
}

// suspend suspends the wanted servers that are not suspended yet, and returns all that are suspended then.
func (s *suspensions) suspend(control ServerControl, wanted []string, atStart bool) (suspended []string, ok bool) {
	_, suspended = s.current()
	before := control.Suspended()
	for _, server := range wanted {
		if slices.Contains(suspended, server) {
			continue
		}
		if slices.Contains(before, server) && !atStart {
			s.suspendedBefore[server] = true
		}
		if err := control.Suspend(server); err != nil {
			s.log.Warn(logMessage, "reason", "not-suspended", "server", server, "why", err.Error())
			delete(s.suspendedBefore, server)
			return suspended, false
		}
		suspended = append(slices.Clone(suspended), server)
	}
	return suspended, true
}

// restore restores the suspended servers that are not wanted any more, but for those that an operator had suspended
// before.
func (s *suspensions) restore(control ServerControl, suspended, wanted []string) {
	for _, server := range suspended {
		if slices.Contains(wanted, server) {
			continue
		}
		if !s.suspendedBefore[server] {
			_ = control.Restore(server) // a server that no list names is not in use anyway
		}
		delete(s.suspendedBefore, server)
	}
}

// store writes the suspended servers to the file.
func (s *suspensions) store(servers []string) error {
	data, err := json.Marshal(servers)
	if err != nil {
		return err
	}
	next := s.path + ".new"
	if err := os.WriteFile(next, data, suspensionsFileMode); err != nil {
		return err
	}
	return os.Rename(next, s.path)
}

// load reads the file.
func (s *suspensions) load() ([]string, error) {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return nil, err
	}
	var servers []string
	err = json.Unmarshal(data, &servers)
	return servers, err
}
