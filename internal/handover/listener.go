package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Listener accepts the connection of a successor in the process in service.
type Listener struct {
	socket *net.UnixListener
}

// Listen listens on a Unix socket at path. It replaces the socket of a previous process.
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
	socket.SetUnlinkOnClose(false) // by the time of Close, the path may have the successor's socket
	if err := os.Chmod(path, 0o600); err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	return &Listener{socket}, nil
}

// Accept waits for a successor and returns the link to it. It returns an error once the listener is closed.
func (l *Listener) Accept() (*Link, error) {
	conn, err := l.socket.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return newLink(conn), nil
}

// Close closes the listener, and Accept returns an error. The socket's file is not removed.
func (l *Listener) Close() { _ = l.socket.Close() }
