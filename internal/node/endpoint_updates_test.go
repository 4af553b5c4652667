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

// failureMode is the way in which the fake discovery service fails.
type failureMode string

// The failure modes. A failure also affects requests that are open when it begins. connectionRefused and connectHangs
// affect new connections, too.
const (
	noFailure           failureMode = ""
	connectionRefused   failureMode = "connection refused"
	connectHangs        failureMode = "connect hangs"
	noResponse          failureMode = "no response"
	connectionReset     failureMode = "connection reset"
	rejecting           failureMode = "requests rejected"
	truncatedList       failureMode = "list truncated"
	truncatedThenSilent failureMode = "list truncated, connection open"
	firstRequestLost    failureMode = "first request lost" // used only after another failure
	slowResponse        failureMode = "slow response"      // used only after another failure
)

// fakeDiscovery is a discovery service whose failures the test sets.
type fakeDiscovery struct {
	mu          sync.Mutex
	failureMode failureMode
	after       failureMode   // applies once the failure is over: noFailure, firstRequestLost or slowResponse
	version     int64         // of the endpoint list
	requests    int           // number since the last call of set
	changed     chan struct{} // closed and replaced by each call of set
}

// set changes the failure modes and the version of the list, and wakes all waiting requests.
func (d *fakeDiscovery) set(current, after failureMode, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failureMode = current
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
	waitOver := time.After(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	d.requests++
	for waiting := true; ; {
		current, after, version, changed := d.failureMode, d.after, d.version, d.changed
		if after == firstRequestLost && current == noFailure {
			current = noResponse
			d.after = noFailure
		}
		d.mu.Unlock()
		if current != noFailure || version > since || !waiting {
			d.respond(w, r, current, after, version)
			return
		}
		select {
		case <-changed:
		case <-waitOver:
			waiting = false
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
}

func (d *fakeDiscovery) respond(w http.ResponseWriter, r *http.Request, current, after failureMode, version int64) {
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
		for i := range list { // with slowResponse, one byte at a time over 2 s
			if w.Write(list[i : i+1]); after == slowResponse {
				w.(http.Flusher).Flush()
				time.Sleep(2 * time.Second / time.Duration(len(list)))
			}
		}
	}
}

// dialer returns a dial function whose connections are refused or hang while that failure mode is set.
func (d *fakeDiscovery) dialer(network *memoryNetwork) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		d.mu.Lock()
		current := d.failureMode
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

// versionRecorder wraps a watcher and sends the version of each delivered list to versions.
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

// TestEndpointUpdateInTime checks how fast a change of the endpoint list reaches the router after a failure of
// discovery. Once discovery can be reached again, the change must arrive within 6 s, less a margin of 1 s. This holds
// for every kind and duration of failure, for a failure at the node's start, and where the first request after the
// failure is lost or responses are slow. No failure causes a burst of requests: a node sends at most 16 requests plus
// an average of two per second, or four per second where connections break and a retry may therefore succeed.
func TestEndpointUpdateInTime(t *testing.T) {
	for _, current := range []failureMode{connectionRefused, connectHangs, noResponse, connectionReset, rejecting,
		truncatedList, truncatedThenSilent} {
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
	const maxDelay, margin, steps = 6 * time.Second, time.Second, 15
	discovery := &fakeDiscovery{changed: make(chan struct{})}
	network := newMemoryNetwork()
	l, _ := network.listen("discovery:1")
	server := &http.Server{Handler: discovery}
	go server.Serve(l)
	defer server.Close()
	c, versions := testConfig(), make(chan int64, 1000)
	c.Settings.Nodes, c.Settings.PollInterval, c.Settings.HealthChecks = nodes, 10*time.Second, false
	version, failureDuration := c.KnownEndpointsVersion, 100*time.Millisecond
	discovery.set(current, noFailure, version)
	n, err := Start(c, Options{Listen: network.listen, Dial: discovery.dialer(network),
		WrapWatcher: func(w routing.Watcher) routing.Watcher { return versionRecorder{w, versions} }})
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	if !n.router.Ready() {
		t.Error("the node is not ready, although it has the endpoint list of its configuration")
	}
	perSecond := time.Duration(2)
	if current == connectionReset || current == truncatedList {
		perSecond = 4 // the watcher sends 13 requests in 2 s and then pauses for 2 s
	}
	var longestDelay time.Duration
	requests := 0
	for range steps {
		time.Sleep(failureDuration)
		requests = discovery.requestCount()
		if limit := 16 + int(perSecond*failureDuration/time.Second); requests > limit {
			t.Errorf("%d requests during a failure of %v, want at most %d", requests, failureDuration, limit)
		}
		version++
		discovery.set(noFailure, after, version)
		reachable, timeout := time.Now(), time.After(time.Minute)
		for delivered := false; !delivered; {
			select {
			case v := <-versions:
				delivered = v == version
			case <-timeout:
				delivered = true
			}
		}
		delay := time.Since(reachable)
		longestDelay = max(longestDelay, delay)
		if delay > maxDelay-margin {
			t.Errorf("update received %v after the end of a failure of %v, want less", delay, failureDuration)
		}
		failureDuration += 1137 * time.Millisecond
		time.Sleep(3 * time.Second)
		discovery.set(current, noFailure, version)
	}
	t.Logf("longest delay: %v; %d requests during the last failure", longestDelay, requests)
	n.Abort()
	time.Sleep(2 * time.Second) // until the node's last goroutines have ended
}

// TestReloadOfDiscoveryEndsHangingRequest: when a reload changes discovery's address, the request that hangs at the
// old address is canceled and its connection closed. The first request to the new address asks for the full list.
func TestReloadOfDiscoveryEndsHangingRequest(t *testing.T) {
	old, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	received, disconnected := make(chan bool), make(chan error)
	go func() {
		conn, err := old.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		http.ReadRequest(in)
		received <- true
		_, err = in.ReadByte()
		disconnected <- err
	}()
	requestURIs := make(chan string, 100)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestURIs <- r.RequestURI
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
	<-received
	moved := *c
	moved.Discovery = next.Listener.Addr().String()
	n.Reload(&moved)
	if err := <-disconnected; err == nil {
		t.Error("the connection to the old discovery service is still in use after the reload")
	}
	if uri := <-requestURIs; uri != "/registry/instances" {
		t.Errorf("the first request to the new discovery service is for %s, want the full list", uri)
	}
}
