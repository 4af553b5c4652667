package raftlog

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"
)

// pipeNetwork connects the voters of one test by in-memory pipes.
type pipeNetwork struct {
	mu     sync.Mutex
	layers map[string]*StreamLayer
}

func (p *pipeNetwork) layer(name string) *StreamLayer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.layers[name] = NewStreamLayer(name, func(to string, _ time.Duration) (net.Conn, error) {
		p.mu.Lock()
		l := p.layers[to]
		p.mu.Unlock()
		if l == nil {
			return nil, errors.New("no such voter")
		}
		a, b := net.Pipe()
		go l.Serve(b)
		return a, nil
	})
	return p.layers[name]
}

func (p *pipeNetwork) disconnect(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.layers, name)
}

func (p *pipeNetwork) open(t *testing.T, name string, voters VoterSet, s *sumMachine) *Log {
	t.Helper()
	l, err := Open(t.TempDir(), name, voters, p.layer(name), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// awaitLeader waits until a quorum confirms one of the given voters as the leader, and returns that voter's log.
func awaitLeader(t *testing.T, all ...*Log) *Log {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, l := range all {
			if l.IsLeader() && l.VerifyLeader() == nil {
				return l
			}
		}
	}
	t.Fatal("no leader after 30 s")
	return nil
}

func await(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// TestReplaceLostVoter checks that a new voter can replace one that is lost permanently, and that the log then survives
// the loss of a second of the original voters. A fleet file with an earlier edition must not revert the change.
func TestReplaceLostVoter(t *testing.T) {
	p := &pipeNetwork{layers: map[string]*StreamLayer{}}
	first, second := VoterSet{1, []string{"a", "b", "c"}}, VoterSet{2, []string{"a", "c", "d"}}
	logs, sums := map[string]*Log{}, map[string]*sumMachine{}
	for _, n := range first.Names {
		sums[n] = &sumMachine{}
		logs[n] = p.open(t, n, first, sums[n])
	}
	if _, err := awaitLeader(t, logs["a"], logs["b"], logs["c"]).Propose(7); err != nil {
		t.Fatal(err)
	}
	p.disconnect("b")
	logs["b"].Close()
	sums["d"] = &sumMachine{}
	logs["d"] = p.open(t, "d", second, sums["d"]) // stays empty until the leader adds it
	logs["a"].SetVoters(second)
	logs["c"].SetVoters(second)
	await(t, "voter b was not replaced by voter d within 30 s", func() bool {
		for _, n := range []string{"a", "c"} {
			l := logs[n]
			if l.IsLeader() && l.isVoter("d") && !l.isVoter("b") && len(l.servers()) == 3 {
				return true
			}
		}
		return false
	})
	old := awaitLeader(t, logs["a"], logs["c"])
	old.SetVoters(VoterSet{1, []string{"a", "b", "c"}}) // an earlier edition, which must be ignored
	if got, err := old.Propose(1); err != nil || got != 8 {
		t.Fatalf("Propose after the replacement: got %v, error %v, want 8", got, err)
	}
	await(t, "the new voter did not apply the committed entries within 30 s", func() bool {
		sums["d"].mu.Lock()
		defer sums["d"].mu.Unlock()
		return sums["d"].Total == 8
	})
	name := "a" // the leader, which is lost too
	if old == logs["c"] {
		name = "c"
	}
	p.disconnect(name)
	old.Close()
	rest := []*Log{logs["d"]}
	for _, n := range []string{"a", "c"} {
		if n != name {
			rest = append(rest, logs[n])
		}
	}
	if got, err := awaitLeader(t, rest...).Propose(1); err != nil || got != 9 {
		t.Errorf("Propose with two of the three new voters: got %v, error %v, want 9", got, err)
	}
}

// TestRemoveLeader checks that a leader that is no longer a voter transfers its leadership, and that its Removed
// channel is closed.
func TestRemoveLeader(t *testing.T) {
	p := &pipeNetwork{layers: map[string]*StreamLayer{}}
	a := p.open(t, "a", VoterSet{1, []string{"a"}}, &sumMachine{})
	awaitLeader(t, a)
	second := VoterSet{2, []string{"b"}}
	s := &sumMachine{}
	b := p.open(t, "b", second, s)
	if _, err := a.Propose(5); err != nil {
		t.Fatal(err)
	}
	a.SetVoters(second)
	select {
	case <-a.Removed():
	case <-time.After(30 * time.Second):
		t.Fatal("Removed was not closed within 30 s")
	}
	if got, err := awaitLeader(t, b).Propose(1); err != nil || got != 6 {
		t.Errorf("Propose at the new leader: got %v, error %v, want 6", got, err)
	}
	await(t, "the old leader was not removed within 30 s", func() bool { return len(b.servers()) == 1 && b.isVoter("b") })
}
