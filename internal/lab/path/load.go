package path

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"olivebridge/internal/protocol"
)

// Load is a kind of request and the number of connections over which it is sent.
type Load struct {
	Name          string
	About         string
	Conns         int
	class         string
	bodySize      int // bytes of a request body
	largeResponse bool
}

// Loads returns the four loads that can be measured.
func Loads() []Load {
	return []Load{
		{Name: "get", About: "small GETs on 16 kept connections", Conns: 16, class: "read"},
		{Name: "single", About: "small GETs on one kept connection, one after the other", Conns: 1, class: "read"},
		{Name: "upload", About: "POSTs of 32 KiB on 16 kept connections", Conns: 16, class: "write", bodySize: 32 << 10},
		{Name: "answer", About: "GETs of 64 KiB on 16 kept connections", Conns: 16, class: "read", largeResponse: true},
	}
}

// idDigits is the length of a call id in digits.
const idDigits = 16

// request returns the bytes of a request and the offset of the call id in them.
func (l Load) request() (raw []byte, idOffset int) {
	method, target := "GET", targetSmall
	if l.bodySize > 0 {
		method = "POST"
	}
	if l.largeResponse {
		target = targetLarge
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: api.internal\r\n%s: ", method, target, protocol.HeaderCallID)
	idOffset = b.Len()
	fmt.Fprintf(&b, "%0*d\r\n%s: %s\r\n%s: acme\r\n%s: 8.000\r\n", idDigits, 0, protocol.HeaderClass, l.class,
		protocol.HeaderTenant, protocol.HeaderTimeout)
	if l.bodySize > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", l.bodySize)
	}
	b.WriteString("\r\n")
	b.Write(bytes.Repeat([]byte("0123456789abcdef"), l.bodySize/16))
	return b.Bytes(), idOffset
}

// loadGenerator sends the requests of a load over kept-alive connections, one at a time on each.
type loadGenerator struct {
	load  Load
	addr  string
	conns []*connection
}

// loadResult counts requests by result.
type loadResult struct {
	sent    int
	refused int // answered with another status than 200
}

// callIDs numbers the calls of one meter, so that each call has a unique id.
type callIDs struct{ last atomic.Uint64 }

func newLoadGenerator(l Load, addr string, callIDs *callIDs) *loadGenerator {
	generator := &loadGenerator{load: l, addr: addr}
	for range l.Conns {
		conn := &connection{addr: addr, callIDs: callIDs, in: bufio.NewReaderSize(nil, 64<<10)}
		conn.raw, conn.idOffset = l.request()
		generator.conns = append(generator.conns, conn)
	}
	return generator
}

// run sends count requests, distributed evenly over the connections, and waits for their responses.
func (d *loadGenerator) run(ctx context.Context, count int) (loadResult, error) {
	var wait sync.WaitGroup
	errs := make([]error, len(d.conns))
	refused := make([]int, len(d.conns))
	for i, s := range d.conns {
		share := count / len(d.conns)
		if i < count%len(d.conns) {
			share++
		}
		wait.Go(func() {
			for range share {
				if ctx.Err() != nil {
					errs[i] = context.Cause(ctx)
					return
				}
				ok, err := s.roundTrip()
				if err != nil {
					errs[i] = fmt.Errorf("load %s: %w", d.load.Name, err)
					return
				}
				if !ok {
					refused[i]++
				}
			}
		})
	}
	wait.Wait()
	o := loadResult{sent: count}
	for _, n := range refused {
		o.refused += n
	}
	return o, errors.Join(errs...)
}

// errNotServed reports that the child refused more than 1 % of the requests of a load.
var errNotServed = errors.New("not served")

// runServed sends count requests and returns errNotServed if more than 1 % of them are refused: refused requests do not
// pass through the measured path.
func (d *loadGenerator) runServed(ctx context.Context, count int) error {
	o, err := d.run(ctx, count)
	if err != nil {
		return err
	}
	if o.refused*100 > o.sent {
		return fmt.Errorf("load %s: %w: %d of %d requests", d.load.Name, errNotServed, o.refused, o.sent)
	}
	return nil
}

func (d *loadGenerator) close() {
	for _, s := range d.conns {
		if s.conn != nil {
			_ = s.conn.Close()
		}
	}
}

// connection sends requests over one connection, which it opens again when it was closed.
type connection struct {
	addr     string
	callIDs  *callIDs
	raw      []byte
	idOffset int // offset of the call id in raw
	conn     net.Conn
	in       *bufio.Reader
}

// responseTimeout is the time within which a response must arrive.
const responseTimeout = 15 * time.Second

// roundTrip sends one request and reports whether it was answered with 200. If an idle connection turns out to be
// closed, the request is sent once more over a new connection.
func (s *connection) roundTrip() (served bool, err error) {
	for attempt := 0; ; attempt++ {
		fresh := s.conn == nil
		if fresh {
			if s.conn, err = net.Dial("tcp", s.addr); err != nil {
				return false, err
			}
			s.in.Reset(s.conn)
		}
		// Adding 1e15 makes the number idDigits long.
		digits := strconv.AppendUint(s.raw[s.idOffset:s.idOffset], s.callIDs.last.Add(1)+1e15, 10)
		if len(digits) != idDigits {
			return false, errors.New("too many calls")
		}
		_ = s.conn.SetDeadline(time.Now().Add(responseTimeout))
		if _, err = s.conn.Write(s.raw); err == nil {
			served, last, err := s.readResponse()
			if err == nil && last {
				_ = s.conn.Close()
				s.conn = nil
			}
			if err == nil {
				return served, nil
			}
			if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) || fresh || attempt > 0 {
				return false, fmt.Errorf("reading an answer: %w", err)
			}
		} else if fresh || attempt > 0 {
			return false, fmt.Errorf("sending a request: %w", err)
		}
		_ = s.conn.Close()
		s.conn = nil
	}
}

// readResponse reads one response and reports whether its status is 200 and whether the server closes the connection
// after it.
func (s *connection) readResponse() (served, last bool, err error) {
	length := -1
	for first := true; ; first = false {
		line, err := s.in.ReadSlice('\n')
		if err != nil {
			return false, false, err
		}
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(": "))
		switch {
		case first:
			served = bytes.HasPrefix(line, []byte("HTTP/1.1 200 "))
		case len(line) == 0:
			if length < 0 {
				return false, false, errors.New("an answer without a length")
			}
			_, err := s.in.Discard(length)
			return served, last, err
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err = strconv.Atoi(string(value)); err != nil {
				return false, false, err
			}
		case bytes.EqualFold(name, []byte("Connection")):
			last = bytes.EqualFold(value, []byte("close"))
		}
	}
}
