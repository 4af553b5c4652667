package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// TestWatch: each request contains the version held. A request with an invalid response is retried once and does not
// change the version, so that no change is skipped.
func TestWatch(t *testing.T) {
	requests := make(chan string, 11)
	responses := []string{`{"version":41,"full":true,"servers":[]}`, `{"version":43,"full":false,"servers":[]}`,
		"cut", `{"version":44,"full":false,"servers":[{"id":""}]}`, "", "cut",
		`{"version":45,"full":false,"servers":[]}`, "", "cut", "cut", ""}
	next := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.RequestURI
		a := responses[next]
		if next++; a == "" {
			w.WriteHeader(503)
		}
		io.WriteString(w, a)
	}))
	defer s.Close()
	w := NewEndpointWatcher(s.Listener.Addr().String(), protocol.NameIndex{}, -1, nil, slog.New(slog.DiscardHandler))
	w.maxExtra, w.lateAfter = 1, time.Millisecond
	var kinds []balancer.UpdateKind
	for range 4 { // each Watch ends after two invalid responses: no JSON, a malformed list or a 503
		if err := w.Watch(t.Context(), func(g routing.EndpointList) { kinds = append(kinds, g.Kind) }); err == nil {
			t.Error("Watch returned no error after two invalid responses")
		}
	}
	want := []balancer.UpdateKind{balancer.UpdateFull, balancer.UpdateDelta, balancer.UpdateDelta}
	if !slices.Equal(kinds, want) {
		t.Errorf("received lists of kinds %v", kinds)
	}
	for _, version := range []string{"", "41", "43", "43", "43", "43", "43", "45", "45", "45", "45"} {
		want := "/registry/instances"
		if version != "" {
			want += "?after=" + version + "&wait_ms=800"
		}
		if got := <-requests; got != want {
			t.Errorf("requested %s, want %s", got, want)
		}
	}
}

// TestMaxWatchRequests checks the maximum number of requests of one poll, including the retry by http.Transport on a
// reused connection. It guards against another layer that adds requests.
func TestMaxWatchRequests(t *testing.T) {
	var requests atomic.Int64
	p := startServer(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			if requests.Add(1) > 1 {
				return // every response but the first fails
			}
			const list = `{"version":1,"full":true,"servers":[]}`
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}
	})
	w := NewEndpointWatcher(p.Addr, protocol.NameIndex{}, -1, nil, slog.New(slog.DiscardHandler))
	w.lateAfter = time.Millisecond
	lists := 0
	// Requests of the poll, and the one that http.Transport retries on the reused connection.
	const maxRequests = 1 + maxExtraPolls + 1
	err := w.Watch(t.Context(), func(routing.EndpointList) { lists++ })
	if err == nil || lists != 1 || requests.Load()-1 != maxRequests {
		t.Errorf("%v: %d lists, want 1, then %d requests, want %d", err, lists, requests.Load()-1, maxRequests)
	}
}

// TestSilentDiscovery: while a request has no response, the watcher sends parallel requests, but only a limited number
// of them.
func TestSilentDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dialed atomic.Int64
		started := time.Now()
		w := NewEndpointWatcher("d:1", protocol.NameIndex{}, 1, func(context.Context, string) (net.Conn, error) {
			dialed.Add(1)
			near, far := net.Pipe()
			go io.Copy(io.Discard, far)
			return pipeConn{near}, nil
		}, slog.New(slog.DiscardHandler))
		const last = defaultPollWait + pollLateAfter + (maxExtraPolls-1)*parallelPollAfter // when the last request is sent
		err := w.Watch(t.Context(), nil)
		if elapsed := time.Since(started); err == nil || dialed.Load() != 1+maxExtraPolls || elapsed > last+pollReadTimeout {
			t.Errorf("error %v after %d requests in %v, want an error after %d requests in at most %v",
				err, dialed.Load(), elapsed, 1+maxExtraPolls, last+pollReadTimeout)
		}
	})
}

// lateCancelTransport is a transport whose requests notice their cancellation with a delay, as a goroutine may on a
// busy machine.
type lateCancelTransport struct {
	*http.Transport
	late time.Duration
}

// RoundTrip implements http.RoundTripper.
func (n lateCancelTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, end := context.WithCancel(context.WithoutCancel(r.Context()))
	context.AfterFunc(r.Context(), func() { time.AfterFunc(n.late, end) })
	return n.Transport.RoundTrip(r.WithContext(ctx))
}

