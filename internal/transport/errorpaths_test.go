package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// through is a front whose calls a carrier brings to one peer; what becomes of each try is told.
func through(t *testing.T, p *routing.Upstream, most int) (addr string, front *Frontend, k *UpstreamTransport, log lines, results chan balancer.Result) {
	t.Helper()
	k, log = newCarrier(time.Second)
	results = make(chan balancer.Result, 10)
	addr, front, _ = newFront(t, most, func(_ context.Context, c routing.Call) (routing.Answer, bool) {
		// as in a node, a try's end is not its client's: net/http ends that as soon as a body's reading is cut short
		r := k.RoundTrip(t.Context(), routing.Attempt{Upstream: p, ExpiresAt: time.Now().Add(time.Minute), Payload: c.Payload,
			BodyTimeout: time.Minute, OnBodySent: func() {}})
		results <- r.Result
		if r.Result != balancer.OK {
			return routing.Answer{Verdict: routing.Rejected, RetryAfter: time.Second}, true
		}
		return routing.Answer{Verdict: routing.Served, Reply: r.Reply}, true
	})
	return addr, front, k, log, results
}

// TestLongAnswersThatBreak: a client can tell that a long answer is not whole, and the connection that brought it
// carries nothing more.
func TestLongAnswersThatBreak(t *testing.T) {
	big := strings.Repeat("x", 200<<10)
	const sized, chunks = "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		raw, reason string
		whole       bool
	}{
		"cut short":               {sized + big, "peer-closed", false},
		"no last chunk":           {chunks + "32000\r\n" + big + "\r\n", "peer-closed", false},
		"a chunk that is none":    {chunks + "32000\r\n" + big + "\r\nzz\r\n", "spoilt", false},
		"an endless trailer":      {chunks + "32000\r\n" + big + "\r\n0\r\n" + strings.Repeat("a: b\r\n", maxHead), "spoilt", false},
		"a trailer cut short":     {chunks + "32000\r\n" + big + "\r\n0\r\na: b\r\n", "peer-closed", false},
		"in two fields of a name": {strings.Replace(chunks, "\r\n\r\n", "\r\nA: b\r\nA: c\r\nConnection: close\r\n\r\n", 1) + "32000\r\n" + big + "\r\n0\r\n\r\n", "peer-asked", true},
	} {
		p := listenOn(t, func(conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, c.raw)
			conn.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, conn)
		})
		addr, _, k, log, _ := through(t, p, 10)
		conn := dial(t, addr)
		io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(conn.in, nil)
		if err != nil {
			t.Fatal(name, err)
		}
		got, err := io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 || (err == nil) != c.whole || got < 150<<10 {
			t.Errorf("%s: status %d, %d bytes, %v", name, resp.StatusCode, got, err)
		}
		if c.whole && strings.Contains(name, "fields") && len(resp.Header["A"]) != 2 {
			t.Errorf("%s: %v", name, resp.Header)
		}
		line := log.until("side=peer")
		if !strings.Contains(line, "reason="+c.reason) && !strings.Contains(line, "reason=peer-closed") { // its end may come along
			t.Errorf("%s: %s", name, line)
		}
		if n := k.Conns(); n != 0 {
			t.Errorf("%s: %d connections are left", name, n)
		}
	}
	p := listenOn(t, func(conn net.Conn) { // one whose client has gone
		http.ReadRequest(bufio.NewReader(conn))
		io.WriteString(conn, strings.Replace(sized, "300000", "60000000", 1)) // more than sockets hold
		for err := error(nil); err == nil; {
			_, err = io.WriteString(conn, big)
		}
	})
	addr, _, _, log, _ := through(t, p, 10)
	conn := dial(t, addr)
	io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
	conn.in.ReadByte()
	conn.Conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	if line := log.until("side=peer"); !strings.Contains(line, "reason=called-off") && !strings.Contains(line, "reason=reset") {
		t.Error(line)
	}
}

// TestTricklingAnswers: a long answer that comes slower than any known ends once its peer was waited for as long as one
// that stands still; a client that takes it slowly costs it none of that.
func TestTricklingAnswers(t *testing.T) {
	const all = 300000
	for name, c := range map[string]struct {
		part  int           // bytes that the peer gives at a time, with a pause behind
		pause time.Duration // of the client between two reads
		whole bool
	}{"trickling": {1, 0, false}, "taken slowly": {all, 10 * time.Millisecond, true}} {
		p := listenOn(t, func(conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", all))
			for range 3000 { // it ends by itself, as nothing else would end it
				io.WriteString(conn, strings.Repeat("x", c.part))
				time.Sleep(time.Millisecond)
			}
		})
		k, _ := newCarrier(time.Second)
		r := k.RoundTrip(t.Context(), tryOf(p, "GET", ""))
		if r.Result != balancer.OK {
			t.Fatal(name, r.Result)
		}
		rest, got, err := r.Reply.(*reply).rest, 0, error(nil)
		rest.waited = streamStall - 50*time.Millisecond // as after a long wait
		for b, n := make([]byte, streamBuffer), 0; err == nil; time.Sleep(c.pause) {
			n, err = rest.Read(b)
			got += n
		}
		if (err == io.EOF) != c.whole || !c.whole && !errors.Is(err, os.ErrDeadlineExceeded) || c.whole && got != all {
			t.Errorf("%s: %d bytes, then %v", name, got, err)
		}
		rest.end("reset")
		k.Close()
	}
}

