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

// TestListenWithRetry: listening is retried only while the address is in use, until the timeout or a shutdown.
func TestListenWithRetry(t *testing.T) {
	inUse, other := &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}, errors.New("other")
	for name, c := range map[string]struct {
		freeAfter, shutdownAfter time.Duration // time until the address is free, and until the process shuts down
		err                      error         // of listening until then
		want                     error
		duration                 time.Duration // of the call
	}{
		"address free":                  {0, time.Hour, inUse, nil, 0},
		"address free after 1 s":        {time.Second, time.Hour, inUse, nil, time.Second},
		"address stays in use":          {time.Hour, time.Hour, inUse, inUse, addressInUseTimeout},
		"shutdown while address in use": {time.Hour, time.Second, inUse, inUse, time.Second},
		"another error":                 {time.Hour, time.Hour, other, other, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, stop := context.WithTimeout(t.Context(), c.shutdownAfter)
				defer stop()
				_, err := listenWithRetry(ctx, func(string) (net.Listener, error) {
					if time.Since(start) < c.freeAfter {
						return nil, c.err
					}
					return nil, nil
				})("a:1")
				if duration := time.Since(start); !errors.Is(err, c.want) || duration != c.duration {
					t.Errorf("got error %v after %v, want %v after %v", err, duration, c.want, c.duration)
				}
			})
		})
	}
}
