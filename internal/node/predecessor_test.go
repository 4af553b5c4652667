package node

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	"olivebridge/internal/handover"
)

// TestHangingSuccessorCostsOneTimeout: a successor that does not read its socket delays the predecessor by one timeout
// in total, not by one per connection. A graceful shutdown has only a few seconds for the hand-over.
func TestHangingSuccessorCostsOneTimeout(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	handoverListener, err := handover.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer handoverListener.Close()
	hanging, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Net: "unixpacket", Name: path})
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	link, err := handoverListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	send := connectionSender(link)
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended.Close()
	if send(ended.(*net.TCPListener)) == nil {
		t.Error("sending a closed connection succeeded, want an error")
	}
	if err = send(listener.(*net.TCPListener)); err != nil {
		t.Errorf("sending an open connection after a closed one: %v", err)
	}
	for err == nil { // until the socket's buffer is full
		err = send(listener.(*net.TCPListener))
	}
	start := time.Now()
	for range 100 {
		if send(listener.(*net.TCPListener)) == nil {
			t.Fatal("sending succeeded after the link had failed, want an error")
		}
	}
	if d := time.Since(start); d > 100*time.Millisecond {
		t.Errorf("sending 100 connections after the link had failed took %v, want at most 100ms", d)
	}
}
