package program

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"olivebridge/internal/protocol"
)

const (
	// addressInUseTimeout is how long an address may still be in use when a process starts. One that shuts down accepts for
	// 0.8 s more, since clients come for 0.4 s, and its machine may be busy; readiness is owed within 10 s.
	addressInUseTimeout = 3 * time.Second
	// listenRetryInterval is the pause between two attempts to listen.
	listenRetryInterval = 50 * time.Millisecond
)

// reusePort is SO_REUSEPORT, which package syscall lacks on this platform.
const reusePort = 15

// listenFunc listens at an address.
type listenFunc func(addr string) (net.Listener, error)

// listenWithRetry listens as listen does, but waits a while for a process that shuts down to leave the address.
func listenWithRetry(ctx context.Context, listen listenFunc) listenFunc {
	return func(addr string) (net.Listener, error) {
		ctx, stop := context.WithTimeout(ctx, addressInUseTimeout)
		defer stop()
		for {
			l, err := listen(addr)
			if !errors.Is(err, syscall.EADDRINUSE) {
				return l, err
			}
			select {
			case <-ctx.Done():
				return nil, err
			case <-time.After(listenRetryInterval):
			}
		}
	}
}

// newListenFunc returns how to listen for clients and for operators. With an admin listener a process may start beside the
// one in service, and the clients' address is shared, in case that one does not hand its own over.
func newListenFunc(c *protocol.Config) listenFunc {
	if c.AdminListen == "" {
		return listenExclusive
	}
	return func(addr string) (net.Listener, error) {
		if addr == c.AdminListen { // an operator has to know which process answers
			return listenExclusive(addr)
		}
		return listenShared(addr)
	}
}

func listenExclusive(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func listenShared(addr string) (net.Listener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1)
		})
		return errors.Join(err, optionErr)
	}}
	return shared.Listen(context.Background(), "tcp", addr)
}
