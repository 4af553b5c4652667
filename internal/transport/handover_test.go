package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestHandOffWhileBytesArrive: a connection whose client sends just as it is handed off stays open until it has
// been sent to the other process, though what reads it here is told of its end, and closes it.
func TestHandOffWhileBytesArrive(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	all := newClientConns(l, ClientLimits{MaxOpen: 10, MaxIdle: 10}, slog.New(slog.DiscardHandler))
	accepted, err := all.Accept()
	if err != nil {
		t.Fatal(err)
	}
	read, closed := make(chan error, 1), make(chan error, 1)
	go func() { // as http.Server does
		_, err := accepted.Read(make([]byte, 100))
		read <- err
		closed <- accepted.Close()
	}()
	given := 0
	all.startHandOff(func(conn syscall.Conn) error {
		if _, err := client.Write([]byte("GET")); err != nil {
			t.Error(err)
		}
		if err := <-read; !errors.Is(err, io.EOF) {
			t.Errorf("it is read: %v", err)
		}
		if err := <-closed; err != nil {
			t.Error(err)
		}
		raw, err := conn.SyscallConn()
		if err == nil {
			err = raw.Control(func(uintptr) { given++ })
		}
		return err
	})
	if given != 1 {
		t.Error("it was closed before it was handed off")
	}
	if n := all.count(); n != 0 {
		t.Errorf("%d are open after all were handed off", n)
	}
}

// TestAdoptResetConnection: a connection that is handed off after its client has reset it is skipped, and the next
// one is served. The kernel knows no address of such a connection's other side.
func TestAdoptResetConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	handed := func(gone bool) net.Conn {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		here, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		f, err := here.(*net.TCPConn).File()
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if gone {
			client.(*net.TCPConn).SetLinger(0)
			client.Close()
			here.SetReadDeadline(time.Now().Add(10 * time.Second))
			here.Read(make([]byte, 1)) // until the reset is here
		}
		here.Close()
		conn, err := net.FileConn(f)
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	reset := handed(true)
	if reset.RemoteAddr() != nil {
		t.Fatalf("the kernel still knows %v", reset.RemoteAddr())
	}
	all := newClientConns(l, ClientLimits{MaxOpen: 10, MaxIdle: 10}, slog.New(slog.DiscardHandler))
	a := &adoptedListener{clients: all, conns: make(chan net.Conn, 2), closed: make(chan struct{})}
	a.conns <- reset
	a.conns <- handed(false)
	conn, err := a.Accept()
	if err != nil || conn.RemoteAddr() == nil {
		t.Error(conn, err)
	}
	if n := all.count(); n != 1 {
		t.Errorf("%d are open", n)
	}
}

// TestNoDelaySet: small writes are not held back on a connection, wherever it comes from: what a kernel still held
// would be lost with a reset.
func TestNoDelaySet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := dialTCP(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	f, err := accepted.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := syscall.SetsockoptInt(int(f.Fd()), syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 0); err != nil {
		t.Fatal(err) // as another program's may be
	}
	handed, err := net.FileConn(f)
	if err != nil {
		t.Fatal(err)
	}
	defer handed.Close()
	for name, conn := range map[string]net.Conn{"dialed": dialed, "handed over": handed} {
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		at := 0
		if err2 := raw.Control(func(fd uintptr) {
			at, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		}); err != nil || err2 != nil || at == 0 {
			t.Errorf("%s: %d, %v, %v", name, at, err, err2)
		}
	}
}
