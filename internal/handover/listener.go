package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Listener is where a successor finds the process in service.
type Listener struct {
	socket *net.UnixListener
}

// Listen listens at a path, in place of whoever did before.
func Listen(path string) (*Listener, error) {
	addr, release, err := socketAddr(path)
	if err != nil {
		return nil, err
	}
	defer release()
	if err := checkOwner(path); err != nil {
		return nil, err
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	socket, err := net.ListenUnix(network, addr)
	if err != nil {
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	socket.SetUnlinkOnClose(false) // by then the path may be the successor's
	if err := os.Chmod(path, 0o600); err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	return &Listener{socket}, nil
}

// Accept waits for a successor. It fails once the listener is closed.
func (l *Listener) Accept() (*Link, error) {
	conn, err := l.socket.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return newLink(conn), nil
}

// Close ends Accept. The socket's file stays.
func (l *Listener) Close() { _ = l.socket.Close() }
