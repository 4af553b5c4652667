package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

func testState(servers int) NodeState {
	state := NodeState{ListVersion: 41, DiscoveryAddr: "d:1", Paused: true, WarmThroughput: 0.25}
	for i := range servers {
		listed := maintenance.ListedServer{
			ID: balancer.ServerID(i) << 50, Weight: 1.5, State: balancer.Draining, StartedAt: 1e18}
		state.Servers = append(state.Servers, maintenance.Record{
			Name: fmt.Sprint("s-", strings.Repeat("x", 100), i), Addr: "127.0.0.1:9000", Listed: listed,
			Suspended: i%2 == 0, SuspendedAt: 3, StartedNotBefore: 4})
	}
	return state
}

// TestConnect: a successor receives the complete state and the listener, through a socket path of any length.
func TestConnect(t *testing.T) {
	for name, path := range map[string]string{"short": filepath.Join(t.TempDir(), "s"),
		"long": filepath.Join(t.TempDir(), strings.Repeat("d", 120), "s")} {
		os.MkdirAll(filepath.Dir(path), 0o700)
		if takeover, err := Connect(path); takeover != nil || err != nil {
			t.Fatalf("%s: Connect without a process in service: got %v, error %v; want neither", name, takeover, err)
		}
		want, clients := testState(1000), listenTCP(t)
		var listener *Listener
		for range 2 { // the second Listen replaces the socket file that the first one left
			var err error
			if listener, err = Listen(path); err != nil {
				t.Fatal(name, err)
			}
			listener.Close()
		}
		listener, _ = Listen(path)
		go func() {
			l, err := listener.Accept()
			if err != nil {
				return
			}
			for _, m := range want.Messages() {
				if m.Kind == KindListener {
					l.Send(m, clients.(*net.TCPListener))
				} else {
					l.Send(m, nil)
				}
			}
		}()
		got, err := Connect(path)
		if err != nil || got == nil || !reflect.DeepEqual(got.State, want) ||
			got.Listener.Addr().String() != clients.Addr().String() {
			t.Fatalf("%s: got %+v, error %v; want the sent state and the listener", name, got, err)
		}
		got.Listener.Close()
		got.Link.Close()
		listener.Close()
	}
}

func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// TestMalformedState: a state that is malformed or of another format version is rejected with an error that names the
// reason.
func TestMalformedState(t *testing.T) {
	for sent, want := range map[string]string{
		"":                          "EOF",
		"noise":                     "invalid character",
		`{"form":2,"kind":"serve"}`: "format version 2, want 1",
		`{"form":1,"kind":"serve"}`: "no listener",
		`{"form":1,"kind":"ready"}`: `got message kind "ready", want the node's state`,
		strings.Repeat("x", 60<<10): "invalid character",
	} {
		path := filepath.Join(t.TempDir(), "s")
		listener, err := Listen(path)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if l, err := listener.Accept(); err == nil {
				l.conn.Write([]byte(sent))
				l.Close()
			}
		}()
		if takeover, err := Connect(path); takeover != nil || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: got error %v, want a rejected state", sent, err)
		}
		listener.Close()
	}
	if _, err := encode(Message{ServerID: strings.Repeat("x", maxMessageBytes)}); err == nil {
		t.Error("encoding a message above the size limit succeeded, want an error")
	}
}

// TestUnusableSocketPath: Listen and Connect reject a path that cannot be a socket of this user, with an error that
// names the reason.
func TestUnusableSocketPath(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	foreign := filepath.Join(t.TempDir(), "s")
	if listener, err := Listen(foreign); err != nil {
		t.Fatal(err)
	} else {
		listener.Close()
	}
	chown := os.Chown(foreign, os.Getuid()+1, -1)
	for path, want := range map[string]string{
		filepath.Join(file, "s"):                                  "not a directory",
		filepath.Join(t.TempDir(), strings.Repeat("d", 120), "s"): "no such file",
		file:    "is no socket",
		foreign: "another user's",
	} {
		if path == foreign && chown != nil {
			continue // the test lacks the privilege to create another user's socket
		}
		if _, err := Listen(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Listen: want an error with %q, got %v", want, err)
		}
		if takeover, err := Connect(path); takeover != nil || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Connect: want an error with %q, got %v", want, err)
		}
	}
}
