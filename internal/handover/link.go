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
	// sendTimeout bounds the wait for the other process to read a message.
	sendTimeout = 500 * time.Millisecond
	// requestTimeout bounds the wait for a result. An operator's command is owed its answer in 1 s.
	requestTimeout = 600 * time.Millisecond
)

// ErrProcessEnded says that there is no other process any more.
var ErrProcessEnded = errors.New("hand-over: the node's other process has ended")

// ErrConnectionEnded says that the connection whose descriptor was to be sent has ended meanwhile. The link is whole.
var ErrConnectionEnded = errors.New("hand-over: the connection has ended")

// Link is the socket between the two processes. Messages keep their order. All methods but Receive are safe for
// concurrent use; one goroutine receives.
type Link struct {
	conn *net.UnixConn

	sendMu sync.Mutex

	mu          sync.Mutex
	pending     map[uint64]chan Message // requests that wait for their result, by number
	lastRequest uint64                  // the number of the newest request

	closeOnce sync.Once
	closed    chan struct{} // closed with the link
}

func newLink(conn *net.UnixConn) *Link {
	return &Link{conn: conn, pending: map[uint64]chan Message{}, closed: make(chan struct{})}
}

// Close ends the link; Receive ends with an error at both sides.
func (l *Link) Close() {
	l.closeOnce.Do(func() { close(l.closed) })
	_ = l.conn.Close()
}

// Send sends a message, and with it a descriptor unless that is nil. The sender keeps its own. Where the descriptor is
// closed by then nothing is sent, and the error is ErrConnectionEnded.
func (l *Link) Send(m Message, descriptor syscall.Conn) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if descriptor == nil {
		_, err = l.conn.Write(data)
		return err
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrConnectionEnded, err)
	}
	var sendErr error
	// File would turn the descriptor blocking, for both processes; within Control it stays open.
	err = raw.Control(func(fd uintptr) {
		_, _, sendErr = l.conn.WriteMsgUnix(data, syscall.UnixRights(int(fd)), nil)
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrConnectionEnded, err)
	}
	return sendErr
}

// Receive waits for the next message, and the descriptor that came with it; nil: none. The caller closes the file.
func (l *Link) Receive() (Message, *os.File, error) {
	data := make([]byte, maxMessageBytes)
	control := make([]byte, syscall.CmsgSpace(4)) // of one descriptor
	size, controlSize, _, _, err := l.conn.ReadMsgUnix(data, control)
	if errors.Is(err, syscall.ECONNRESET) {
		// The other process ended with something unread. Linux reports that once, ahead of what was sent before.
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

// parseDescriptor reads the descriptor of a control message; nil: it has none.
func parseDescriptor(control []byte) (*os.File, error) {
	if len(control) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil || len(messages) != 1 {
		return nil, fmt.Errorf("hand-over: %d control messages: %w", len(messages), err)
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return nil, fmt.Errorf("hand-over: %d descriptors: %w", len(descriptors), err)
	}
	return os.NewFile(uintptr(descriptors[0]), "handed over"), nil
}

// Request has the other process do what a message says, and waits for its result, which the goroutine that receives
// gives to Resolve. The error is ErrProcessEnded where no process is left that would have to do it.
func (l *Link) Request(m Message) error {
	number, result := l.registerRequest()
	defer l.unregisterRequest(number)
	m.RequestNumber = number
	switch err := l.Send(m, nil); {
	case errors.Is(err, syscall.EPIPE), errors.Is(err, net.ErrClosed),
		errors.Is(err, syscall.ECONNRESET): // it died with something of this process's unread
		return ErrProcessEnded
	case err != nil:
		return fmt.Errorf("hand-over: %w", err)
	}
	select {
	case done := <-result:
		if done.Error != "" {
			return fmt.Errorf("the node's other process: %s", done.Error)
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

// Resolve gives a received KindResult to the request that waits for it, if any does.
func (l *Link) Resolve(m Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if waiting := l.pending[m.RequestNumber]; waiting != nil {
		waiting <- m
		delete(l.pending, m.RequestNumber)
	}
}
