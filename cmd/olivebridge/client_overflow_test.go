package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestClientOverflow opens many times more connections than the node has descriptors; their clients send nothing or
// part of a request. Operators and other clients must still be served, and the connection of a client that sends its
// request slowly must not be closed to free a descriptor.
func TestClientOverflow(t *testing.T) {
	adminAddr := freeAddr(t)
	t.Setenv("ROUTER_ADMIN", adminAddr)
	halfSockets := strings.Replace(config, `"sockets":256`, `"sockets":128`, 1)
	n := startWithConfig(t, halfSockets, unchangedList,
		func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	slowResponse := make(chan string)
	go func() {
		c, err := net.Dial("tcp", n.addr)
		if err != nil {
			slowResponse <- err.Error()
			return
		}
		defer c.Close()
		raw := "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: slow\r\nX-Call-Class: book\r\nX-Caller: acme\r\n" +
			"X-Budget: 1.5\r\nContent-Length: 4\r\nConnection: close\r\n\r\npaid"
		for len(raw) > 0 { // takes about 2 s
			k := min(len(raw), 8)
			io.WriteString(c, raw[:k])
			raw = raw[k:]
			time.Sleep(100 * time.Millisecond)
		}
		got, _ := io.ReadAll(c)
		slowResponse <- string(got)
	}()
	var silent []net.Conn
	defer func() {
		for _, c := range silent {
			c.Close()
		}
	}()
	slowestAnswer := time.Duration(0)
	for i := range 1500 {
		c, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		if silent = append(silent, c); i%2 == 0 {
			io.WriteString(c, "POST /api HT")
		}
		if operator, err := net.Dial("tcp", adminAddr); err == nil && i%10 == 0 {
			io.WriteString(operator, "STA")
			silent = append(silent, operator)
		} else if err == nil {
			operator.Close()
		}
		if i%50 == 0 {
			begun := time.Now()
			mustCommand(t, adminAddr, "STATUS")
			slowestAnswer = max(slowestAnswer, time.Since(begun))
		}
		time.Sleep(2 * time.Millisecond)
	}
	if slowestAnswer > time.Second {
		t.Errorf("the slowest answer to STATUS took %v, want at most 1 s", slowestAnswer)
	}
	if got := <-slowResponse; !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("slow request with silent clients connected: got %.80q, want status 200", got)
	}
	if status, _ := n.call(t, "GET", fmt.Sprint("/api?user=", 1), "status", ""); status != 200 {
		t.Errorf("request with silent clients connected: got status %d, want 200", status)
	}
}
