package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"olivebridge/internal/routing"
)

// TestSlowClients: the connection of a client that does not send a complete request in time is closed; that of a client
// whose call takes longer than the timeouts is not.
func TestSlowClients(t *testing.T) {
	addr, _, _ := newTestFrontend(t, 10, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
		select {
		case <-time.After(250 * time.Millisecond): // longer than the timeouts
			return routing.Answer{Verdict: routing.Failed}, true
		case <-ctx.Done():
			return routing.Answer{}, false
		}
	}, func(f *Frontend) {
		if f.server.ReadHeaderTimeout >= 3*time.Second || f.server.ReadTimeout >= 3*time.Second {
			t.Error("the timeouts must be below 3 s, within which a bad client must get an error or a close")
		}
		f.server.ReadHeaderTimeout, f.server.ReadTimeout = 100*time.Millisecond, 100*time.Millisecond
	})
	for _, raw := range []string{"", "POST /api", callHead, callHead + "Content-Length: 5\r\n\r\nhi"} {
		c := dialClient(t, addr)
		io.WriteString(c, raw)
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Error(err)
		}
	}
	if resp, _ := dialClient(t, addr).roundTrip(t, callHead+"Content-Length: 2\r\n\r\nhi"); resp.StatusCode != 502 {
		t.Errorf("status %d, want 502", resp.StatusCode)
	}
}

// TestHeadInPiecesAfterIdle guards against a request that gets no answer because its first bytes, fewer than
// http.Server waits for, arrive shortly before the deadline of the idle connection. One that stays incomplete ends the
// connection within headTimeout of its first byte.
func TestHeadInPiecesAfterIdle(t *testing.T) {
	addr, _, _ := newTestFrontend(t, 10, nil, func(f *Frontend) { f.server.IdleTimeout = 300 * time.Millisecond })
	for size := 1; size <= 4; size++ {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			t.Parallel()
			whole, broken := dialClient(t, addr), dialClient(t, addr)
			whole.roundTrip(t, readyRequest)
			broken.roundTrip(t, readyRequest)
			time.Sleep(200 * time.Millisecond)
			io.WriteString(whole, readyRequest[:size])
			io.WriteString(broken, readyRequest[:size])
			begun := time.Now()
			time.Sleep(400 * time.Millisecond)
			if resp, _ := whole.roundTrip(t, readyRequest[size:]); resp.StatusCode != 200 {
				t.Errorf("status %d, want 200", resp.StatusCode)
			}
			broken.SetReadDeadline(begun.Add(3 * time.Second))
			if _, err := io.Copy(io.Discard, broken); err != nil {
				t.Errorf("a request that stays incomplete: %v, want an end within 3 s", err)
			}
		})
	}
}

func TestAnswersOnTheWire(t *testing.T) {
	var a routing.Answer
	addr, _, _ := newTestFrontend(t, 10, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
		if a.Verdict == 9 {
			panic("taker")
		}
		return a, true
	})
	c := dialClient(t, addr)
	hit := &response{fields: []headerField{{"X-Hit", [1]string{"1"}}}, body: []byte("\x00b")}
	for _, test := range []struct {
		answer routing.Answer
		status int
		after  string
	}{
		{routing.Answer{Verdict: routing.Served, Reply: hit}, 200, ""},
		{routing.Answer{Verdict: routing.Rejected, RetryAfter: 250 * time.Millisecond}, 503, "0.250"},
		{routing.Answer{Verdict: routing.Rejected}, 503, ""}, {routing.Answer{Verdict: routing.Failed}, 502, ""},
		{routing.Answer{Verdict: routing.DeadlineExceeded}, 504, ""}, {routing.Answer{Verdict: routing.Duplicate}, 409, ""},
		{routing.Answer{Verdict: 9}, 500, ""}, // a panic must not close the connection: the call would be lost
	} {
		a = test.answer
		resp, body := c.roundTrip(t, callHead+"Content-Length: 0\r\n\r\n")
		if resp.StatusCode != test.status || resp.Header.Get("Retry-After") != test.after ||
			(body == "\x00b") != (test.status == 200) ||
			(resp.Header.Get("X-Hit") != "") != (test.status == 200) {
			t.Errorf("%+v: status %d, body %q, header %v", test.answer, resp.StatusCode, body, resp.Header)
		}
	}
	if resp, _ := c.roundTrip(t, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode != 200 {
		t.Errorf("readiness check: status %d, want 200", resp.StatusCode)
	}
}

func TestClientDisconnectCancelsCall(t *testing.T) {
	handling, cancelled := make(chan bool), make(chan bool)
	addr, _, log := newTestFrontend(t, 10, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
		handling <- true
		<-ctx.Done()
		close(cancelled)
		return routing.Answer{}, false
	})
	c := dialClient(t, addr)
	io.WriteString(c, callHead+"Content-Length: 0\r\n\r\n")
	<-handling
	c.Close()
	<-cancelled
	log.waitFor("side=client", "reason=client-closed")
}

// TestFrontendStats: ClientStats counts the connections in each state, and a shutdown that exceeds its time logs the
// number of connections that it cut off.
func TestFrontendStats(t *testing.T) {
	addr, front, c, release := newFrontendWithOpenCall(t, 10)
	defer close(release)
	reading, silent := dialClient(t, addr), dialClient(t, addr)
	defer silent.Close()
	io.WriteString(reading, "POST /api HTTP/1.1\r\n")
	const want = "open=3 silent=1 idle=0 reading=1 calls=1 ending=0"
	for until := time.Now().Add(5 * time.Second); front.ClientStats() != want && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if got := front.ClientStats(); got != want {
		t.Errorf("client stats %s, want %s", got, want)
	}
	log := make(logLines, 100)
	front.log = log.logger()
	go front.Drain(shutdownLimits(100*time.Millisecond - drainMargin))
	log.waitFor("client connections were open at the end", "left=")
	if _, err := http.ReadResponse(c.in, nil); err == nil {
		t.Error("a call that was cut off got a response")
	}
	near, far := net.Pipe()
	front.adopted.Close()
	front.Adopt(near) // after the frontend has shut down
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("a connection adopted after the shutdown is still open: read returned %v, want EOF", err)
	}
}
