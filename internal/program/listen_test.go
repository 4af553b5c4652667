package program

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// TestListenWithRetry: only an address in use is waited for, until a timeout or until the process is to shut down.
func TestListenWithRetry(t *testing.T) {
	inUse, other := &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}, errors.New("other")
	for name, c := range map[string]struct {
		frees, ends time.Duration // when the address is free, and the process told to end
		err         error         // of listening meanwhile
		want        error
		took        time.Duration
	}{
		"free at once":  {0, time.Hour, inUse, nil, 0},
		"free later":    {time.Second, time.Hour, inUse, nil, time.Second},
		"never free":    {time.Hour, time.Hour, inUse, inUse, addressInUseTimeout},
		"told to end":   {time.Hour, time.Second, inUse, inUse, time.Second},
		"another error": {time.Hour, time.Hour, other, other, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				ctx, stop := context.WithTimeout(t.Context(), c.ends)
				defer stop()
				_, err := listenWithRetry(ctx, func(string) (net.Listener, error) {
					if time.Since(began) < c.frees {
						return nil, c.err
					}
					return nil, nil
				})("a:1")
				if took := time.Since(began); !errors.Is(err, c.want) || took != c.took {
					t.Errorf("%v after %v, want %v after %v", err, took, c.want, c.took)
				}
			})
		})
	}
}
