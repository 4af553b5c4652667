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

// pipelining is a client that has written several requests at once, the first of which is at a peer that answers it, and
// then any other, once told to.
func pipelining(t *testing.T, raw string) (c *client, front *Front, atPeer chan string, release chan bool) {
	t.Helper()
	atPeer, release = make(chan string, 1000), make(chan bool)
	p := listenOn(t, func(conn net.Conn) {
		for in := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			atPeer <- r.Header.Get("X-Call-Id")
			<-release
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"+r.Header.Get("X-Call-Id"))
		}
	})
	addr, front, _, _, results := through(t, p, 10)
	go func() {
		for range results {
		}
	}()
	c = dial(t, addr)
	io.WriteString(c, raw)
	if id := <-atPeer; id != "1b" {
		t.Fatalf("%s is first at the peer", id)
	}
	return c, front, atPeer, release
}

// numbered is the nth request, with a body of so many bytes.
func numbered(n, body int) string {
	return strings.Replace(head, "9b", fmt.Sprintf("%db", n), 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n", body) + strings.Repeat("x", body)
}

// chunked is the nth request, with a body as it is in chunks.
func chunked(n int, body string) string {
	return strings.Replace(numbered(n, 0), "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"+body, 1)
}

// TestPipelinedAtTheEnd: whatever was read along with a request gets its answer, though the node begins to leave, or to
// make room, while that one is at its peer; the last answer says that the connection ends, and it does.
func TestPipelinedAtTheEnd(t *testing.T) {
	inChunks := chunked(2, "1\r\nx\r\n00A\r\n0\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n")
	half := len(inChunks) - 9 // in the middle of a chunk
	for name, c := range map[string]struct {
		raw   string
		later string // what comes once the node leaves
		want  int    // answers
	}{
		"two":                  {numbered(1, 0) + numbered(2, 0), "", 2},
		"three":                {numbered(1, 0) + numbered(2, 3) + numbered(3, 0), "", 3},
		"behind a body":        {numbered(1, 500) + numbered(2, 0), "", 2},
		"the first in a burst": {numbered(1, 0) + numbered(2, 0), strings.Repeat(numbered(3, 0), 10), 2},
		"half a head":          {numbered(1, 0) + numbered(2, 0)[:50], numbered(2, 0)[50:], 2},
		"half a body":          {numbered(1, 0) + numbered(2, 9)[:len(numbered(2, 9))-4], "xxxx", 2},
		"half one, and on":     {numbered(1, 0) + numbered(2, 0)[:50], numbered(2, 0)[50:] + strings.Repeat(numbered(3, 0), 100), 2},
		"half a body, and on":  {numbered(1, 0) + numbered(2, 9)[:len(numbered(2, 9))-4], "xxxx" + strings.Repeat(numbered(3, 0), 100), 2},
		"one in chunks behind": {numbered(1, 0) + inChunks, "", 2},
		"behind one in chunks": {numbered(1, 0) + inChunks + numbered(3, 3), "", 3},
		"half one in chunks":   {numbered(1, 0) + inChunks[:half], inChunks[half:], 2},
		"half of it, and on":   {numbered(1, 0) + inChunks[:half], inChunks[half:] + strings.Repeat(numbered(3, 0), 100), 2},
	} {
		for way, leave := range map[string]func(*Front){
			"leaves":     func(f *Front) { f.clients.leave() },
			"drains":     func(f *Front) { go f.Drain(time.Minute) },
			"makes room": func(f *Front) { f.Bound(ClientBounds{Open: 1}) },
		} {
			if way != "leaves" && (c.later != "" || name == "behind a body") {
				continue // to make room ends no connection that goes on, and to drain takes long
			}
			ends := way != "makes room" || strings.HasSuffix(c.raw, inChunks)
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				conn, front, _, release := pipelining(t, c.raw)
				leave(front)
				if way == "drains" {
					waitFor(t, front.clients.leaves)
				}
				io.WriteString(conn, c.later)
				close(release)
				for n := 1; n <= c.want; n++ {
					resp, err := http.ReadResponse(conn.in, nil)
					if err != nil {
						t.Fatalf("answer %d: %v", n, err)
					}
					body, err := io.ReadAll(resp.Body)
					if want := fmt.Sprintf("%db", n); resp.StatusCode != 200 || string(body) != want || err != nil {
						t.Errorf("answer %d: status %d, %q, %v", n, resp.StatusCode, body, err)
					}
					if resp.Close != (n == c.want && ends) {
						t.Errorf("answer %d: close: %v", n, resp.Close)
					}
				}
				if !ends {
					return
				}
				b, err := io.ReadAll(conn.in)
				if len(b) > 0 || err != nil && !strings.Contains(c.later, "3b") { // what is unread is reset
					t.Errorf("behind the last: %q, %v", b, err)
				}
				waitFor(t, func() bool { return front.Conns() == 0 })
			})
		}
	}
}
