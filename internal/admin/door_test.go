package admin

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// desk notes what was done.
type desk chan Command

func (d desk) Do(c Command) (string, error) {
	d <- c
	if c.ServerID == "faulty" {
		panic("a fault of the program")
	}
	if c.ServerID == "unknown" {
		return "", errors.New("no such\nserver")
	}
	return "done", nil
}

func open(t *testing.T) (addr string, done desk) {
	t.Helper()
	_, addr, done = openDoor(t)
	return addr, done
}

func openDoor(t *testing.T) (d *Server, addr string, done desk) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done = make(desk, 100)
	d = Serve(l, done, slog.New(slog.DiscardHandler))
	t.Cleanup(d.Close)
	return d, l.Addr().String(), done
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// TestCalls: each input gets one line, and only what is a call to the letter is done.
func TestCalls(t *testing.T) {
	addr, done := open(t)
	for _, c := range []struct {
		in, out string
		done    Command
	}{
		{"STATUS\n", "SUCCESS done\n", Command{Name: Status}},
		{"SUSPEND s-5be2a07c\r\n", "SUCCESS done\n", Command{Suspend, "s-5be2a07c", ""}},
		{"RESTORE s-1\nPAUSE\n", "SUCCESS done\n", Command{Restore, "s-1", ""}}, // the first of two counts
		{"PAUSE\n", "SUCCESS done\n", Command{Name: Pause}},
		{" RESUME \n", "SUCCESS done\n", Command{Name: Resume}},
		{"FLEET ROUND x  1s ALL\n", "SUCCESS done\n", Command{Fleet, "", "ROUND x 1s ALL"}},
		{"SUSPEND unknown\n", "FAILURE no such server\n", Command{Suspend, "unknown", ""}},
		{"SUSPEND faulty\n", "FAILURE a fault in the program", Command{Suspend, "faulty", ""}}, // and the door stays open
		{"\n", "FAILURE an empty line\n", Command{}},
		{"STOP\n", "FAILURE unknown call", Command{}},
		{"pause\n", "FAILURE unknown call", Command{}},
		{"SUSPEND\n", "FAILURE SUSPEND wants", Command{}},
		{"SUSPEND a b\n", "FAILURE SUSPEND wants", Command{}},
		{"PAUSE now\n", "FAILURE PAUSE stands alone\n", Command{}},
		{"PAUSE", "FAILURE the line has no end\n", Command{}},
		{"", "FAILURE the line has no end\n", Command{}},
		{"SUSPEND a\x00\n", "FAILURE a byte that no call has\n", Command{}},
		{"SUSPEND \xff\n", "FAILURE a byte that no call has\n", Command{}},
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "FAILURE unknown call", Command{}},
		{strings.Repeat("x", 2*maxLine) + "\n", "FAILURE the line is longer", Command{}},
	} {
		for _, each := range []int{len(c.in), 1} { // whole, and cut into single bytes
			conn := dial(t, addr)
			for in := c.in; in != ""; in = in[each:] {
				io.WriteString(conn, in[:each])
			}
			conn.CloseWrite()
			got, _ := io.ReadAll(conn)
			if !strings.HasPrefix(string(got), c.out) || strings.Count(string(got), "\n") != 1 {
				t.Errorf("%.40q: %q", c.in, got)
			}
			var did Command
			select {
			case did = <-done:
			default:
			}
			if did != c.done {
				t.Errorf("%.40q: done %+v", c.in, did)
			}
			if each == 0 {
				break
			}
		}
	}
}

// TestHolders: callers that say nothing keep nobody out, and the oldest go, also of those that are there when the bound
// sinks.
func TestHolders(t *testing.T) {
	for _, most := range []int{MaxConnections, 4} {
		d, addr, _ := openDoor(t)
		var held []*net.TCPConn
		for range 3 * MaxConnections {
			c := dial(t, addr)
			io.WriteString(c, "STAT")
			held = append(held, c)
		}
		begun := time.Now()
		c := dial(t, addr)
		io.WriteString(c, "STATUS\n")
		if got, err := io.ReadAll(c); err != nil || string(got) != "SUCCESS done\n" || time.Since(begun) > time.Second {
			t.Errorf("%q, %v after %v", got, err, time.Since(begun))
		}
		d.SetMaxConnections(most)
		for _, c := range held[:len(held)-most] { // these are gone: only the bound is held
			c.SetReadDeadline(time.Now().Add(2 * time.Second)) // under the time for a line
			if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("at most %d: an old caller has %v", most, err)
			}
		}
	}
}
