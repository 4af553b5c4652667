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
	// acceptErrorPause is the pause after a failed accept.
	acceptErrorPause = 10 * time.Millisecond
	// dialTimeout is the time limit of the dial to the process.
	dialTimeout = time.Second
	// cutPollInterval is the interval at which a stream checks whether its link is open again.
	cutPollInterval = 5 * time.Millisecond
	// cutTimeout is the maximum time for which a stream waits for its link to open: longer than any process waits.
	cutTimeout = 30 * time.Second
	// pieceSize is the maximum size of a piece of a stream, in bytes. Faults affect single pieces.
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

// forwardStream forwards one stream. If its link is cut at the start, it connects to the process only after the cut has
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

// copyPiece writes a piece of a stream. It returns false if the stream has ended.
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

// endStream ends a stream in the way in which its other side ended: at EOF it closes the write side, else it resets the
// connection.
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

// awaitOpen waits until a link has no active cut. It returns false if the relays were closed or cutTimeout has passed.
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