// TestWatchStopsDialing guards against dialing that continues in http.Transport after the watch was cancelled, also for
// a request that notices its cancellation late.
func TestWatchStopsDialing(t *testing.T) {
	for _, late := range []time.Duration{0, 10 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			dialed := make(chan time.Duration)
			w := NewEndpointWatcher("d:1", protocol.NameIndex{}, 1, func(ctx context.Context, _ string) (net.Conn, error) {
				stop()
				started := time.Now()
				<-ctx.Done()
				dialed <- time.Since(started)
				return nil, ctx.Err()
			}, slog.New(slog.DiscardHandler))
			if late > 0 {
				w.client.Transport = lateCancelTransport{w.client.Transport.(*http.Transport), late}
			}
			go w.Watch(ctx, func(routing.EndpointList) {})
			if d := <-dialed; d > late {
				t.Errorf("dialing continued for %v after a cancellation noticed %v late", d, late)
			}
		})
	}
}

// TestLatePollGetsParallelPoll: if a request has no response, the watcher sends a parallel request without a hold and
// accepts its response.
func TestLatePollGetsParallelPoll(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.FormValue("after") == "2": // end of the test
			w.WriteHeader(503)
		case r.FormValue("wait_ms") == "0":
			io.WriteString(w, `{"version":2,"full":true,"servers":[]}`)
		default:
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	w := NewEndpointWatcher(s.Listener.Addr().String(), protocol.NameIndex{}, 1, nil, slog.New(slog.DiscardHandler))
	w.wait, w.lateAfter, w.readTimeout = 20*time.Millisecond, time.Millisecond, time.Minute
	lists := 0
	if err := w.Watch(t.Context(), func(routing.EndpointList) { lists++ }); err == nil || lists != 1 || w.version != 2 {
		t.Errorf("error %v, %d lists, version %d; want an error, 1 list and version 2", err, lists, w.version)
	}
}

// TestPollWaitByFleetSize: the hold grows with the number of nodes, up to a limit, so that all nodes together send
// discovery no more requests.
func TestPollWaitByFleetSize(t *testing.T) {
	for nodes, want := range map[int]time.Duration{
		0:   pollWaitPerNode,
		1:   pollWaitPerNode,
		2:   defaultPollWait,
		4:   4 * pollWaitPerNode,
		300: maxPollWait,
	} {
		if w := new(EndpointWatcher).ForFleetSize(nodes, 1); w.wait != want {
			t.Errorf("%d nodes: hold of %v, want %v", nodes, w.wait, want)
		}
	}
}

// TestWatchSurvivesErrorBurst: eight consecutive requests fail, as in a short fault at discovery. The watch continues
// until it receives a list.
func TestWatchSurvivesErrorBurst(t *testing.T) {
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
	lists := 0
	l := make(logLines, 1000)
	w := NewEndpointWatcher(server.Listener.Addr().String(), protocol.NameIndex{}, 1, nil, l.logger())
	err := w.Watch(ctx, func(routing.EndpointList) {
		lists++
		stop()
	})
	if lists != 1 || err == nil {
		t.Errorf("%d lists after %d requests: %v; want 1 list and an error", lists, calls.Load(), err)
	}
}

// TestOverloadedDiscovery: discovery has just rejected a request, and the next one waits in its queue. The watcher must
// send no parallel request meanwhile: discovery would reject that and the queued request with it.
func TestOverloadedDiscovery(t *testing.T) {
	var calls atomic.Int64
	queued, extra := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); n {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2: // served only after the time at which a parallel request to a late one would have been sent
			close(queued)
			select {
			case <-extra:
				w.WriteHeader(http.StatusServiceUnavailable)
			case <-time.After(defaultPollWait + pollLateAfter + 250*time.Millisecond):
				w.Write([]byte(`{"version":2,"full":false,"servers":[]}`))
			}
		default:
			if n == 3 {
				close(extra)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	lists, l := 0, make(logLines, 1000)
	w := NewEndpointWatcher(server.Listener.Addr().String(), protocol.NameIndex{}, 1, nil, l.logger()).ForFleetSize(30, 1)
	w.Watch(ctx, func(routing.EndpointList) {
		lists++
		stop()
	})
	<-queued
	if lists != 1 || calls.Load() > 3 { // the request after the list may already be sent
		t.Errorf("%d lists after %d requests, want 1 list and at most 3 requests", lists, calls.Load())
	}
}
