package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// sendTimeout bounds the duration for which Send blocks while the other process does not read.
	sendTimeout = 500 * time.Millisecond
	// requestTimeout bounds the wait for the result of a request. Operators' commands must be answered within 1 s.
	requestTimeout = 600 * time.Millisecond
)

// ErrProcessEnded is returned by Link.Request when the other process has ended or the link is closed.
var ErrProcessEnded = errors.New("hand-over: the node's other process has ended")

// ErrConnectionEnded is returned by Link.Send when the connection whose descriptor it should send is closed. The link
// is still usable.
var ErrConnectionEnded = errors.New("hand-over: the connection has ended")

// Link is the socket between the two processes. Messages arrive in the order in which they were sent. All methods
// except Receive are safe for concurrent use; Receive must be called by one goroutine only.
type Link struct {
	conn *net.UnixConn

	sendMu sync.Mutex

	mu          sync.Mutex
	pending     map[uint64]chan Message // requests without a result, by RequestNumber
	lastRequest uint64                  // RequestNumber of the latest request; 0: there was none

	closeOnce sync.Once
	closed    chan struct{} // closed by Close

	outbox outbox
}

func newLink(conn *net.UnixConn) *Link {
	l := &Link{conn: conn, pending: map[uint64]chan Message{}, closed: make(chan struct{})}
	l.outbox.init(l)
	return l
}

// Close closes the link. Receive then returns an error in both processes.
func (l *Link) Close() {
	l.closeOnce.Do(func() { close(l.closed) })
	_ = l.conn.Close()
	l.outbox.close()
}

// Send sends a message and, unless descriptor is nil, a duplicate of a file descriptor; the sender's own stays open. If
// the descriptor is already closed, nothing is sent and the error is ErrConnectionEnded.
func (l *Link) Send(m Message, descriptor syscall.Conn) error {
	return l.send(m, descriptor, sendTimeout)
}

// send is Send, with a bound on the duration for which it blocks while the other process does not read.
func (l *Link) send(m Message, descriptor syscall.Conn, timeout time.Duration) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(timeout))
	if descriptor == nil {
		_, err = l.conn.Write(data)
		return err
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrConnectionEnded, err)
	}
	var sendErr error
	// Control keeps the descriptor open during the call. The method File is no alternative: it would set the descriptor
	// to blocking mode, in both processes.
	err = raw.Control(func(fd uintptr) {
		_, _, sendErr = l.conn.WriteMsgUnix(data, syscall.UnixRights(int(fd)), nil)
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrConnectionEnded, err)
	}
	return sendErr
}

// Receive waits for the next message and returns it with the file of the descriptor that came with it; nil: there is
// none. The caller must close the file.
func (l *Link) Receive() (Message, *os.File, error) {
	data := make([]byte, maxMessageBytes)
	control := make([]byte, syscall.CmsgSpace(4)) // space for one descriptor
	size, controlSize, _, _, err := l.conn.ReadMsgUnix(data, control)
	if errors.Is(err, syscall.ECONNRESET) {
		// The other process ended with unread messages. Linux reports this error once, before it delivers the messages
		// that the process sent earlier.
		size, controlSize, _, _, err = l.conn.ReadMsgUnix(data, control)
	}
	if err != nil {
		return Message{}, nil, err
	}
	file, err := parseDescriptor(control[:controlSize])
	if err != nil {
		return Message{}, nil, err
	}
	message, err := decode(data[:size])
	if err != nil {
		closeFile(file)
		return Message{}, nil, err
	}
	return message, file, nil
}

// parseDescriptor returns the file of the descriptor in a control message; nil: there is no control message.
func parseDescriptor(control []byte) (*os.File, error) {
	if len(control) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil || len(messages) != 1 {
		return nil, fmt.Errorf("hand-over: got %d control messages, want 1: %w", len(messages), err)
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return nil, fmt.Errorf("hand-over: got %d descriptors, want 1: %w", len(descriptors), err)
	}
	return os.NewFile(uintptr(descriptors[0]), "handed over"), nil
}

// Request sends a request to the other process and waits for its result, which the receiving goroutine must pass to
// Resolve. The error is ErrProcessEnded if the other process has ended and thus need not execute the request, or if the
// link is closed.
func (l *Link) Request(m Message) error {
	number, result := l.registerRequest()
	defer l.unregisterRequest(number)
	m.RequestNumber = number
	switch err := l.Send(m, nil); {
	case errors.Is(err, syscall.EPIPE), errors.Is(err, net.ErrClosed),
		errors.Is(err, syscall.ECONNRESET): // the other process ended with unread messages of this one
		return ErrProcessEnded
	case err != nil:
		return fmt.Errorf("hand-over: %w", err)
	}
	select {
	case reply := <-result:
		if reply.Error != "" {
			return fmt.Errorf("the node's other process: %s", reply.Error)
		}
		return nil
	case <-l.closed:
		return ErrProcessEnded
	case <-time.After(requestTimeout):
		return errors.New("hand-over: the node's other process does not answer")
	}
}

func (l *Link) registerRequest() (number uint64, result <-chan Message) {
	waiting := make(chan Message, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRequest++
	l.pending[l.lastRequest] = waiting
	return l.lastRequest, waiting
}

func (l *Link) unregisterRequest(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, number)
}

// Resolve passes a received message of KindResult to the Request that waits for it. It drops the message if there is
// none.
func (l *Link) Resolve(m Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if waiting := l.pending[m.RequestNumber]; waiting != nil {
		waiting <- m
		delete(l.pending, m.RequestNumber)
	}
}
