package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/internal/routing"
)

// failureMode is what ails discovery.
type failureMode string

// The failures. What is open when one begins meets it too; unreachable and never up befall new connections as well.
const (
	noFailure      failureMode = ""
	connectionRefused    failureMode = "down"
	connectHangs        failureMode = "never up"
	noResponse         failureMode = "silent"
	connectionReset          failureMode = "reset"
	rejecting      failureMode = "refused"
	truncatedList       failureMode = "half a list"
	truncatedThenSilent failureMode = "half, then silent"
	firstRequestLost  failureMode = "first call lost" // only after another failure
	slowResponse failureMode = "answers trickle" // only after another failure
)

// fakeDiscovery is a discovery service that fails at times.
type fakeDiscovery struct {
	mu       sync.Mutex
	failure  failureMode
	after    failureMode // once it can be reached again
	version  int64
	requests int           // since the last change
	changed  chan struct{} // closed at each change of the above
}

// set changes discovery, and lets all that wait see it.
func (d *fakeDiscovery) set(current, after failureMode, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = current
	d.after = after
	d.version = version
	d.requests = 0
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDiscovery) requestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		since = -1
	}
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	d.requests++
	for waiting := true; ; {
		current, after, version, changed := d.failure, d.after, d.version, d.changed
		if after == firstRequestLost && current == noFailure {
			current = noResponse
			d.after = noFailure
		}
		d.mu.Unlock()
		if current != noFailure || version > since || !waiting {
			d.answer(w, r, current, after, version)
			return
		}
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
}

func (d *fakeDiscovery) answer(w http.ResponseWriter, r *http.Request, current, after failureMode, version int64) {
	list := fmt.Appendf(nil, `{"version":%d,"full":false,"servers":[]}`, version)
	switch current {
	case noResponse, connectHangs:
		<-r.Context().Done()
	case rejecting:
		w.WriteHeader(http.StatusServiceUnavailable)
	case truncatedList:
		w.Header().Set("Content-Length", strconv.Itoa(len(list)))
		w.Write(list[:len(list)/2])
	case truncatedThenSilent:
		w.Write(list[:len(list)/2])
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	case connectionReset, connectionRefused:
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			conn.Close()
		}
	default:
		for i := range list { // in 2 s, where it trickles
			if w.Write(list[i : i+1]); after == slowResponse {
				w.(http.Flusher).Flush()
				time.Sleep(2 * time.Second / time.Duration(len(list)))
			}
		}
	}
}

// dialer connects to discovery as its failure lets it.
func (d *fakeDiscovery) dialer(network *memoryNetwork) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		d.mu.Lock()
		current := d.failure
		d.mu.Unlock()
		switch current {
		case connectionRefused:
			return nil, syscall.ECONNREFUSED
		case connectHangs:
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return network.dial(ctx, addr)
	}
}

// versionRecorder reports the versions of the lists that a watcher delivers.
type versionRecorder struct {
	routing.Watcher
	versions chan int64
}

func (r versionRecorder) Watch(ctx context.Context, deliver func(routing.EndpointList)) error {
	return r.Watcher.Watch(ctx, func(list routing.EndpointList) {
		deliver(list)
		r.versions <- list.Version
	})
}

// TestEndpointUpdateInTime: whatever failure discovery had, and for however long, the node's start included, a change
// has reached the router 6 s after discovery could be reached, with a second to spare, also where the first request
// then is lost or answers trickle. And no failure makes a crowd: a node makes two requests a second at most in the
// mean, and 16 more; four a second where connections break, of which one may get through.
func TestEndpointUpdateInTime(t *testing.T) {
	for _, current := range []failureMode{connectionRefused, connectHangs, noResponse, connectionReset, rejecting, truncatedList, truncatedThenSilent} {
		for _, after := range []failureMode{noFailure, firstRequestLost, slowResponse} {
			for _, nodes := range []int{1, 300} {
				t.Run(fmt.Sprint(current, ", ", after, ", ", nodes), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkUpdateInTime(t, current, after, nodes) })
				})
			}
		}
	}
}

func checkUpdateInTime(t *testing.T, current, after failureMode, nodes int) {
	const due, margin, steps = 6 * time.Second, time.Second, 15
	discovery := &fakeDiscovery{changed: make(chan struct{})}
	network := newMemoryNetwork()
	l, _ := network.listen("discovery:1")
	server := &http.Server{Handler: discovery}
	go server.Serve(l)
	defer server.Close()
	c, versions := testConfig(), make(chan int64, 1000)
	c.Settings.Nodes, c.Settings.PollInterval, c.Settings.HealthChecks = nodes, 10*time.Second, false
	version, length := c.KnownEndpointsVersion, 100*time.Millisecond
	discovery.set(current, noFailure, version)
	n, err := Start(c, Options{Listen: network.listen, Dial: discovery.dialer(network),
		WrapWatcher: func(w routing.Watcher) routing.Watcher { return versionRecorder{w, versions} }})
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	if !n.router.Ready() {
		t.Error("not ready by the list known last")
	}
	perSecond := time.Duration(2)
	if current == connectionReset || current == truncatedList {
		perSecond = 4 // thirteen requests in two seconds, and as long a pause
	}
	var worst time.Duration
	requests := 0
	for range steps {
		time.Sleep(length)
		requests = discovery.requestCount()
		if most := 16 + int(perSecond*length/time.Second); requests > most {
			t.Errorf("%d requests in %v of failure, %d at most", requests, length, most)
		}
		version++
		discovery.set(noFailure, after, version)
		reachable, never := time.Now(), time.After(time.Minute)
		for delivered := false; !delivered; {
			select {
			case v := <-versions:
				delivered = v == version
			case <-never:
				delivered = true
			}
		}
		took := time.Since(reachable)
		worst = max(worst, took)
		if took > due-margin {
			t.Errorf("updated %v after discovery could be reached, %v of failure", took, length)
		}
		length += 1137 * time.Millisecond
		time.Sleep(3 * time.Second)
		discovery.set(current, noFailure, version)
	}
	t.Logf("at worst %v, %d requests in the last failure", worst, requests)
	n.Abort()
	time.Sleep(2 * time.Second) // the last of its goroutines see it
}

// TestReloadOfDiscoveryEndsHangingRequest: at a reload with another discovery the request that hangs at the old one
// ends, its connection with it, and the new one is asked for its whole list.
func TestReloadOfDiscoveryEndsHangingRequest(t *testing.T) {
	old, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	hangs, left := make(chan bool), make(chan error)
	go func() {
		conn, err := old.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		http.ReadRequest(in)
		hangs <- true
		_, err = in.ReadByte()
		left <- err
	}()
	asked := make(chan string, 100)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.RequestURI
		<-r.Context().Done()
	}))
	defer next.Close()
	c := testConfig()
	c.Listen, c.Discovery = "127.0.0.1:0", old.Addr().String()
	n, err := Start(c, Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Abort()
	<-hangs
	moved := *c
	moved.Discovery = next.Listener.Addr().String()
	n.Reload(&moved)
	if err := <-left; err == nil {
		t.Error("the old request goes on")
	}
	if uri := <-asked; uri != "/registry/instances" {
		t.Errorf("asked for %s", uri)
	}
}
