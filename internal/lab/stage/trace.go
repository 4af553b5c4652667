package stage

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// trace writes one line for each network event and each event of the world, and hashes the lines. Two runs are equal if
// their hashes are.
type trace struct {
	loop *loop.Loop
	sum  hash.Hash
	all  *bufio.Writer // writes to sum and to Options.Trace
	line []byte
}

func newTrace(l *loop.Loop, w io.Writer) *trace {
	t := &trace{loop: l, sum: sha256.New()}
	var to io.Writer = t.sum
	if w != nil {
		to = io.MultiWriter(t.sum, w)
	}
	t.all = bufio.NewWriterSize(to, 1<<16)
	return t
}

// Observe implements link.Tap. It omits reads, which follow from the arrivals and would be most of the lines.
func (t *trace) Observe(c link.Event) {
	if c.Kind != link.Read {
		t.line = append(c.Append(t.line[:0]), '\n')
		t.all.Write(t.line)
	}
}

// note writes a line with the virtual time that is not a network event.
func (t *trace) note(format string, args ...any) {
	fmt.Fprintf(t.all, "%.9f ", t.loop.Now().Seconds())
	fmt.Fprintf(t.all, format, args...)
	t.all.WriteByte('\n')
}

// end flushes the lines and returns the hash of all of them.
func (t *trace) end() string {
	t.all.Flush()
	return hex.EncodeToString(t.sum.Sum(nil))
}

// PeerStarted and the methods below implement event.Observer.
func (t *trace) PeerStarted(peer, addr string, cold bool) {
	t.note("fact peer %s started at %s cold=%v", peer, addr, cold)
}

// PeerStopped implements event.Observer.
func (t *trace) PeerStopped(peer string) { t.note("fact peer %s stopped", peer) }

// PeerAttempt implements event.Observer.
func (t *trace) PeerAttempt(peer, call string, work, capacity float64) {
	t.note("fact work %s %s %.6f of %.4f", peer, call, work, capacity)
}

// PeerMisframed implements event.Observer.
func (t *trace) PeerMisframed(peer, call string) { t.note("fact misframed %s %s", peer, call) }

// PeerAnswersInParts implements event.Observer.
func (t *trace) PeerAnswersInParts(peer, call string) { t.note("fact in parts %s %s", peer, call) }

// PeerListed implements event.Observer.
func (t *trace) PeerListed(version int64, peer, addr, state string, started time.Duration) {
	t.note("fact listed %d %s %s %s since %v", version, peer, addr, state, started)
}

// DiscoveryReachable implements event.Observer.
func (t *trace) DiscoveryReachable(node, addr string, served bool) {
	t.note("fact reach %q to %s: %v", node, addr, served)
}

// MalformedInput implements event.Observer.
func (t *trace) MalformedInput(conn, why string, within time.Duration) {
	t.note("fact bad %s %s", conn, why)
}

// NodeStarted implements event.Observer.
func (t *trace) NodeStarted(node string, version int64) {
	t.note("fact node %s started at %d", node, version)
}

// NodeKilled implements event.Observer.
func (t *trace) NodeKilled(node string) { t.note("fact node %s killed", node) }

// NodeCommanded implements event.Observer.
func (t *trace) NodeCommanded(node, call, peer string) {
	t.note("fact node %s operated %s %s", node, call, peer)
}

// NodeSignaled implements event.Observer.
func (t *trace) NodeSignaled(node, signal, discovery string) {
	t.note("fact node %s told %s %s", node, signal, discovery)
}
