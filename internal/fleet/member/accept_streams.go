package member

import (
	"net"
	"sync"
	"time"
)

const (
	// maxHandshakes bounds the connections of which the first frame has not come yet.
	maxHandshakes = 64
	// handshakeTimeout is how long a connection may take to send it, and memberlist to take the stream.
	handshakeTimeout = 2 * time.Second
	// acceptErrorPause is the wait after an error of the listener.
	acceptErrorPause = 10 * time.Millisecond
)

// acceptStreams accepts connections until the transport is shut down.
func (t *transport) acceptStreams() {
	for {
		conn, err := t.tcp.Accept()
		switch {
		case t.closed.Load():
			if err == nil {
				_ = conn.Close()
			}
			return
		case err != nil: // want of file descriptors, which passes
			time.Sleep(acceptErrorPause)
			continue
		}
		select {
		case t.handshakes <- struct{}{}:
			t.tasks.Go(func() { t.handshake(conn) })
		default:
			t.traffic.overLimit.Add(1)
			_ = conn.Close()
		}
	}
}

// handshake waits for a connection's first frame, and passes the stream on to whoever serves its channel.
func (t *transport) handshake(conn net.Conn) {
	done := sync.OnceFunc(func() { <-t.handshakes })
	defer done()
	s := t.newStream(conn)
	s.accepted = true
	if err := s.readFirstFrame(handshakeTimeout); err != nil {
		t.traffic.foreign.Add(1)
		_ = conn.Close()
		return
	}
	t.traffic.streamsIn.Add(1)
	if s.channel != memberlistChannel {
		done()
		t.serve(s)
		return
	}
	timeout := time.NewTimer(handshakeTimeout)
	defer timeout.Stop()
	select {
	case t.streams <- s:
	case <-timeout.C:
		_ = conn.Close()
	}
}

// serve has a stream served by its channel's function, until that returns or the transport is shut down.
func (t *transport) serve(s *stream) {
	defer func() { _ = s.Close() }()
	handle := t.channels[s.channel]
	if s.channel == witnessChannel {
		handle = func(conn net.Conn, _ string) { t.serveWitness(conn) }
	}
	if handle == nil {
		t.traffic.foreign.Add(1)
		return
	}
	if !t.track(s) {
		return
	}
	defer t.untrack(s)
	handle(s, s.sender)
}

// track has a stream closed with the transport. It reports false if that is shut down.
func (t *transport) track(s *stream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return false
	}
	t.openStreams[s] = true
	return true
}

func (t *transport) untrack(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.openStreams, s)
}
