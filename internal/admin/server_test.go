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

// recordingExecutor is an Executor that records its commands.
type recordingExecutor chan Command

func (r recordingExecutor) Do(command Command) (string, error) {
	r <- command
	if command.ServerID == "faulty" {
		panic("a fault of the program")
	}
	if command.ServerID == "unknown" {
		return "", errors.New("no such\nserver")
	}
	return "done", nil
}

// startServer starts a Server that is closed when the test ends.
func startServer(t *testing.T) (server *Server, addr string, executed recordingExecutor) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	executed = make(recordingExecutor, 100)
	server = Serve(listener, executed, slog.New(slog.DiscardHandler))
	t.Cleanup(server.Close)
	return server, listener.Addr().String(), executed
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// TestCommands checks that each input gets a reply of one line and that only valid commands are executed.
func TestCommands(t *testing.T) {
	_, addr, executed := startServer(t)
	for _, c := range []struct {
		in, out string
		done    Command
	}{
		{"STATUS\n", "SUCCESS done\n", Command{Name: Status}},
		{"SUSPEND s-5be2a07c\r\n", "SUCCESS done\n", Command{Suspend, "s-5be2a07c", ""}},
		{"RESTORE s-1\nPAUSE\n", "SUCCESS done\n", Command{Restore, "s-1", ""}}, // only the first line is executed
		{"PAUSE\n", "SUCCESS done\n", Command{Name: Pause}},
		{" RESUME \n", "SUCCESS done\n", Command{Name: Resume}},
		{"FLEET ROUND x  1s ALL\n", "SUCCESS done\n", Command{Fleet, "", "ROUND x 1s ALL"}},
		{"SUSPEND unknown\n", "FAILURE no such server\n", Command{Suspend, "unknown", ""}},
		{"SUSPEND faulty\n", "FAILURE a fault in the program", Command{Suspend, "faulty", ""}}, // the server keeps running
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
		{strings.Repeat("x", 2*maxLineBytes) + "\n", "FAILURE the line is longer", Command{}},
	} {
		for _, chunk := range []int{len(c.in), 1} { // sent whole and as single bytes
			conn := dial(t, addr)
			for in := c.in; in != ""; in = in[chunk:] {
				io.WriteString(conn, in[:chunk])
			}
			conn.CloseWrite()
			reply, _ := io.ReadAll(conn)
			if !strings.HasPrefix(string(reply), c.out) || strings.Count(string(reply), "\n") != 1 {
				t.Errorf("input %.40q: got reply %q", c.in, reply)
			}
			var got Command
			select {
			case got = <-executed:
			default:
			}
			if got != c.done {
				t.Errorf("input %.40q: executed %+v", c.in, got)
			}
			if chunk == 0 {
				break
			}
		}
	}
}

// TestSilentConnections checks that connections without a line do not block a client that sends one, and that the
// oldest are closed, also if the limit is lowered while they are open.
func TestSilentConnections(t *testing.T) {
	for _, limit := range []int{MaxConnections, 4} {
		server, addr, _ := startServer(t)
		var silent []*net.TCPConn
		for range 3 * MaxConnections {
			conn := dial(t, addr)
			io.WriteString(conn, "STAT")
			silent = append(silent, conn)
		}
		begun := time.Now()
		conn := dial(t, addr)
		io.WriteString(conn, "STATUS\n")
		reply, err := io.ReadAll(conn)
		if elapsed := time.Since(begun); err != nil || string(reply) != "SUCCESS done\n" || elapsed > time.Second {
			t.Errorf("got reply %q, error %v after %v; want SUCCESS done within 1 s", reply, err, elapsed)
		}
		server.SetMaxConnections(limit)
		for _, old := range silent[:len(silent)-limit] { // all but the newest are closed
			old.SetReadDeadline(time.Now().Add(2 * time.Second)) // less than lineTimeout
			if _, err := old.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("limit %d: reading from an old connection returned %v, want a closed connection", limit, err)
			}
		}
	}
}
