package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestAbort: after Abort no response is written, even if it is ready immediately after.
func TestAbort(t *testing.T) {
	_, front, c, release := newFrontendWithOpenCall(t, 10)
	front.clients.abort()
	close(release)
	if b, err := io.ReadAll(c); len(b) > 0 {
		t.Errorf("read %q, %v after Abort; want no bytes", b, err)
	}
	front.Abort()
}

// TestDrainWaitsForOpenCall: a call that is still open when the frontend stops accepting keeps its time limit, and its
// response closes its connection.
func TestDrainWaitsForOpenCall(t *testing.T) {
	addr, front, c, release := newFrontendWithOpenCall(t, 10)
	drained := make(chan bool)
	go func() {
		front.Drain(shutdownLimits(time.Minute))
		close(drained)
	}()
	for conn, err := net.Dial("tcp", addr); err == nil; conn, err = net.Dial("tcp", addr) {
		io.Copy(io.Discard, conn) // until the frontend closes it as idle
		conn.Close()
	}
	close(release)
	if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode != 502 || !resp.Close {
		t.Errorf("response %+v, %v; want status 502 and close", resp, err)
	}
	<-drained
}

// TestUploadCompletesDuringDrain: a body that continues to arrive during a graceful shutdown is read completely and
// answered, even if that takes longer than the maximum duration of a call.
func TestUploadCompletesDuringDrain(t *testing.T) {
	server := startServer(t, func(conn net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			io.Copy(io.Discard, r.Body)
			io.WriteString(conn, okResponse)
		}
	})
	addr, front, _, _, _ := newFrontendOverTransport(t, server, 10)
	c := dialClient(t, addr)
	half := strings.Repeat("x", 100<<10)
	io.WriteString(c, callHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(half))+half)
	waitFor(t, func() bool {
		front.clients.mu.Lock()
		defer front.clients.mu.Unlock()
		return front.clients.streaming > 0
	})
	drained, calls := make(chan bool), 50*time.Millisecond
	go func() {
		front.Drain(shutdownLimits(calls - drainMargin))
		close(drained)
	}()
	select {
	case <-drained:
		t.Error("Drain ended before the upload was complete")
	case <-time.After(4 * calls):
	}
	if resp, _ := c.roundTrip(t, half); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("status %d, close: %v; want 200 and close", resp.StatusCode, resp.Close)
	}
	<-drained
}
