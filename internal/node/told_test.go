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

// registry is a discovery in trouble at times. What stands open when trouble begins meets it too.
type registry struct {
	mu      sync.Mutex
	trouble string // "": none; "down" and "never up" befall new connections too
	after   string // what befalls it once it can be reached again
	version int64
	asked   int
	changed chan struct{} // closed at each change of the above
}

// set changes the registry, and lets all that wait see it.
func (d *registry) set(trouble, after string, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trouble, d.after, d.version, d.asked = trouble, after, version, 0
	close(d.changed)
	d.changed = make(chan struct{})
}

// calls counts those since the last change.
func (d *registry) calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked
}

func (d *registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		since = -1
	}
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	d.asked++
	for waiting := true; ; {
		trouble, after, version, changed := d.trouble, d.after, d.version, d.changed
		if after == "first call lost" && trouble == "" {
			trouble, d.after = "silent", ""
		}
		d.mu.Unlock()
		if trouble != "" || version > since || !waiting {
			d.answer(w, r, trouble, after, version)
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

func (d *registry) answer(w http.ResponseWriter, r *http.Request, trouble, after string, version int64) {
	list := fmt.Appendf(nil, `{"version":%d,"full":false,"servers":[]}`, version)
	switch trouble {
	case "silent", "never up":
		<-r.Context().Done()
	case "refused":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "half a list":
		w.Header().Set("Content-Length", strconv.Itoa(len(list)))
		w.Write(list[:len(list)/2])
	case "half, then silent":
		w.Write(list[:len(list)/2])
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	case "reset", "down":
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			conn.Close()
		}
	default:
		for i := range list { // 2 s of it, where it trickles
			if w.Write(list[i : i+1]); after == "answers trickle" {
				w.(http.Flusher).Flush()
				time.Sleep(2 * time.Second / time.Duration(len(list)))
			}
		}
	}
}

// dialTo reaches the registry as its trouble lets it.
func (d *registry) dialTo(m *memory) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		d.mu.Lock()
		trouble := d.trouble
		d.mu.Unlock()
		switch trouble {
		case "down":
			return nil, syscall.ECONNREFUSED
		case "never up":
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return m.dial(ctx, addr)
	}
}

// heard says which versions a watch tells.
type heard struct {
	routing.Watcher
	versions chan int64
}

func (h heard) Watch(ctx context.Context, told func(routing.EndpointList)) error {
	return h.Watcher.Watch(ctx, func(g routing.EndpointList) {
		told(g)
		h.versions <- g.Version
	})
}

// TestToldInTime: whatever befell discovery, and for however long, the node's start included, a change has reached
// the decisions 6 s after discovery could be reached, with a second to spare, also where the first call then is
// lost or answers trickle. And no trouble makes a crowd: a node calls twice a second at most in the mean, and 16 times more;
// four times a second where calls break, of which one may get through.
func TestToldInTime(t *testing.T) {
	for _, trouble := range []string{"down", "never up", "silent", "reset", "refused", "half a list", "half, then silent"} {
		for _, after := range []string{"", "first call lost", "answers trickle"} {
			for _, nodes := range []int{1, 300} {
				t.Run(fmt.Sprint(trouble, ", ", after, ", ", nodes), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { toldInTime(t, trouble, after, nodes) })
				})
			}
		}
	}
}

func toldInTime(t *testing.T, trouble, after string, nodes int) {
	const due, margin, steps = 6 * time.Second, time.Second, 15
	d, m := &registry{changed: make(chan struct{})}, &memory{ports: map[string]chan net.Conn{}}
	l, _ := m.listen("discovery:1")
	server := &http.Server{Handler: d}
	go server.Serve(l)
	defer server.Close()
	c, versions := config(), make(chan int64, 1000)
	c.Settings.Nodes, c.Settings.PollInterval, c.Settings.HealthChecks = nodes, 10*time.Second, false
	version, length := c.KnownEndpointsVersion, 100*time.Millisecond
	d.set(trouble, "", version)
	n, err := Start(c, Options{Listen: m.listen, Dial: d.dialTo(m),
		WrapWatcher: func(w routing.Watcher) routing.Watcher { return heard{w, versions} }})
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	if !n.router.Ready() {
		t.Error("not ready by the list known last")
	}
	often := time.Duration(2)
	if trouble == "reset" || trouble == "half a list" {
		often = 4 // thirteen calls in two seconds, and as long a pause
	}
	var worst time.Duration
	calls := 0
	for range steps {
		time.Sleep(length)
		calls = d.calls()
		if most := 16 + int(often*length/time.Second); calls > most {
			t.Errorf("%d calls in %v of trouble, %d at most", calls, length, most)
		}
		version++
		d.set("", after, version)
		reachable, never := time.Now(), time.After(time.Minute)
		for told := false; !told; {
			select {
			case v := <-versions:
				told = v == version
			case <-never:
				told = true
			}
		}
		took := time.Since(reachable)
		if worst = max(worst, took); took > due-margin {
			t.Errorf("told %v after discovery could be reached, %v of trouble", took, length)
		}
		length += 1137 * time.Millisecond
		time.Sleep(3 * time.Second)
		d.set(trouble, "", version)
	}
	t.Logf("at worst %v, %d calls in the last trouble", worst, calls)
	n.Abort()
	time.Sleep(2 * time.Second) // the last of its goroutines see it
}

// TestMoveLeavesAHangingCall: at a reload with another discovery the call that hangs at the old one ends, its
// connection with it, and the new one is asked for its whole list.
func TestMoveLeavesAHangingCall(t *testing.T) {
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
	c := config()
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
		t.Error("the old call goes on")
	}
	if uri := <-asked; uri != "/registry/instances" {
		t.Errorf("asked for %s", uri)
	}
}
