package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// connectTimeout bounds the wait for the state of the process in service, which answers from memory.
const connectTimeout = 2 * time.Second

var errNoListener = errors.New("hand-over: no listener came")

// Takeover is what a successor gets from the process in service.
type Takeover struct {
	// Link goes to that process.
	Link *Link
	// State is what that process knows.
	State NodeState
	// Listener accepts clients at that process's address, on its socket.
	Listener net.Listener
}

// Connect takes over from the process in service that listens at a path. A nil Takeover without an error means that
// there is none.
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
	case errors.Is(err, syscall.ENOENT), errors.Is(err, syscall.ECONNREFUSED): // a dead process may have left the file
		return nil, nil
	case err != nil:
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	link := newLink(conn)
	state, listener, err := link.receiveState()
	if err != nil {
		link.Close()
		return nil, err
	}
	return &Takeover{Link: link, State: state, Listener: listener}, nil
}

// receiveState takes in the messages of a NodeState, and the listener that comes with the last of them.
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

// closeFile closes a received descriptor; nil: none came.
func closeFile(file *os.File) {
	if file != nil {
		_ = file.Close()
	}
}
