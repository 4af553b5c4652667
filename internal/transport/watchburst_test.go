package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// TestWatchOutlastsABurst: eight calls in a row break, as in a moment of trouble
// at discovery, and the watch goes on until a list has come.
func TestWatchOutlastsABurst(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= 8 {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}
			return
		}
		w.Write([]byte(`{"version":2,"full":false,"servers":[]}`))
	}))
	defer server.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	told := 0
	l := make(lines, 1000)
	err := NewEndpointWatcher(server.Listener.Addr().String(), protocol.NameIndex{}, 1, nil, l.log()).Watch(ctx, func(routing.EndpointList) {
		told++
		stop()
	})
	if told != 1 || err == nil {
		t.Errorf("%d lists after %d calls: %v", told, calls.Load(), err)
	}
}
