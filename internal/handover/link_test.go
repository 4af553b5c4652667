package handover

import (
	"errors"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
)

// newLinkPair are the two ends of a link.
func newLinkPair(t *testing.T) (near, far *Link) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	listener, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Net: "unixpacket", Name: path})
	if err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	near = newLink(conn)
	t.Cleanup(near.Close)
	t.Cleanup(far.Close)
	return near, far
}

// TestRequest: how a request to the other process ends. Where that has ended, nobody is left who would have to do it:
// that is no failure, also if the process died with something of this one's unread.
func TestRequest(t *testing.T) {
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
		near, far := newLinkPair(t)
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

// TestMessagesOfAnEndedProcess: what a process sent before it ended is received, also if it left something unread: the
// kernel reports that first, ahead of the messages that wait.
func TestMessagesOfAnEndedProcess(t *testing.T) {
	near, far := newLinkPair(t)
	near.Send(Message{Kind: KindResult}, nil)
	for n := range uint64(3) {
		if err := far.Send(Message{Kind: KindConnection, RequestNumber: n}, listenTCP(t).(*net.TCPListener)); err != nil {
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

// TestSendClosedConnection: a connection that ended just before it is sent says nothing of the link.
func TestSendClosedConnection(t *testing.T) {
	near, far := newLinkPair(t)
	ended := listenTCP(t)
	ended.Close()
	err := near.Send(Message{Kind: KindConnection, RequestNumber: 1}, ended.(*net.TCPListener))
	if !errors.Is(err, ErrConnectionEnded) {
		t.Errorf("closed: %v", err)
	}
	if err := near.Send(Message{Kind: KindConnection, RequestNumber: 2}, listenTCP(t).(*net.TCPListener)); err != nil {
		t.Error(err)
	}
	if m, file, err := far.Receive(); err != nil || m.RequestNumber != 2 || file == nil {
		t.Errorf("received %+v, %v, %v", m, file, err)
	} else {
		file.Close()
	}
}
