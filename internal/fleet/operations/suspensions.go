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
	// suspensionsFile is the name of the file, in the node's directory, that stores the servers suspended by the fleet.
	suspensionsFile     = "out.json"
	suspensionsFileMode = 0o600
)

// SuspensionsRecord is the data of an event of kind "out": the node has applied a version of the fleet's suspensions.
type SuspensionsRecord struct {
	Version   uint64   `json:"version"`
	Suspended []string `json:"out"`
}

// suspensions applies the fleet's suspensions to the servers of this node. Only one goroutine at a time may call apply.
type suspensions struct {
	path    string // path of the suspensions file
	log     *slog.Logger
	record  *record.Recorder
	applied atomic.Int64 // number of successful calls of apply

	// locallySuspended holds the servers that an operator had suspended at this node alone before the fleet suspended
	// them. They stay suspended when the fleet restores them. Only apply uses it.
	locallySuspended map[string]bool

	mu      sync.Mutex
	version uint64   // ledger version that was applied last; 0 if none
	servers []string // servers that are suspended on behalf of the fleet
}

func newSuspensions(path string, log *slog.Logger, recorder *record.Recorder) *suspensions {
	return &suspensions{path: path, log: log, record: recorder, locallySuspended: map[string]bool{}}
}

// current returns the ledger version that was applied last, and the servers that are suspended on behalf of the fleet.
func (s *suspensions) current() (version uint64, servers []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.servers
}

// apply suspends the wanted servers, restores those that are no longer wanted, and reports whether it succeeded. It
// fails if another process of the node cannot suspend a server. The version then counts as not applied: rounds wait for
// this node, and the response to its next report makes it retry. atStart is set while the node starts. Servers that are
// suspended then were handed over by the node's other process, and do not count as suspended by an operator at this
// node.
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

// suspend suspends the wanted servers that are not suspended yet. It returns all servers that are suspended on behalf
// of the fleet afterwards, and false if a server could not be suspended.
func (s *suspensions) suspend(control ServerControl, wanted []string, atStart bool) (suspended []string, ok bool) {
	_, suspended = s.current()
	before := control.Suspended()
	for _, server := range wanted {
		if slices.Contains(suspended, server) {
			continue
		}
		if slices.Contains(before, server) && !atStart {
			s.locallySuspended[server] = true
		}
		if err := control.Suspend(server); err != nil {
			s.log.Warn(logMessage, "reason", "not-suspended", "server", server, "why", err.Error())
			delete(s.locallySuspended, server)
			return suspended, false
		}
		suspended = append(slices.Clone(suspended), server)
	}
	return suspended, true
}

// restore restores the suspended servers that are no longer wanted, except those that an operator had suspended at this
// node before.
func (s *suspensions) restore(control ServerControl, suspended, wanted []string) {
	for _, server := range suspended {
		if slices.Contains(wanted, server) {
			continue
		}
		if !s.locallySuspended[server] {
			_ = control.Restore(server) // fails only for a server that no endpoint list has, which is not in use
		}
		delete(s.locallySuspended, server)
	}
}

// store replaces the suspensions file with the given servers.
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

// load returns the servers in the suspensions file.
func (s *suspensions) load() ([]string, error) {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return nil, err
	}
	var servers []string
	err = json.Unmarshal(data, &servers)
	return servers, err
}
