package handover

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

func heritage(servers int) NodeState {
	h := NodeState{ListVersion: 41, DiscoveryAddr: "d:1", Paused: true, WarmThroughput: 0.25}
	for i := range servers {
		h.Servers = append(h.Servers, maintenance.Record{Name: fmt.Sprint("s-", strings.Repeat("x", 100), i), Addr: "127.0.0.1:9000",
			Said: balancer.Server{ID: balancer.ServerID(i) << 50, Weight: 1.5, State: balancer.Draining, StartedAt: 1e18}, Held: i%2 == 0, Since: 3, NotBefore: 4})
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
		var seat *Listener
		for range 2 { // what a dead process left stands in nobody's way
			var err error
			if seat, err = Listen(path); err != nil {
				t.Fatal(name, err)
			}
			seat.Close()
		}
		seat, _ = Listen(path)
		go func() {
			l, err := seat.Accept()
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
		seat, err := Listen(path)
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
	if _, err := encode(Message{ServerID: strings.Repeat("x", maxMessageBytes)}); err == nil {
		t.Error("a message of any size goes out")
	}
}

// linked are the two ends of a link.
func linked(t *testing.T) (near, far *Link) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	seat, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer seat.Close()
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Net: "unixpacket", Name: path})
	if err != nil {
		t.Fatal(err)
	}
	if far, err = seat.Accept(); err != nil {
		t.Fatal(err)
	}
	near = newLink(conn)
	t.Cleanup(near.Close)
	t.Cleanup(far.Close)
	return near, far
}

// TestAsk: what becomes of a call to the other process. Where there is none any more, nobody is left for whom it would
// have to hold: that is no failure, also if the process died with something of this one's unread.
func TestAsk(t *testing.T) {
	answer := func(fault string) func(near, far *Link) {
		return func(near, far *Link) {
			m, _, _ := far.Receive()
			far.Send(Message{Kind: KindResult, RequestNumber: m.RequestNumber, Error: fault}, nil)
			done, _, _ := near.Receive()
			near.Resolve(done)
		}
	}
	for name, c := range map[string]struct {
		before, meanwhile func(near, far *Link)
		want              string
		ended             bool
	}{
		"done":                {nil, answer(""), "", false},
		"it fails there":      {nil, answer("no such server"), "no such server", false},
		"no answer":           {nil, nil, "does not answer", false},
		"ended before":        {func(_, far *Link) { far.Close() }, nil, "", true},
		"closed here":         {func(near, _ *Link) { near.Close() }, nil, "", true},
		"ended in the middle": {nil, func(near, far *Link) { far.Receive(); near.Close() }, "", true},
		"died with this unread": {func(near, far *Link) {
			near.Send(Message{Kind: KindConnection}, nil)
			far.Close()
		}, nil, "", true},
	} {
		near, far := linked(t)
		if c.before != nil {
			c.before(near, far)
		}
		if c.meanwhile != nil {
			go c.meanwhile(near, far)
		}
		err := near.Request(Message{Kind: KindCommand, Command: "PAUSE"})
		if errors.Is(err, ErrProcessEnded) != c.ended || !c.ended && (err == nil) != (c.want == "") ||
			c.want != "" && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestNoWayToTheSeat: what keeps a process from its seat is an error that names it.
func TestNoWayToTheSeat(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	foreign := filepath.Join(t.TempDir(), "s")
	if seat, err := Listen(foreign); err != nil {
		t.Fatal(err)
	} else {
		seat.Close()
	}
	chown := os.Chown(foreign, os.Getuid()+1, -1)
	for path, want := range map[string]string{
		filepath.Join(file, "s"):                                  "not a directory",
		filepath.Join(t.TempDir(), strings.Repeat("d", 120), "s"): "no such file",
		file:    "is no socket",
		foreign: "another user's",
	} {
		if path == foreign && chown != nil {
			continue // nobody else's can be made here
		}
		if _, err := Listen(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: taking: %v", want, err)
		}
		if l, _, _, err := Join(path); l != nil || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: joining: %v", want, err)
		}
	}
}

// TestLastWords: what a process sent before it ended is heard, also if it left something unread: the kernel tells of that
// first, and before the messages that wait.
func TestLastWords(t *testing.T) {
	near, far := linked(t)
	near.Send(Message{Kind: KindResult}, nil)
	for n := range uint64(3) {
		if err := far.Send(Message{Kind: KindConnection, RequestNumber: n}, listen(t).(*net.TCPListener)); err != nil {
			t.Fatal(err)
		}
	}
	far.Close()
	for n := range uint64(3) {
		m, file, err := near.Receive()
		if err != nil || file == nil || m.RequestNumber != n {
			t.Fatalf("message %d: %+v, %v", n, m, err)
		}
		file.Close()
	}
	if _, _, err := near.Receive(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last: %v", err)
	}
}

// TestSendWhatIsClosed: a connection that ended just before it is sent says nothing of the link.
func TestSendWhatIsClosed(t *testing.T) {
	near, far := linked(t)
	ended := listen(t)
	ended.Close()
	if err := near.Send(Message{Kind: KindConnection, RequestNumber: 1}, ended.(*net.TCPListener)); !errors.Is(err, ErrConnectionEnded) {
		t.Errorf("closed: %v", err)
	}
	if err := near.Send(Message{Kind: KindConnection, RequestNumber: 2}, listen(t).(*net.TCPListener)); err != nil {
		t.Error(err)
	}
	if m, file, err := far.Receive(); err != nil || m.RequestNumber != 2 || file == nil {
		t.Errorf("received %+v, %v, %v", m, file, err)
	} else {
		file.Close()
	}
}
