package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"olivebridge/brain"
	"olivebridge/internal/maintenance"
)

func heritage(servers int) Heritage {
	h := Heritage{Version: 41, Source: "d:1", Paused: true, Carried: 0.25}
	for i := range servers {
		h.Servers = append(h.Servers, maintenance.Record{Name: fmt.Sprint("s-", strings.Repeat("x", 100), i), Addr: "127.0.0.1:9000",
			Said: brain.Server{ID: brain.ServerID(i) << 50, Weight: 1.5, State: brain.Draining, Born: 1e18}, Held: i%2 == 0, Since: 3, NotBefore: 4})
	}
	return h
}

// TestJoin: a successor gets all that is known, and the listener, at a path of any length.
func TestJoin(t *testing.T) {
	for name, path := range map[string]string{"short": filepath.Join(t.TempDir(), "s"),
		"long": filepath.Join(t.TempDir(), strings.Repeat("d", 120), "s")} {
		os.MkdirAll(filepath.Dir(path), 0o700)
		if l, _, _, err := Join(path); l != nil || err != nil {
			t.Fatalf("%s: nobody there: %v, %v", name, l, err)
		}
		want, clients := heritage(1000), listen(t)
		var seat *Seat
		for range 2 { // what a dead process left stands in nobody's way
			var err error
			if seat, err = Take(path); err != nil {
				t.Fatal(name, err)
			}
			seat.Close()
		}
		seat, _ = Take(path)
		go func() {
			l, err := seat.Accept()
			if err != nil {
				return
			}
			for _, m := range want.Messages() {
				if m.Kind == Serve {
					l.Send(m, clients.(*net.TCPListener))
				} else {
					l.Send(m, nil)
				}
			}
		}()
		l, got, inherited, err := Join(path)
		if err != nil || !reflect.DeepEqual(got, want) || inherited.Addr().String() != clients.Addr().String() {
			t.Fatalf("%s: %v, %d servers, listener %v", name, err, len(got.Servers), inherited)
		}
		inherited.Close()
		l.Close()
		seat.Close()
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// TestBadHeritage: whatever is not to the letter joins nothing, and says why.
func TestBadHeritage(t *testing.T) {
	for sent, want := range map[string]string{
		"":                          "EOF",
		"noise":                     "invalid character",
		`{"form":2,"kind":"serve"}`: "form 2, this process knows 1",
		`{"form":1,"kind":"serve"}`: "no listener",
		`{"form":1,"kind":"ready"}`: `"ready" where the heritage was to come`,
		strings.Repeat("x", 60<<10): "invalid character",
	} {
		path := filepath.Join(t.TempDir(), "s")
		seat, err := Take(path)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if l, err := seat.Accept(); err == nil {
				l.conn.Write([]byte(sent))
				l.Close()
			}
		}()
		if l, _, _, err := Join(path); l != nil || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: %v", sent, err)
		}
		seat.Close()
	}
	if _, err := encode(Message{ID: strings.Repeat("x", maxMessage)}); err == nil {
		t.Error("a message of any size goes out")
	}
}
