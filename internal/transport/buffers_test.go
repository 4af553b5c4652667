package transport

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// TestMessageHeld: the buffer comes back only once nobody holds the message, and nobody holds it after that.
func TestMessageHeld(t *testing.T) {
	var home buffers
	m := newMessage(&home, "POST", "/", "h", http.Header{}, 3)
	if !m.hold() {
		t.Fatal("a message in use cannot be held")
	}
	m.release() // the front's
	if m.users.Load() != 1 || !m.hold() {
		t.Error("a try is left without its message")
	}
	m.release()
	m.release()
	if m.hold() {
		t.Error("a message that nobody held any more is held again")
	}
}

// TestTwoTriesCompose: tries that write at one time do not disturb each other, and each has its own budget.
func TestTwoTriesCompose(t *testing.T) {
	m := newMessage(new(buffers), "POST", "/", "h", http.Header{"X-Call-Id": {"9b"}, protocol.HeaderTimeout: {"9"}}, 4)
	copy(m.body, "book")
	want := func(budget string) string {
		return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nX-Call-Id: 9b\r\n" + budget + "\r\nbook"
	}
	first, own := m.compose(90 * time.Second)
	second, copied := m.compose(time.Second)
	if string(first) != want("X-Budget: 90.000\r\n") || string(second) != want("X-Budget: 1.000\r\n") || !own || copied {
		t.Errorf("%q, %q, %v, %v", first, second, own, copied)
	}
	m.wrote(copied)
	m.wrote(own)
	if third, own := m.compose(0); string(third) != want("") || !own {
		t.Errorf("%q, %v", third, own)
	}
}

// TestBuffersHaveOneOwner: whatever is written into one that is taken stays until it is given back.
func TestBuffersHaveOneOwner(t *testing.T) {
	var home buffers
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			mark := bytes.Repeat([]byte{byte('a' + i)}, 200<<10)
			for n := range 300 {
				size := 1 + n*n%len(mark)
				b := home.take(size)
				copy(b.b, mark[:size])
				if len(b.b) < size || strings.Trim(string(b.b[:size]), string(mark[:1])) != "" {
					t.Errorf("%d bytes of %d are another's", len(b.b), size)
				}
				home.give(b)
			}
		})
	}
	all.Wait()
}

// TestLeftBeforeTheLook: a client that goes before its connection is watched is found to have gone by a try
// that does not leave at once, and its call hears of it then.
func TestLeftBeforeTheLook(t *testing.T) {
	var c *client
	found := make(chan [2]bool)
	addr, _, _ := newFront(t, 10, func(ctx context.Context, call routing.Call) (routing.Answer, bool) {
		m := call.Payload.(*message)
		stays := !m.left(1, time.Now())
		c.Close()
		for !m.left(1, time.Now()) {
		}
		found <- [2]bool{stays, !m.left(0, m.arrived)}
		<-ctx.Done()
		close(found)
		return routing.Answer{}, false
	})
	c = dial(t, addr)
	io.WriteString(c, head+"Content-Length: 0\r\n\r\n")
	if got := <-found; got != [2]bool{true, true} {
		t.Errorf("stays, and a first try at once: %v", got)
	}
	<-found
}
