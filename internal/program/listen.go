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
	// addressInUseTimeout bounds the retries of a starting process whose address is in use. A process that shuts down
	// accepts connections for 0.8 s, since clients still connect for 0.4 s, and its machine may be busy. The limit leaves
	// enough of the 10 s within which the new process must be ready.
	addressInUseTimeout = 3 * time.Second
	// listenRetryInterval is the delay between two attempts to listen.
	listenRetryInterval = 50 * time.Millisecond
)

// reusePort is SO_REUSEPORT, which package syscall lacks on this platform.
const reusePort = 15

// listenFunc opens a listener on an address.
type listenFunc func(addr string) (net.Listener, error)

// listenWithRetry returns a listenFunc that calls listen and retries it while the address is in use by a process that
// shuts down, until addressInUseTimeout or the end of ctx. It does not retry after other errors.
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

// newListenFunc returns the listenFunc for clients and operators. With an admin listener, a successor may start while
// another process is in service. The address for clients is then shared with SO_REUSEPORT, in case the other process
// does not hand over its listener.
func newListenFunc(c *protocol.Config) listenFunc {
	if c.AdminListen == "" {
		return listenExclusive
	}
	return func(addr string) (net.Listener, error) {
		if addr == c.AdminListen { // not shared: an operator must know which process answers
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
