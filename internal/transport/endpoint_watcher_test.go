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

// TestWatch: each request names the version held; one with a faulty answer is repeated, once, and leaves the
// version, so that nothing is skipped.
func TestWatch(t *testing.T) {
	asked := make(chan string, 11)
	answers := []string{`{"version":41,"full":true,"servers":[]}`, `{"version":43,"full":false,"servers":[]}`,
		"cut", `{"version":44,"full":false,"servers":[{"id":""}]}`, "", "cut",
		`{"version":45,"full":false,"servers":[]}`, "", "cut", "cut", ""}
	next := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.RequestURI
		a := answers[next]
		if next++; a == "" {
			w.WriteHeader(503)
		}
		io.WriteString(w, a)
	}))
	defer s.Close()
	w := NewEndpointWatcher(s.Listener.Addr().String(), protocol.NameIndex{}, -1, nil, slog.New(slog.DiscardHandler))
	w.maxExtra, w.lateAfter = 1, time.Millisecond
	var kinds []balancer.UpdateKind
	for range 4 { // what is no JSON, a malformed list, or a 503, each time the second in a row
		if err := w.Watch(t.Context(), func(g routing.EndpointList) { kinds = append(kinds, g.Kind) }); err == nil {
			t.Error("no error")
		}
	}
	want := []balancer.UpdateKind{balancer.UpdateFull, balancer.UpdateDelta, balancer.UpdateDelta}
	if !slices.Equal(kinds, want) {
		t.Errorf("told %v", kinds)
	}
	for _, version := range []string{"", "41", "43", "43", "43", "43", "43", "45", "45", "45", "45"} {
		want := "/registry/instances"
		if version != "" {
			want += "?after=" + version + "&wait_ms=800"
		}
		if got := <-asked; got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
}

// TestMaxWatchRequests: how many requests one poll sends at most, http.Transport's own repeat on a kept connection
// included. It guards against a layer that adds one.
func TestMaxWatchRequests(t *testing.T) {
	var asked atomic.Int64
	p := startServer(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			if asked.Add(1) > 1 {
				return // all but the first answer break
			}
			const list = `{"version":1,"full":true,"servers":[]}`
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}
	})
	w := NewEndpointWatcher(p.Addr, protocol.NameIndex{}, -1, nil, slog.New(slog.DiscardHandler))
	w.lateAfter = time.Millisecond
	lists := 0
	const most = 1 + maxExtraPolls + 1 // calls, and one that is sent again on the connection kept
	err := w.Watch(t.Context(), func(routing.EndpointList) { lists++ })
	if err == nil || lists != 1 || asked.Load()-1 != most {
		t.Errorf("%v: %d lists, then %d requests, and %d should be the most", err, lists, asked.Load()-1, most)
	}
}

// TestSilentDiscovery: a request that is never answered gets others beside it, but not for ever.
func TestSilentDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dialed atomic.Int64
		began := time.Now()
		w := NewEndpointWatcher("d:1", protocol.NameIndex{}, 1, func(context.Context, string) (net.Conn, error) {
			dialed.Add(1)
			near, far := net.Pipe()
			go io.Copy(io.Discard, far)
			return pipeConn{near}, nil
		}, slog.New(slog.DiscardHandler))
		const last = defaultPollWait + pollLateAfter + (maxExtraPolls-1)*parallelPollAfter // when the last call goes out
		err := w.Watch(t.Context(), nil)
		if took := time.Since(began); err == nil || dialed.Load() != 1+maxExtraPolls || took > last+pollReadTimeout {
			t.Errorf("%v after %d requests in %v, want %d in at most %v",
				err, dialed.Load(), took, 1+maxExtraPolls, last+pollReadTimeout)
		}
	})
}

// lateCancelTransport is a transport whose requests notice their end a moment late, as a goroutine may on a busy
// machine.
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

// TestWatchStopsDialing guards against dialing that goes on in http.Transport, also for a request that notices its
// end late.
func TestWatchStopsDialing(t *testing.T) {
	for _, late := range []time.Duration{0, 10 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			dialed := make(chan time.Duration)
			w := NewEndpointWatcher("d:1", protocol.NameIndex{}, 1, func(ctx context.Context, _ string) (net.Conn, error) {
				stop()
				began := time.Now()
				<-ctx.Done()
				dialed <- time.Since(began)
				return nil, ctx.Err()
			}, slog.New(slog.DiscardHandler))
			if late > 0 {
				w.client.Transport = lateCancelTransport{w.client.Transport.(*http.Transport), late}
			}
			go w.Watch(ctx, func(routing.EndpointList) {})
			if d := <-dialed; d > late {
				t.Errorf("dialing went on for %v after an end that the call notices %v late", d, late)
			}
		})
	}
}

// TestLatePollGetsParallelPoll: beside a request that has fallen silent another is sent, which is not held, and its
// answer counts.
func TestLatePollGetsParallelPoll(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.FormValue("after") == "2": // the test is over
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
		t.Errorf("%v, %d lists, version %d; want the one of the second call", err, lists, w.version)
	}
}

// TestPollWaitByFleetSize: however many nodes poll, discovery gets no more requests from all of them, up to a bound.
func TestPollWaitByFleetSize(t *testing.T) {
	for nodes, want := range map[int]time.Duration{
		0:   pollWaitPerNode,
		1:   pollWaitPerNode,
		2:   defaultPollWait,
		4:   4 * pollWaitPerNode,
		300: maxPollWait,
	} {
		if w := new(EndpointWatcher).ForFleetSize(nodes, 1); w.wait != want {
			t.Errorf("%d nodes: held for %v, want %v", nodes, w.wait, want)
		}
	}
}

// TestWatchSurvivesErrorBurst: eight requests in a row break, as in a short fault at discovery, and the watch goes on
// until a list has come.
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
	told := 0
	l := make(logLines, 1000)
	w := NewEndpointWatcher(server.Listener.Addr().String(), protocol.NameIndex{}, 1, nil, l.logger())
	err := w.Watch(ctx, func(routing.EndpointList) {
		told++
		stop()
	})
	if told != 1 || err == nil {
		t.Errorf("%d lists after %d calls: %v", told, calls.Load(), err)
	}
}

// TestOverloadedDiscovery: a request that waits for its turn at a discovery that has just refused one is left there:
// whatever else its node sends meanwhile is refused, and the request in its turn with it.
func TestOverloadedDiscovery(t *testing.T) {
	var calls atomic.Int64
	waits, more := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); n {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2: // its turn comes once another would long have gone out beside a call that is late
			close(waits)
			select {
			case <-more:
				w.WriteHeader(http.StatusServiceUnavailable)
			case <-time.After(defaultPollWait + pollLateAfter + 250*time.Millisecond):
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
	told, l := 0, make(logLines, 1000)
	w := NewEndpointWatcher(server.Listener.Addr().String(), protocol.NameIndex{}, 1, nil, l.logger()).ForFleetSize(30, 1)
	w.Watch(ctx, func(routing.EndpointList) {
		told++
		stop()
	})
	<-waits
	if told != 1 || calls.Load() > 3 { // the question behind the answer may be on its way
		t.Errorf("%d lists after %d calls", told, calls.Load())
	}
}