// TestUploadsThatEnd: a long body that does not come to its end, on either side, ends in an answer and in a proof that
// it never ran, unless its peer has answered.
func TestUploadsThatEnd(t *testing.T) {
	const sized = "Content-Length: 1000000\r\n\r\n"
	some := strings.Repeat("x", 100<<10)
	reads := func(n int, answer string) func(net.Conn) {
		return func(conn net.Conn) {
			in := bufio.NewReader(conn)
			for line := ""; line != "\r\n"; {
				line, _ = in.ReadString('\n')
			}
			io.CopyN(io.Discard, in, int64(n))
			io.WriteString(conn, answer)
			if answer != "" {
				io.Copy(io.Discard, in)
			}
		}
	}
	const early = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly"
	const turned = "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		peer   func(net.Conn)
		raw    string
		then   func(*client) // once the raw bytes are out; nil: nothing
		status int
		result balancer.Result
	}{
		"the peer answers early": {reads(1000, early), sized + some, nil, 200, balancer.OK},
		"the peer turns it away": {reads(1000, turned), sized + some, nil, 503, balancer.Rejected},
		"the peer fails early":   {reads(1000, strings.Replace(turned, "X-Rejected", "X", 1)), sized + some, nil, 503, balancer.ConnectFailed},
		"the peer closes":        {reads(1000, ""), sized + some, nil, 503, balancer.ConnectFailed},
		"chunks that are none":   {reads(1<<20, early), "Transfer-Encoding: chunked\r\n\r\n19000\r\n" + some + "\r\nzz\r\n", nil, 400, balancer.NotSent},
		"beyond all bounds": {func(conn net.Conn) { io.Copy(io.Discard, conn) }, "Transfer-Encoding: chunked\r\n\r\n", func(k *client) {
			for part := fmt.Sprintf("%x\r\n%s\r\n", len(some), some); ; {
				if _, err := io.WriteString(k, part); err != nil {
					return
				}
			}
		}, 413, balancer.NotSent},
	} {
		addr, _, k, _, results := through(t, listenOn(t, c.peer), 10)
		conn := dial(t, addr)
		go func() {
			io.WriteString(conn, head+c.raw)
			if c.then != nil {
				c.then(conn)
			}
		}()
		resp, err := http.ReadResponse(conn.in, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if r := <-results; resp.StatusCode != c.status || r != c.result || !resp.Close {
			t.Errorf("%s: status %d, result %d, want %d and %d; close: %v", name, resp.StatusCode, r, c.status, c.result, resp.Close)
		}
		conn.Close()
		for k.Conns() > 0 { // what it used is let go
			time.Sleep(time.Millisecond)
		}
	}
}

// TestAnUploadGoesOnce: a second try of a long body is never sent, and one whose call has ended before its connection
// was there reads none of it.
func TestAnUploadGoesOnce(t *testing.T) {
	p := listenOn(t, func(conn net.Conn) { io.Copy(io.Discard, conn) })
	k, _ := newCarrier(time.Second)
	addr, _, _ := newFront(t, 10, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
		ended, stop := context.WithCancelCause(ctx)
		try := routing.Attempt{Upstream: p, ExpiresAt: time.Now().Add(time.Minute), Payload: c.Payload, OnBodySent: func() {}}
		time.AfterFunc(20*time.Millisecond, func() { stop(routing.ErrCancelled) })
		for i, want := range []balancer.Result{balancer.NotSent, balancer.NotSent} {
			if r := k.RoundTrip(ended, try); r.Result != want {
				t.Errorf("try %d: %d", i, r.Result)
			}
		}
		if r := k.RoundTrip(ctx, try); r.Result != balancer.NotSent { // it has a connection, and no body
			t.Errorf("once more: %d", r.Result)
		}
		return routing.Answer{Verdict: routing.Failed}, true
	})
	if resp, _ := dial(t, addr).ask(t, head+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("x", 80<<10)); resp.StatusCode != 502 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// TestTargetsWithAHost: what a target that names its host asks of a server.
