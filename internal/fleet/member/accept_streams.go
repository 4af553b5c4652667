package member

import (
	"net"
	"sync"
	"time"
)

const (
	// maxHandshakes is the maximum number of accepted connections whose first frame has not arrived yet.
	maxHandshakes = 64
	// handshakeTimeout limits the wait for a connection's first frame, and then the wait for memberlist to receive the
	// stream.
	handshakeTimeout = 2 * time.Second
	// acceptErrorPause is the delay before the next Accept after an error of the listener.
	acceptErrorPause = 10 * time.Millisecond
)

// acceptStreams accepts connections until the transport is shut down. It closes connections beyond maxHandshakes.
func (t *transport) acceptStreams() {
	for {
		conn, err := t.tcp.Accept()
		switch {
		case t.closed.Load():
			if err == nil {
				_ = conn.Close()
			}
			return
		case err != nil: // temporary, for example no free file descriptor
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

// handshake reads the first frame of a connection, then passes the stream to memberlist or to the function that serves
// its channel.
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

// serve runs the function that serves the stream's channel, and closes the stream when the function returns. Shutdown
// closes the stream while the function runs.
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

// track registers a stream that Shutdown has to close. It returns false if the transport is already shut down.
func (t *transport) track(s *stream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return false
	}
	t.openStreams[s] = true
	return true
}

// untrack removes a stream that serve closes.
func (t *transport) untrack(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.openStreams, s)
}
