package node

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	"olivebridge/internal/handover"
)

// TestHangingSuccessorCostsOneTimeout: a successor that does not read costs one timeout, not one for each connection.
// It guards the graceful shutdown, which has only a few seconds.
func TestHangingSuccessorCostsOneTimeout(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	awaiting, err := handover.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer awaiting.Close()
	hanging, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Net: "unixpacket", Name: path})
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	link, err := awaiting.Accept()
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
		t.Error("a closed connection was sent")
	}
	if err = send(listener.(*net.TCPListener)); err != nil {
		t.Errorf("after one that has ended: %v", err)
	}
	for err == nil { // until the socket is full
		err = send(listener.(*net.TCPListener))
	}
	begun := time.Now()
	for range 100 {
		if send(listener.(*net.TCPListener)) == nil {
			t.Fatal("sent after all")
		}
	}
	if d := time.Since(begun); d > 100*time.Millisecond {
		t.Errorf("100 more took %v", d)
	}
}