func TestTargetsWithAHost(t *testing.T) {
	for target, want := range map[string]string{"/api?a=b": "/api?a=b", "http://h": "/", "http://h/": "/", "http://h/api?a": "/api?a",
		"http://h?a": "/?a", "*": "*"} {
		if got := originForm(target); got != want {
			t.Errorf("%s: %s, want %s", target, got, want)
		}
	}
}

// TestFrontCounts: the counters tell what client connections do, and an end that takes too long says what it cut.
func TestFrontCounts(t *testing.T) {
	addr, front, c, release := withOpenCall(t, 10)
	defer close(release)
	reading, silent := dial(t, addr), dial(t, addr)
	defer silent.Close()
	io.WriteString(reading, "POST /api HTTP/1.1\r\n")
	const want = "open=3 silent=1 idle=0 reading=1 calls=1 ending=0"
	for until := time.Now().Add(5 * time.Second); front.ClientStats() != want && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if got := front.ClientStats(); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	log := make(lines, 100)
	front.log = log.log()
	go front.Drain(100*time.Millisecond - drainSpare)
	log.until("client connections were open at the end", "left=")
	if _, err := http.ReadResponse(c.in, nil); err == nil {
		t.Error("a call that was cut got an answer")
	}
	near, far := net.Pipe()
	front.adopted.Close()
	front.Adopt(near) // which comes too late
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("a connection that comes too late is left open: %v", err)
	}
}

// TestListenerEnds: an error that is the listener's own ends the front, with its name.
func TestListenerEnds(t *testing.T) {
	one := make(chan func() (net.Conn, error), 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	log := make(lines, 10)
	front := NewFrontend(FrontendConfig{
		Listener:     faltering{l, one},
		ClientLimits: ClientLimits{MaxOpen: 1},
		Log:          log.log(),
	})
	one <- func() (net.Conn, error) { return nil, syscall.EINVAL }
	if err := front.Serve(); !errors.Is(err, syscall.EINVAL) || !strings.HasPrefix(err.Error(), "front: ") {
		t.Error(err)
	}
}

// TestReasonsTold: reasons that no other test has a connection end by.
func TestReasonsTold(t *testing.T) {
	long, _ := answering(t, "HTTP/1.1 500 X\r\nContent-Length: 100000\r\n\r\n")
	k, log := newCarrier(time.Second)
	k.RoundTrip(t.Context(), tryOf(long, "POST", "book"))
	log.until("side=peer", "reason=oversize")
	addr, _, log := newFront(t, 10, nil)
	dial(t, addr).ask(t, strings.Replace(ready, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	log.until("side=client", "reason=node-closed")
	c := dial(t, addr)
	c.ask(t, ready)
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
	log.until("side=client", "reason=client-reset")
}

// slowReturn is a connection whose write of a body's last bytes returns only once an answer has been read and has had
// time to end what is read of the body's client.
type slowReturn struct {
	Conn
	last     string
	answered chan bool
	ended    <-chan struct{}
}

func (c *slowReturn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if strings.HasSuffix(string(b), c.last) {
		<-c.answered
		select {
		case <-c.ended:
		case <-time.After(50 * time.Millisecond):
		}
	}
	return n, err
}

func (c *slowReturn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.answered <- true
	return n, err
}

// TestAnswerBeforeTheWriteReturns: a peer answers a long body as its last byte comes, before the write of that has
// returned here. Its client has not gone, and gets the answer.
func TestAnswerBeforeTheWriteReturns(t *testing.T) {
	body := strings.Repeat("x", 100000) + "end"
	for last, raw := range map[string]string{
		"end":       fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"0\r\n\r\n": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		p := listenOn(t, func(conn net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			io.WriteString(conn, ok)
			io.Copy(io.Discard, conn)
		})
		addr, _, _ := newFront(t, 10, func(ctx context.Context, call routing.Call) (routing.Answer, bool) {
			k, _ := newCarrier(time.Minute)
			k.pool.dial = func(dialing context.Context, addr string) (net.Conn, error) {
				conn, err := Dialer(nil).dial(dialing, addr)
				return &slowReturn{conn, last, make(chan bool, 9), ctx.Done()}, err
			}
			r := k.RoundTrip(ctx, routing.Attempt{Upstream: p, ExpiresAt: time.Now().Add(time.Minute), Payload: call.Payload,
				BodyTimeout: time.Minute, OnBodySent: func() {}})
			return routing.Answer{Reply: r.Reply}, ctx.Err() == nil
		})
		if resp, _ := dial(t, addr).ask(t, head+raw); resp.StatusCode != 200 {
			t.Error(resp.Status)
		}
	}
}
