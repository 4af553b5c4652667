package fleet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"
)

const (
	// acceptErrorPause is the pause after a stream could not be accepted.
	acceptErrorPause = 10 * time.Millisecond
	// dialTimeout bounds the dial to the process.
	dialTimeout = time.Second
	// cutPollInterval is how often a stream looks whether its link is open again.
	cutPollInterval = 5 * time.Millisecond
	// cutTimeout is for how long a stream waits for that: longer than any process does.
	cutTimeout = 30 * time.Second
	// pieceSize is the greatest size of a piece of a stream, to which faults happen.
	pieceSize = 32 << 10
)

// acceptStreams forwards streams until the relay is closed.
func (r *relay) acceptStreams() {
	for {
		conn, err := r.tcp.Accept()
		if r.relays.closed.Load() {
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			time.Sleep(acceptErrorPause)
			continue
		}
		sender, known := r.relays.sender(netip.MustParseAddrPort(conn.RemoteAddr().String()).Addr())
		if !known {
			_ = conn.Close()
			continue
		}
		r.relays.streams.Store(conn, nil)
		r.relays.running.Go(func() {
			defer r.relays.streams.Delete(conn)
			defer func() { _ = conn.Close() }()
			r.forwardStream(conn, sender)
		})
	}
}

// forwardStream forwards one stream. If its link is cut when it begins, the process hears nothing of it until that is
// healed.
func (r *relay) forwardStream(near net.Conn, sender int) {
	there := linkKey{from: sender, to: r.node}
	if !r.relays.awaitOpen(there) {
		return
	}
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s.%d", r.relays.relayBlock, r.slot+1))},
	}
	far, err := dialer.Dial("tcp", r.process.String())
	if err != nil {
		reset(near)
		return
	}
	defer func() { _ = far.Close() }()
	r.relays.streams.Store(far, nil)
	defer r.relays.streams.Delete(far)
	r.relays.countStream(there)
	done := make(chan struct{}, 2)
	go func() {
		r.relays.copyStream(far, near, there)
		done <- struct{}{}
	}()
	go func() {
		r.relays.copyStream(near, far, there.reversed())
		done <- struct{}{}
	}()
	<-done
	<-done
}

// copyStream copies one direction of a stream, piece by piece, until it ends or a fault resets it.
func (r *Relays) copyStream(to, from net.Conn, key linkKey) {
	buffer := make([]byte, pieceSize)
	for {
		size, err := from.Read(buffer)
		if size > 0 && !r.copyPiece(to, from, key, buffer[:size]) {
			return
		}
		if err != nil {
			endStream(to, err)
			return
		}
	}
}

// copyPiece writes a piece of a stream; false: the stream has ended.
func (r *Relays) copyPiece(to, from net.Conn, key linkKey, piece []byte) bool {
	delay, err := r.pieceFate(key, len(piece))
	if err != nil {
		reset(to)
		reset(from)
		return false
	}
	time.Sleep(delay)
	if !r.awaitOpen(key) {
		return false
	}
	_, err = to.Write(piece)
	return err == nil
}

// endStream ends a stream as the other side of it has ended.
func endStream(conn net.Conn, err error) {
	if tcp, ok := conn.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	reset(conn)
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// awaitOpen waits until nothing cuts a link; false: the relays were closed, or cutTimeout is over.
func (r *Relays) awaitOpen(key linkKey) bool {
	polls := int(cutTimeout / cutPollInterval)
	for n := 0; ; n++ {
		open := r.isOpen(key)
		switch {
		case r.closed.Load():
			return false
		case open:
			return true
		case n > polls:
			return false
		}
		time.Sleep(cutPollInterval)
	}
}
