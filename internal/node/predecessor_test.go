package node

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"syscall"
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

// TestSuccessorWaitsForDescriptor guards against a process that accepts no successor for good after it once had no
// descriptor for one.
func TestSuccessorWaitsForDescriptor(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	c := testConfig()
	c.Listen, c.AdminListen = "127.0.0.1:0", "127.0.0.1:0"
	noDial := func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	n, err := Start(c, Options{HandoverPath: path, Dial: noDial})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Abort()
	// The successor's socket exists before the shortage: other goroutines could take a descriptor that is left for it.
	socket, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_SEQPACKET|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(socket), "successor")
	defer file.Close()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	free, err := syscall.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	syscall.Close(free)
	none := syscall.Rlimit{Cur: uint64(free), Max: limit.Max} // all descriptors below free are in use
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	err = syscall.Connect(socket, &syscall.SockaddrUnix{Name: path})
	time.Sleep(3 * acceptRetryInterval)
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	if err != nil {
		t.Fatal(err)
	}
	successor, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	successor.SetReadDeadline(time.Now().Add(5 * time.Second))
	if size, err := successor.Read(make([]byte, 1<<10)); err != nil || size == 0 {
		t.Errorf("the successor got %d bytes and error %v, want the node's state", size, err)
	}
}
