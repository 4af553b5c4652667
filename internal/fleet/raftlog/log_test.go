package raftlog

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// sumMachine is a state machine that computes the sum of the committed numbers.
type sumMachine struct {
	mu    sync.Mutex
	Total int `json:"total"`
}

func (s *sumMachine) Apply(l *raft.Log) any {
	var n int
	if err := json.Unmarshal(l.Data, &n); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Total += n
	return s.Total
}

func (s *sumMachine) Snapshot() (raft.FSMSnapshot, error) { return Snapshot(`{}`), nil }

func (s *sumMachine) Restore(r io.ReadCloser) error { return r.Close() }

// openSingle opens a log with a single voter, and waits until that voter is the leader.
func openSingle(t *testing.T, dir string, s *sumMachine) *Log {
	t.Helper()
	layer := NewStreamLayer("n1", func(string, time.Duration) (net.Conn, error) { return nil, net.ErrClosed })
	l, err := Open(dir, "n1", VoterSet{1, []string{"n1"}}, layer, s)
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !l.IsLeader(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no leader after 10 s")
		}
	}
	return l
}

// TestCloseAnswersPendingProposals checks that calls of Propose and VerifyLeader return soon after the log is closed.
// Raft never completes such calls, so that the process would otherwise block forever. Committed entries must be present
// after a restart.
func TestCloseAnswersPendingProposals(t *testing.T) {
	for range 5 {
		dir, s := t.TempDir(), &sumMachine{}
		l := openSingle(t, dir, s)
		var pending sync.WaitGroup
		begun := make(chan bool, 1000)
		for range 100 {
			pending.Go(func() {
				for {
					select {
					case begun <- true:
					default:
					}
					if _, err := l.Propose(1); err != nil {
						return
					}
					if l.VerifyLeader() != nil {
						return
					}
				}
			})
		}
		for range 300 {
			<-begun
		}
		l.Close()
		done := make(chan bool)
		go func() { pending.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			t.Fatal("some proposals are still pending 20 s after Close")
		}
		reopened := &sumMachine{}
		l = openSingle(t, dir, reopened)
		if got, err := l.Propose(0); err != nil || got.(int) < s.Total {
			t.Errorf("sum after a restart: got %v, error %v, want at least %d", got, err, s.Total)
		}
		l.Close()
	}
}

// TestNotProposed checks which errors promise that a command is never committed: those of a process that is not the
// leader, but not those of a log that is closed while a command may be on its way.
func TestNotProposed(t *testing.T) {
	layer := NewStreamLayer("n1", func(string, time.Duration) (net.Conn, error) { return nil, net.ErrClosed })
	l, err := Open(t.TempDir(), "n1", VoterSet{1, []string{"n1", "n2", "n3"}}, layer, &sumMachine{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Propose(1); !errors.Is(err, ErrNotProposed) || !errors.Is(err, raft.ErrNotLeader) {
		t.Errorf("without a quorum: got error %v, want ErrNotProposed and ErrNotLeader", err)
	}
	l.Close()
	for _, err := range []error{raft.ErrLeadershipLost, raft.ErrRaftShutdown, raft.ErrAbortedByRestore, ErrClosed} {
		if errors.Is(proposeError(err), ErrNotProposed) {
			t.Errorf("%v: the command may have been appended", err)
		}
	}
}
