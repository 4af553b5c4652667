package handover

import (
	"errors"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newLinkPair returns the two ends of a link: the connecting one and the accepting one.
func newLinkPair(t *testing.T) (local, remote *Link) {
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
	if remote, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	local = newLink(conn)
	t.Cleanup(local.Close)
	t.Cleanup(remote.Close)
	return local, remote
}

// TestRequest checks the error of Request for each way in which a request can end. The end of the other process is
// ErrProcessEnded, which is not a failure since no process is left to execute the request. This includes a process that
// ended with unread messages of this one.
func TestRequest(t *testing.T) {
	respondWith := func(errorText string) func(local, remote *Link) {
		return func(local, remote *Link) {
			m, _, _ := remote.Receive()
			remote.Send(Message{Kind: KindResult, RequestNumber: m.RequestNumber, Error: errorText}, nil)
			result, _, _ := local.Receive()
			local.Resolve(result)
		}
	}
	for name, c := range map[string]struct {
		before, meanwhile func(local, remote *Link)
		want              string
		ended             bool
	}{
		"success":                       {nil, respondWith(""), "", false},
		"error in the other process":    {nil, respondWith("no such server"), "no such server", false},
		"no result":                     {nil, nil, "does not answer", false},
		"other end closed before":       {func(_, remote *Link) { remote.Close() }, nil, "", true},
		"this end closed before":        {func(local, _ *Link) { local.Close() }, nil, "", true},
		"this end closed while waiting": {nil, func(local, remote *Link) { remote.Receive(); local.Close() }, "", true},
		"other end closed with unread messages": {func(local, remote *Link) {
			local.Send(Message{Kind: KindConnection}, nil)
			remote.Close()
		}, nil, "", true},
	} {
		local, remote := newLinkPair(t)
		if c.before != nil {
			c.before(local, remote)
		}
		if c.meanwhile != nil {
			go c.meanwhile(local, remote)
		}
		err := local.Request(Message{Kind: KindCommand, Command: "PAUSE"})
		if errors.Is(err, ErrProcessEnded) != c.ended || !c.ended && (err == nil) != (c.want == "") ||
			c.want != "" && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: unexpected result: error %v", name, err)
		}
	}
}

// TestMessagesOfAnEndedProcess: messages that a process sent before it ended are received, also if it ended with unread
// messages. In that case the kernel returns ECONNRESET before it delivers the waiting messages.
func TestMessagesOfAnEndedProcess(t *testing.T) {
	local, remote := newLinkPair(t)
	local.Send(Message{Kind: KindResult}, nil)
	for n := range uint64(3) {
		if err := remote.Send(Message{Kind: KindConnection, RequestNumber: n}, listenTCP(t).(*net.TCPListener)); err != nil {
			t.Fatal(err)
		}
	}
	remote.Close()
	for n := range uint64(3) {
		m, file, err := local.Receive()
		if err != nil || file == nil || m.RequestNumber != n {
			t.Fatalf("message %d: got %+v, error %v; want it with a file", n, m, err)
		}
		file.Close()
	}
	if _, _, err := local.Receive(); !errors.Is(err, io.EOF) {
		t.Errorf("Receive after the last message: got error %v, want io.EOF", err)
	}
}

// TestSendClosedConnection: sending a connection that is already closed returns ErrConnectionEnded, and the link stays
// usable.
func TestSendClosedConnection(t *testing.T) {
	local, remote := newLinkPair(t)
	ended := listenTCP(t)
	ended.Close()
	err := local.Send(Message{Kind: KindConnection, RequestNumber: 1}, ended.(*net.TCPListener))
	if !errors.Is(err, ErrConnectionEnded) {
		t.Errorf("sending a closed connection: got error %v, want ErrConnectionEnded", err)
	}
	if err := local.Send(Message{Kind: KindConnection, RequestNumber: 2}, listenTCP(t).(*net.TCPListener)); err != nil {
		t.Error(err)
	}
	if m, file, err := remote.Receive(); err != nil || m.RequestNumber != 2 || file == nil {
		t.Errorf("received %+v, file %v, error %v; want message 2 with a file", m, file, err)
	} else {
		file.Close()
	}
}

// TestPost: posted messages arrive in order, and a process that does not read, or has ended, never blocks the sender. A
// blocked event loop would answer no call.
func TestPost(t *testing.T) {
	local, remote := newLinkPair(t)
	const ordered = 50
	for n := range uint64(ordered) {
		if !local.Post(Message{Kind: KindClaim, RequestNumber: n}) {
			t.Fatalf("message %d was dropped", n)
		}
	}
	for n := range uint64(ordered) {
		if m, _, err := remote.Receive(); err != nil || m.RequestNumber != n {
			t.Fatalf("got %+v, error %v; want message %d", m, err, n)
		}
	}
	for sent := true; sent; time.Sleep(10 * time.Millisecond) { // until the socket's buffer and the outbox are full
		sent = local.Post(Message{Kind: KindClaim})
		begun := time.Now()
		for local.Post(Message{Kind: KindClaim}) {
		}
		if d := time.Since(begun); d > postTimeout {
			t.Errorf("filling the outbox took %v, want no wait for the process that does not read", d)
		}
	}
	begun := time.Now()
	if err := local.Send(Message{Kind: KindCommand}, nil); err == nil || time.Since(begun) > sendTimeout+2*postTimeout {
		t.Errorf("Send beside a full outbox: error %v after %v, want one after at most %v",
			err, time.Since(begun), sendTimeout+2*postTimeout)
	}
	local.Close()
	if local.Post(Message{Kind: KindClaim}) {
		t.Error("posting to a closed link succeeded")
	}
}
