package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// joinTimeout is how long the process in service may take for its heritage. It answers from memory.
	joinTimeout = 2 * time.Second
	// sendTimeout is how long a message may wait for the other process to read.
	sendTimeout = 500 * time.Millisecond
	// callTimeout is how long an operator's call waits for the other process: answers are owed in 1 s.
	callTimeout = 600 * time.Millisecond
	// maxPath is the longest path of a Unix socket.
	maxPath = 107
)

// Link is the socket between the two processes. Messages keep their order.
type Link struct {
	conn *net.UnixConn

	sending sync.Mutex

	mu    sync.Mutex
	calls map[uint64]chan string // that wait for Done
	last  uint64

	once  sync.Once
	ended chan struct{} // closed with the link
}

// ErrEnded says that there is no other process any more.
var ErrProcessEnded = errors.New("hand-over: the node's other process has ended")

// ErrGone says that a descriptor that was to be sent has none any more: its connection ended meanwhile. The link is whole.
var ErrConnectionEnded = errors.New("hand-over: the connection has ended")

func newLink(conn *net.UnixConn) *Link {
	return &Link{conn: conn, calls: map[uint64]chan string{}, ended: make(chan struct{})}
}

// address makes a path fit into a socket's address; close what it returns after use.
func address(path string) (*net.UnixAddr, func(), error) {
	done := func() {}
	if len(path) > maxPath {
		dir, err := os.Open(filepath.Dir(path))
		if err != nil {
			return nil, done, fmt.Errorf("hand-over: %w", err)
		}
		done = func() { dir.Close() }
		path = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	}
	return &net.UnixAddr{Net: "unixpacket", Name: path}, done, nil
}

// Join asks the process in service for the node. A nil link without an error:
// there is none.
func Join(path string) (*Link, NodeState, net.Listener, error) {
	addr, done, err := address(path)
	if err != nil {
		return nil, NodeState{}, nil, err
	}
	defer done()
	if err := ours(path); err != nil {
		return nil, NodeState{}, nil, err
	}
	conn, err := net.DialUnix("unixpacket", nil, addr)
	switch {
	case errors.Is(err, syscall.ENOENT), errors.Is(err, syscall.ECONNREFUSED): // what a dead process left
		return nil, NodeState{}, nil, nil
	case err != nil:
		return nil, NodeState{}, nil, fmt.Errorf("hand-over: %w", err)
	}
	l := newLink(conn)
	h, listener, err := l.inherit()
	if err != nil {
		l.Close()
		return nil, NodeState{}, nil, err
	}
	return l, h, listener, nil
}

func (l *Link) inherit() (h NodeState, listener net.Listener, err error) {
	l.conn.SetReadDeadline(time.Now().Add(joinTimeout))
	defer l.conn.SetReadDeadline(time.Time{})
	for last := false; !last; {
		m, file, err := l.Receive()
		if err != nil {
			return h, nil, err
		}
		if last, err = h.take(m); err != nil || last && file == nil {
			if file != nil {
				file.Close()
			}
			return h, nil, errors.Join(err, errors.New("hand-over: no listener came"))
		}
		if file != nil {
			defer file.Close()
			if listener, err = net.FileListener(file); err != nil {
				return h, nil, fmt.Errorf("hand-over: %w", err)
			}
		}
	}
	return h, listener, nil
}

// ours refuses another user's socket: what it gives would be served as the node's own. What is no socket is
// somebody's file, and stays.
func ours(path string) error {
	info, err := os.Lstat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	if s, ok := info.Sys().(*syscall.Stat_t); !ok || int(s.Uid) != os.Getuid() {
		return fmt.Errorf("hand-over: %s is another user's", path)
	}
	if info.Mode().Type() != os.ModeSocket {
		return fmt.Errorf("hand-over: %s is no socket", path)
	}
	return nil
}

// Close ends the link; Receive ends with an error at both sides.
func (l *Link) Close() {
	l.once.Do(func() { close(l.ended) })
	l.conn.Close()
}

