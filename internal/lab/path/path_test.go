package path

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"olivebridge/internal/transport"
)

func TestAttribute(t *testing.T) {
	for want, stack := range map[string]string{
		"transport.readHead": "olivebridge/internal/transport.readHead olivebridge/internal/transport.readAnswer",
		"transport.(*message).bytes by bytes.(*Buffer).Write": "bytes.(*Buffer).Write fmt.Fprintf " +
			"olivebridge/internal/transport.(*message).bytes",
		"net/http.readRequest by net/textproto.readMIMEHeader": "net/textproto.readMIMEHeader net/http.readRequest " +
			"net/http.(*conn).serve",
		"transport.f[...] by maps.clone": "maps.clone olivebridge/internal/transport.f[...] net/http.(*conn).serve",
		"runtime.main":                   "runtime.main runtime.goexit",
		"":                               "",
	} {
		if got := attribute(strings.Fields(stack)); got != want {
			t.Errorf("stack %s is attributed to %q, want %q", stack, got, want)
		}
	}
	stack := []string{"internal/runtime/syscall/linux.Syscall6", "syscall.write", "internal/poll.(*FD).Write", "net.f"}
	if got := trimPackage("syscall", stack); !reflect.DeepEqual(got, stack[3:]) {
		t.Errorf("stack without package syscall: got %q", got)
	}
	if got := packageOf("a/b.F[c/d.T]"); got != "a/b" {
		t.Errorf("package of a generic function: got %q, want a/b", got)
	}
}

// TestTimedEntries checks which events are no part of a count because they depend on time: those of periodic work, and
// checks of a client whose request is older than the node's limit. A check that is made too early counts.
func TestTimedEntries(t *testing.T) {
	const node = modulePrefix + "internal/transport."
	const check, watch = node + "(*clientConn).hasDisconnected", node + "(*clientConn).watchForClose"
	for _, c := range []struct {
		stack          string
		sinceLastRead  time.Duration
		periodic, late bool
	}{
		{node + "(*tcpConn).Peek " + check, transport.ImmediateSendWindow + 1, false, true},
		{node + "(*tcpConn).Peek " + check, transport.ImmediateSendWindow, false, false},
		{watch, transport.WatchDelay + 1, false, true},
		{watch, transport.WatchDelay, false, false},
		{node + "(*tcpConn).Peek " + node + "(*upstreamPool).get", time.Minute, false, false},
		{node + "(*tcpConn).Peek " + node + "(*upstreamPool).sweep-fm", time.Minute, true, false},
		{"net/http.(*Request).write net/http.(*persistConn).writeLoop", 0, true, false},
		{"net/http.(*conn).serve", 0, false, false},
	} {
		stack := strings.Fields(c.stack)
		periodic, late := isPeriodic(stack), isLateClientCheck(stack, c.sinceLastRead)
		if periodic != c.periodic || late != c.late {
			t.Errorf("%s, %v after the last read: periodic %v, late %v", c.stack, c.sinceLastRead, periodic, late)
		}
	}
	timed := []Entry{{periodicWork, 3, 100}, {lateClientCheck, 1, 0}}
	f := Figures{Calls: append(timed, Entry{"recvfrom", 1, 1}), Copiers: append(timed, Entry{"f", 2, 20})}
	if got := f.computeCounts(); got[CountCalls] != 1 || got[CountCopied] != 20 {
		t.Errorf("got %v, want 1 system call and 20 copied bytes", got)
	}
	if got := f.perFunction(CountCalls); !reflect.DeepEqual(got, map[string]float64{"recvfrom": 1}) {
		t.Errorf("got system calls %v, want recvfrom alone", got)
	}
}

const tolerances = `[rise.allocations]
plus = 1
[rise.allocated_bytes]
part = 0.1
[rise.write_calls]
[rise.system_calls]
[rise.copied_bytes]
[load.get]
allocations = 50
allocated_bytes = 1000
`

