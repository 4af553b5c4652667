package transport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// TestTurnAtACrowdedDiscovery: a call that waits for its turn at a discovery that has just refused one is left there:
// whatever else its node sends meanwhile is refused, and the call in its turn with it.
func TestTurnAtACrowdedDiscovery(t *testing.T) {
	var calls atomic.Int64
	waits, more := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); {
		case n == 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case n == 2: // its turn comes once another would long have gone out beside a call that is late
			close(waits)
			select {
			case <-more:
				w.WriteHeader(http.StatusServiceUnavailable)
			case <-time.After(watchWait + watchLate + 250*time.Millisecond):
				w.Write([]byte(`{"version":2,"full":false,"servers":[]}`))
			}
		default:
			if n == 3 {
				close(more)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	told, l := 0, make(lines, 1000)
	w := NewEndpointWatcher(server.Listener.Addr().String(), protocol.NameIndex{}, 1, nil, l.log()).ForFleetSize(30, 1)
	w.Watch(ctx, func(routing.EndpointList) {
		told++
		stop()
	})
	<-waits
	if told != 1 || calls.Load() > 3 { // the question behind the answer may be on its way
		t.Errorf("%d lists after %d calls", told, calls.Load())
	}
}
