package node

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	"olivebridge/internal/handover"
)

// TestGiveUpOnAHangingSuccessor: one that does not read costs one time-out, not
// one for each connection: the planned end has only a few seconds.
func TestGiveUpOnAHangingSuccessor(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	seat, err := handover.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer seat.Close()
	hanging, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Net: "unixpacket", Name: path})
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	l, err := seat.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	hand := give(l)
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended.Close()
	if hand(ended.(*net.TCPListener)) == nil {
		t.Error("what is closed was given")
	}
	if err = hand(listener.(*net.TCPListener)); err != nil {
		t.Errorf("after one that has ended: %v", err)
	}
	for err == nil { // until the socket is full
		err = hand(listener.(*net.TCPListener))
	}
	begun := time.Now()
	for range 100 {
		if hand(listener.(*net.TCPListener)) == nil {
			t.Fatal("given after all")
		}
	}
	if d := time.Since(begun); d > 100*time.Millisecond {
		t.Errorf("100 more took %v", d)
	}
}
