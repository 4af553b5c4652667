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

// Load is one kind of request, and over how many connections it is sent.
type Load struct {
	Name          string
	About         string
	Conns         int
	class         string
	bodySize      int // bytes of a request's
	largeResponse bool
}

// Loads are the four that the meter knows.
func Loads() []Load {
	return []Load{
		{Name: "get", About: "small GETs on 16 kept connections", Conns: 16, class: "read"},
		{Name: "single", About: "small GETs on one kept connection, one after the other", Conns: 1, class: "read"},
		{Name: "upload", About: "POSTs of 32 KiB on 16 kept connections", Conns: 16, class: "write", bodySize: 32 << 10},
		{Name: "answer", About: "GETs of 64 KiB on 16 kept connections", Conns: 16, class: "read", largeResponse: true},
	}
}

// idDigits is how long the id of a call is.
const idDigits = 16

// request is the bytes of a request, and where in them its call's id stands.
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

// loadGenerator sends the requests of a load over kept connections, on each one after the other.
type loadGenerator struct {
	load  Load
	addr  string
	conns []*connection
}

// loadResult is what became of some requests.
type loadResult struct {
	sent    int
	refused int // answered otherwise than by 200
}

// callIDs numbers the calls of one meter: no two of them may have the same id.
type callIDs struct{ last atomic.Uint64 }

func newLoadGenerator(l Load, addr string, ids *callIDs) *loadGenerator {
	d := &loadGenerator{load: l, addr: addr}
	for range l.Conns {
		s := &connection{addr: addr, ids: ids, in: bufio.NewReaderSize(nil, 64<<10)}
		s.raw, s.idOffset = l.request()
		d.conns = append(d.conns, s)
	}
	return d
}

// run sends count requests, shared out evenly, and waits for their answers.
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

// errNotServed is a load that the child did not serve as it should.
var errNotServed = errors.New("not served")

// runServed sends requests, of which hardly any may be refused: what is not served does not pass the path.
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
			s.conn.Close()
		}
	}
}

// connection sends over one connection.
type connection struct {
	addr     string
	ids      *callIDs
	raw      []byte
	idOffset int // where the id stands
	conn     net.Conn
	in       *bufio.Reader
}

// responseTimeout is how long an answer may take.
const responseTimeout = 15 * time.Second

// roundTrip sends one request, and says whether it was served. What carried it may have been closed while it
// was idle: then it is sent once more on a new connection.
func (s *connection) roundTrip() (served bool, err error) {
	for attempt := 0; ; attempt++ {
		fresh := s.conn == nil
		if fresh {
			if s.conn, err = net.Dial("tcp", s.addr); err != nil {
				return false, err
			}
			s.in.Reset(s.conn)
		}
		digits := strconv.AppendUint(s.raw[s.idOffset:s.idOffset], s.ids.last.Add(1)+1e15, 10) // idDigits of them
		if len(digits) != idDigits {
			return false, errors.New("too many calls")
		}
		s.conn.SetDeadline(time.Now().Add(responseTimeout))
		if _, err = s.conn.Write(s.raw); err == nil {
			served, last, err := s.readResponse()
			if err == nil && last {
				s.conn.Close()
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
		s.conn.Close()
		s.conn = nil
	}
}

// readResponse reads one: whether it is a 200, and whether the connection ends with it.
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
