package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// connectTimeout bounds the wait for the complete state of the process in service, which sends it from memory.
const connectTimeout = 2 * time.Second

var errNoListener = errors.New("hand-over: no listener received")

// Takeover is the result of Connect: everything that a successor receives from the process in service.
type Takeover struct {
	// Link is the link to the process in service.
	Link *Link
	// State is the state of the process in service.
	State NodeState
	// Listener accepts clients on the listening socket that both processes share.
	Listener net.Listener
}

// UnresponsiveError reports that the process in service has not sent its state in time. The link stays open, so that
// the caller notices when that process answers after all, or ends; the caller must close it.
type UnresponsiveError struct {
	Link *Link
	err  error
}

// Error implements error.
func (e *UnresponsiveError) Error() string { return e.err.Error() }

// Unwrap returns the error of the read that timed out.
func (e *UnresponsiveError) Unwrap() error { return e.err }

// Connect connects to the process in service that listens at path, and receives its state and its listener. A nil
// Takeover without an error means that there is no such process. If it does not answer, the error is an
// UnresponsiveError.
func Connect(path string) (*Takeover, error) {
	addr, release, err := socketAddr(path)
	if err != nil {
		return nil, err
	}
	defer release()
	if err := checkOwner(path); err != nil {
		return nil, err
	}
	conn, err := net.DialUnix(network, nil, addr)
	switch {
	case errors.Is(err, syscall.ENOENT), errors.Is(err, syscall.ECONNREFUSED): // refused: the file of an ended process
		return nil, nil
	case err != nil:
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	link := newLink(conn)
	state, listener, err := link.receiveState()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &UnresponsiveError{Link: link, err: err}
	}
	if err != nil {
		link.Close()
		return nil, err
	}
	return &Takeover{Link: link, State: state, Listener: listener}, nil
}

// receiveState receives the messages of a NodeState, and the listener for clients that comes with the last message.
func (l *Link) receiveState() (state NodeState, listener net.Listener, err error) {
	_ = l.conn.SetReadDeadline(time.Now().Add(connectTimeout))
	defer func() { _ = l.conn.SetReadDeadline(time.Time{}) }()
	for {
		message, file, err := l.Receive()
		if err != nil {
			return state, nil, err
		}
		last, err := state.add(message)
		if err != nil || last && file == nil {
			closeFile(file)
			return state, nil, errors.Join(err, errNoListener)
		}
		if file != nil {
			listener, err = net.FileListener(file)
			closeFile(file)
			if err != nil {
				return state, nil, fmt.Errorf("hand-over: %w", err)
			}
		}
		if last {
			return state, listener, nil
		}
	}
}

// closeFile closes the file of a received descriptor; nil: there is none.
func closeFile(file *os.File) {
	if file != nil {
		_ = file.Close()
	}
}