// Send sends a message, and with it a descriptor unless that is nil. The sender keeps its own. Where the descriptor is
// closed by then nothing is sent, and the error is ErrGone.
func (l *Link) Send(m Message, with syscall.Conn) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	l.sending.Lock()
	defer l.sending.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if with == nil {
		_, err = l.conn.Write(data)
		return err
	}
	raw, err := with.SyscallConn()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrConnectionEnded, err)
	}
	var sent error
	// File would turn the descriptor blocking, for both processes; within Control it stays open.
	if err = raw.Control(func(fd uintptr) { _, _, sent = l.conn.WriteMsgUnix(data, syscall.UnixRights(int(fd)), nil) }); err != nil {
		return fmt.Errorf("%w: %w", ErrConnectionEnded, err)
	}
	return sent
}

// Receive waits for the next message, and the descriptor that came with it.
func (l *Link) Receive() (m Message, file *os.File, err error) {
	data, oob := make([]byte, maxMessageBytes), make([]byte, syscall.CmsgSpace(4))
	n, oobn, _, _, err := l.conn.ReadMsgUnix(data, oob)
	if errors.Is(err, syscall.ECONNRESET) { // it ended with something unread. Linux tells so once, ahead of what it sent before
		n, oobn, _, _, err = l.conn.ReadMsgUnix(data, oob)
	}
	if err != nil {
		return m, nil, err
	}
	if file, err = descriptor(oob[:oobn]); err != nil {
		return m, nil, err
	}
	if m, err = decode(data[:n]); err != nil && file != nil {
		file.Close()
		file = nil
	}
	return m, file, err
}

func descriptor(oob []byte) (*os.File, error) {
	if len(oob) == 0 {
		return nil, nil
	}
	parts, err := syscall.ParseSocketControlMessage(oob)
	if err != nil || len(parts) != 1 {
		return nil, fmt.Errorf("hand-over: %d control messages: %w", len(parts), err)
	}
	fds, err := syscall.ParseUnixRights(&parts[0])
	if err != nil || len(fds) != 1 {
		return nil, fmt.Errorf("hand-over: %d descriptors: %w", len(fds), err)
	}
	return os.NewFile(uintptr(fds[0]), "handed over"), nil
}

// Ask has the other process do what a message says, and waits until that holds
// there; with ErrEnded nobody is left for whom it would have to.
func (l *Link) Request(m Message) error {
	done := make(chan string, 1)
	l.mu.Lock()
	l.last++
	number := l.last
	l.calls[number] = done
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.calls, number)
	}()
	m.RequestNumber = number
	switch err := l.Send(m, nil); {
	case errors.Is(err, syscall.EPIPE), errors.Is(err, net.ErrClosed),
		errors.Is(err, syscall.ECONNRESET): // it died with something of this process's unread
		return ErrProcessEnded
	case err != nil:
		return fmt.Errorf("hand-over: %w", err)
	}
	select {
	case fault := <-done:
		if fault != "" {
			return fmt.Errorf("the node's other process: %s", fault)
		}
		return nil
	case <-l.ended:
		return ErrProcessEnded
	case <-time.After(callTimeout):
		return errors.New("hand-over: the node's other process does not answer")
	}
}

// Answered takes a Done message to whoever waits for it.
func (l *Link) Resolve(m Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done := l.calls[m.RequestNumber]; done != nil {
		done <- m.Error
		delete(l.calls, m.RequestNumber)
	}
}

// Seat is where a successor finds the process in service.
type Listener struct{ l *net.UnixListener }

// Take listens at a path, in place of whoever did before.
func Listen(path string) (*Listener, error) {
	addr, done, err := address(path)
	if err != nil {
		return nil, err
	}
	defer done()
	if err := ours(path); err != nil {
		return nil, err
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	l, err := net.ListenUnix("unixpacket", addr)
	if err != nil {
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the path may be the successor's
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	return &Listener{l}, nil
}

// Accept waits for a successor.
func (s *Listener) Accept() (*Link, error) {
	conn, err := s.l.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return newLink(conn), nil
}

// Close leaves the seat.
func (s *Listener) Close() { s.l.Close() }