func writeTolerances(t *testing.T, text, places string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{tolerancesFile: text, placesFile: places} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestCheckAgainst(t *testing.T) {
	const places = "[get.allocations]\n'f' = 40\n'g' = 10\n"
	allocators := []Entry{{"f", 40.05, 0}, {"g", 11, 0}, {"h", 1.5, 0}}
	for _, c := range []struct {
		allocations, bytes float64
		risen, fallen      string
	}{
		{50.9, 1099, "", ""},
		{52.55, 1000, "get: allocations: 52.55 a request, and 50.00 before; 1.00 more are allowed; " +
			"brought by h (+1.50, new), g (+1.00)", ""},
		{50, 1101, "get: allocated_bytes: 1101.00 a request, and 1000.00 before; 100.00 more are allowed", ""},
		{48.9, 1000, "", "get: allocations: 48.90 a request, and 50.00 before"},
	} {
		dir := writeTolerances(t, tolerances, places)
		tol, err := ReadTolerances(dir)
		if err != nil {
			t.Fatal(err)
		}
		f := Figures{Load: "get", Allocators: allocators,
			Counts: Counts{CountAllocations: c.allocations, CountBytes: c.bytes, CountWrites: 2}}
		r := &Report{Loads: []Figures{f}}
		got := r.CheckAgainst(tol)
		if strings.Join(got.Risen, "|") != c.risen || strings.Join(got.Fallen, "|") != c.fallen ||
			len(got.NotChecked) != 3 {
			t.Errorf("case %+v: unexpected check %+v", c, got)
		}
		if err := tol.Accept(r, dir); err != nil {
			t.Fatal(err)
		}
		if tol, err = ReadTolerances(dir); err != nil {
			t.Fatal(err)
		}
		if got := r.CheckAgainst(tol); got.Held != 3 || len(got.NotChecked) != 2 || tol.Rise[CountAllocations].Absolute != 1 {
			t.Errorf("case %+v: unexpected check after Accept: %+v", c, got)
		}
	}
}

func TestBadTolerances(t *testing.T) {
	for _, c := range []struct{ text, places, want string }{
		{tolerances + "[", "", "/tolerances.toml:11: "},
		{tolerances + "[new]\n", "", "/tolerances.toml:11: unknown key new"},
		{strings.Replace(tolerances, "plus = 1", "plus = -1", 1), "",
			"/tolerances.toml: rise.allocations: missing or below 0"},
		{strings.Replace(tolerances, "[rise.copied_bytes]\n", "", 1), "", "rise.copied_bytes: missing"},
		{tolerances, "get = 1", "/places.toml:1: "},
	} {
		_, err := ReadTolerances(writeTolerances(t, c.text, c.places))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("file %q: got error %v, want %q", c.text, err, c.want)
		}
	}
}

// TestLoadGenerator checks that refused requests are counted, that a request on a closed connection is repeated on a
// new one, and that an unreadable response is an error.
func TestLoadGenerator(t *testing.T) {
	const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	const refused = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		answers []string // the responses on each connection, which is closed after the last
		count   int
		refused int
		err     string
	}{
		{[]string{fine, fine, fine}, 3, 0, ""},
		{[]string{fine, refused, fine}, 3, 1, ""},
		{[]string{fine, fine}, 3, 0, ""}, // the third request uses a new connection
		{[]string{""}, 1, 0, "EOF"},
		{[]string{"HTTP/1.1 200 OK\r\n\r\n"}, 1, 0, "without a length"},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				in := bufio.NewReader(conn)
				for _, a := range c.answers {
					for line := ""; line != "\r\n" && err == nil; {
						line, err = in.ReadString('\n')
					}
					io.WriteString(conn, a)
				}
				conn.Close()
			}
		}()
		d := newLoadGenerator(Load{Name: "x", Conns: 1, class: "read"}, l.Addr().String(), &callIDs{})
		o, err := d.run(t.Context(), c.count)
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) ||
			o.refused != c.refused {
			t.Errorf("responses %q: %d refused, error %v", c.answers, o.refused, err)
		}
		if c.refused > 0 {
			if err := d.runServed(t.Context(), c.count); !errors.Is(err, errNotServed) {
				t.Errorf("responses %q: got error %v, want errNotServed", c.answers, err)
			}
		}
		d.close()
		l.Close()
	}
}
