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

// TestClientOverflow: clients that connect and send nothing, or stop half way, many times as many as the node has
// descriptors, keep neither operators nor clients out, and a request that comes slowly is not closed among them.
func TestClientOverflow(t *testing.T) {
	adminAddr := freeAddr(t)
	t.Setenv("ROUTER_ADMIN", adminAddr)
	half := strings.Replace(config, `"sockets":256`, `"sockets":128`, 1)
	n := startWithConfig(t, half, unchanged, func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	slow := make(chan string)
	go func() {
		c, err := net.Dial("tcp", n.addr)
		if err != nil {
			slow <- err.Error()
			return
		}
		defer c.Close()
		raw := "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: slow\r\nX-Call-Class: book\r\nX-Caller: acme\r\n" +
			"X-Budget: 1.5\r\nContent-Length: 4\r\nConnection: close\r\n\r\npaid"
		for len(raw) > 0 { // two seconds in all
			k := min(len(raw), 8)
			io.WriteString(c, raw[:k])
			raw = raw[k:]
			time.Sleep(100 * time.Millisecond)
		}
		got, _ := io.ReadAll(c)
		slow <- string(got)
	}()
	var silent []net.Conn
	defer func() {
		for _, c := range silent {
			c.Close()
		}
	}()
	worst := time.Duration(0)
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
			worst = max(worst, time.Since(begun))
		}
		time.Sleep(2 * time.Millisecond)
	}
	if worst > time.Second {
		t.Errorf("an answer to an operator took %v", worst)
	}
	if got := <-slow; !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("the slow request beside silent clients: %.80q", got)
	}
	if status, _ := n.call(t, "GET", fmt.Sprint("/api?user=", 1), "status", ""); status != 200 {
		t.Errorf("a call beside silent clients: %d", status)
	}
}
