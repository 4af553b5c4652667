package transport

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// BenchmarkFront sends requests one after the other through the frontend over a socket and reads each response.
func BenchmarkFront(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	served := routing.Answer{Verdict: routing.Served, Reply: &response{body: []byte("hi")}}
	f := NewFrontend(FrontendConfig{
		Listener:     l,
		Names:        protocol.NameIndex{Classes: map[string]int{"book": 0}, Methods: []string{"POST"}},
		Handler:      handlerFunc(func(context.Context, routing.Call) (routing.Answer, bool) { return served, true }),
		ClientLimits: ClientLimits{MaxOpen: 10, MaxIdle: 10},
		Log:          slog.New(slog.DiscardHandler),
	})
	go f.Serve()
	defer f.server.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	in, raw := bufio.NewReader(conn), []byte(callHead+"Content-Length: 2\r\n\r\nhi")
	b.ReportAllocs()
	for b.Loop() {
		conn.Write(raw)
		skipResponse(b, in)
	}
}

// skipResponse reads a response whose body has two bytes.
func skipResponse(b *testing.B, in *bufio.Reader) {
	for n := 3; n > 2; {
		line, err := in.ReadSlice('\n')
		if err != nil {
			b.Fatal(err)
		}
		n = len(line)
	}
	in.Discard(2)
}

// BenchmarkRoundTrip sends attempts one after the other to a server over a pooled connection.
func BenchmarkRoundTrip(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		for buf := make([]byte, 4096); ; {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			io.WriteString(conn, okResponse)
		}
	}()
	transport := NewUpstreamTransport(UpstreamConfig{
		ConnectTimeout:    time.Second,
		ServerIdleTimeout: time.Minute,
		MaxConns:          10,
		Log:               slog.New(slog.DiscardHandler),
	})
	transport.pool.reuseDelay = 0
	attempt := newAttempt(routing.NewUpstream(1, "s-1", l.Addr().String()), "GET", "")
	b.ReportAllocs()
	for b.Loop() {
		if r := transport.RoundTrip(context.Background(), attempt); r.Result != balancer.OK {
			b.Fatal(r)
		}
	}
}
