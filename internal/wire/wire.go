// Package wire holds the codec of the simulator's wire. It makes no decisions.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"olivebridge/balancer"
)

// Sizes of the fixed parts of a frame.
const (
	headerSize      = 20
	replyHeaderSize = 12
	eventSize       = 56
	actionSize      = 32
	entrySize       = 23
)

// Code names an event.
type EventCode uint8

// The events.
const (
	EventStart       EventCode = 16
	EventEndpoints   EventCode = 17
	EventRequest     EventCode = 18
	EventFirstByte   EventCode = 19
	EventOutcome     EventCode = 20
	EventDisconnect  EventCode = 21
	EventTimer       EventCode = 22
	EventHealthCheck EventCode = 23
	EventPeerMessage EventCode = 24
	EventStop        EventCode = 25
)

// The actions.
const (
	actInspect   = 16
	actArm       = 17
	actCloseIdle = 18
	actFail      = 19
	actRefuse    = 20
	actAssign    = 21
	actTrace     = 22
	actGiveIn    = 23
	actWritePeer = 24
	actWatch     = 25
	actResolve   = 26
	actRevoke    = 27
)

// AllPeers addresses a message to every instance of the tier.
const AllInstances = math.MaxUint32

var le = binary.LittleEndian

// Frame is one batch of events. Its buffers are reused by the next Read.
type Frame struct {
	Clock   balancer.Time
	Number  uint32
	Count   int
	body    []byte
	entries []balancer.Server
}

// Read takes the next batch from r. It returns io.EOF only between frames.
func (f *Frame) Read(r io.Reader) error {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return errors.New("frame header cut short")
		}
		return err
	}
	size, count := int(le.Uint32(head[0:])), int(le.Uint32(head[4:]))
	f.Clock, f.Number, f.Count = balancer.Time(le.Uint64(head[8:])), le.Uint32(head[16:]), count
	if count > size/eventSize {
		return fmt.Errorf("batch %d: %d records do not fit in %d bytes", f.Number, count, size)
	}
	f.body = f.body[:0]
	for len(f.body) < size { // grow as data arrives: the length is not to be trusted
		n := min(size-len(f.body), max(1<<16, len(f.body)))
		at := len(f.body)
		if cap(f.body) < at+n {
			f.body = append(make([]byte, 0, 2*(at+n)), f.body...)
		}
		f.body = f.body[:at+n]
		if _, err := io.ReadFull(r, f.body[at:]); err != nil {
			return fmt.Errorf("batch %d: body cut short within %d bytes", f.Number, size)
		}
	}
	return nil
}

// Event is one record of a batch; its accessors read the fields of its code.
type Event struct {
	frame *Frame
	at    int
	rec   []byte
}

// Event gives the numbered record.
func (f *Frame) Event(i int) Event {
	return Event{f, i, f.body[i*eventSize : (i+1)*eventSize]}
}

// Code is the event's code, perhaps an unknown one.
func (e Event) Code() EventCode { return EventCode(e.rec[0]) }

// Instance is the instance concerned.
func (e Event) Instance() uint32 { return le.Uint32(e.rec[1:]) }

// ID is the request's id (all codes but begin, view, sampled and mail).
func (e Event) ID() balancer.RequestID { return balancer.RequestID(le.Uint64(e.rec[5:])) }

// Ref is a wake-up's reference, or a begin's seed.
func (e Event) Ref() uint64 { return le.Uint64(e.rec[5:]) }

// Attempt is a first byte's attempt.
func (e Event) Attempt() int { return int(le.Uint16(e.rec[13:])) }

// ListKind is a view's kind.
func (e Event) UpdateKind() (balancer.UpdateKind, error) {
	if e.rec[5] > uint8(balancer.UpdateFailed) {
		return 0, e.errorf("unknown kind of list %d", e.rec[5])
	}
	return balancer.UpdateKind(e.rec[5]), nil
}

func (e Event) errorf(format string, args ...any) error {
	return fmt.Errorf("batch %d, record %d: %s", e.frame.Number, e.at, fmt.Sprintf(format, args...))
}

// tail gives n items of size bytes each from the tail, at the offset and count stated at p.
func (e Event) tail(p, size int) ([]byte, error) {
	tail := e.frame.body[e.frame.Count*eventSize:]
	off, n := uint64(le.Uint32(e.rec[p:])), uint64(le.Uint32(e.rec[p+4:]))*uint64(size)
	if off+n > uint64(len(tail)) {
		return nil, e.errorf("%d bytes at %d lie outside the tail of %d", n, off, len(tail))
	}
	return tail[off : off+n], nil
}

// Settings is a begin's settings text.
func (e Event) Settings() ([]byte, error) { return e.tail(13, 1) }

// Mail is a message's sender and bytes.
func (e Event) PeerMessage() (int, []byte, error) {
	b, err := e.tail(7, 1)
	return int(le.Uint16(e.rec[5:])), b, err
}

// Entries is a view's list; it is overwritten by the next call on the frame.
func (e Event) Endpoints() ([]balancer.Server, error) {
	b, err := e.tail(10, entrySize)
	if err != nil {
		return nil, err
	}
	out := e.frame.entries[:0]
	for ; len(b) > 0; b = b[entrySize:] {
		out = append(out, balancer.Server{
			Cell: le.Uint16(b), StartedAt: balancer.Time(le.Uint64(b[2:])), ID: server(b[10:]),
			Weight: math.Float32frombits(le.Uint32(b[16:])), State: balancer.ServerState(b[20]), Kind: b[21], Zone: b[22],
		})
		if b[20] > uint8(balancer.Draining) {
			return nil, e.errorf("unknown availability %d", b[20])
		}
	}
	e.frame.entries = out
	return out, nil
}

// Request is an arriving request.
func (e Event) Request() balancer.Request {
	b := e.rec
	r := balancer.Request{
		ID: e.ID(), Timeout: duration(b[13:]), AffinityKey: le.Uint64(b[29:]),
		Class: int(le.Uint16(b[37:])), Tenant: int(le.Uint32(b[40:])), ClientRetry: b[39]&2 != 0,
	}
	if b[39]&1 != 0 {
		r.ExpectedWork = duration(b[21:])
	}
	return r
}

// Outcome is the end of an attempt.
func (e Event) Outcome() (balancer.Outcome, error) {
	b := e.rec
	res, err := e.result(le.Uint16(b[21:]))
	return balancer.Outcome{
		ID: e.ID(), Latency: duration(b[13:]), Result: res, RequestDone: b[23] != 0,
		Attempt: int(le.Uint16(b[24:])), Server: server(b[26:]), Load: load(b[32:]),
	}, err
}

// Probe is a probe's result.
func (e Event) HealthCheck() (balancer.HealthCheckResult, error) {
	b := e.rec
	res, err := e.result(le.Uint16(b[11:]))
	return balancer.HealthCheckResult{Server: server(b[5:]), Latency: duration(b[13:]), Result: res, Load: load(b[21:])}, err
}

func (e Event) result(v uint16) (balancer.Result, error) {
	if v < 10 || v > 80 || v%10 != 0 {
		return 0, e.errorf("unknown outcome %d", v)
	}
	return balancer.Result(v/10 - 1), nil
}

func duration(b []byte) time.Duration {
	return time.Duration(min(le.Uint64(b), 1<<62))
}

func load(b []byte) (l balancer.LoadReport) {
	l.N = min(int(b[0]), balancer.MaxLoadValues)
	for i := range l.N {
		l.Values[i] = math.Float32frombits(le.Uint32(b[1+4*i:]))
	}
	return l
}

func server(b []byte) balancer.ServerID {
	return balancer.ServerID(b[0])<<40 | balancer.ServerID(b[1])<<32 | balancer.ServerID(b[2])<<24 |
		balancer.ServerID(b[3])<<16 | balancer.ServerID(le.Uint16(b[4:]))
}

// Reply gathers the actions of one batch. Its buffers are reused after WriteTo.
type Reply struct {
	head, tail []byte
	count      uint32
}

// add appends a zeroed record and returns it.
func (r *Reply) add(code byte, who uint32) []byte {
	if len(r.head) == 0 {
		r.head = append(r.head, make([]byte, replyHeaderSize)...)
	}
	at := len(r.head)
	var zero [actionSize]byte
	r.head = append(r.head, zero[:]...)
	r.count++
	rec := r.head[at:]
	rec[0] = code
	le.PutUint32(rec[1:], who)
	return rec
}

func (r *Reply) withID(code byte, who uint32, id balancer.RequestID) []byte {
	rec := r.add(code, who)
	le.PutUint64(rec[5:], uint64(id))
	return rec
}

func (r *Reply) withText(code byte, who uint32, at int, text string) []byte {
	rec := r.add(code, who)
	le.PutUint32(rec[at:], uint32(len(r.tail)))
	le.PutUint32(rec[at+4:], uint32(len(text)))
	r.tail = append(r.tail, text...)
	return rec
}

func putServer(b []byte, s balancer.ServerID) {
	b[0], b[1], b[2], b[3] = byte(s>>40), byte(s>>32), byte(s>>24), byte(s>>16)
	le.PutUint16(b[4:], uint16(s))
}

// Assign sends an attempt.
func (r *Reply) Send(who uint32, id balancer.RequestID, to balancer.ServerID, cut balancer.Time) {
	rec := r.withID(actAssign, who, id)
	putServer(rec[13:], to)
	le.PutUint64(rec[19:], uint64(cut))
}

// Revoke calls an attempt off.
func (r *Reply) Cancel(who uint32, id balancer.RequestID, attempt int) {
	le.PutUint16(r.withID(actRevoke, who, id)[13:], uint16(attempt))
}

// Refuse rejects a request.
func (r *Reply) Reject(who uint32, id balancer.RequestID, after time.Duration) {
	le.PutUint64(r.withID(actRefuse, who, id)[13:], uint64(after))
}

// Fail fails a request.
func (r *Reply) Fail(who uint32, id balancer.RequestID) { r.withID(actFail, who, id) }

// Inspect probes a server.
func (r *Reply) CheckHealth(who uint32, s balancer.ServerID) {
	putServer(r.add(actInspect, who)[5:], s)
}

// CloseIdle closes the idle connections to a server.
func (r *Reply) CloseIdle(who uint32, s balancer.ServerID) {
	putServer(r.add(actCloseIdle, who)[5:], s)
}

// Arm sets a timer.
func (r *Reply) SetTimer(who uint32, after time.Duration, ref uint64) {
	rec := r.add(actArm, who)
	le.PutUint64(rec[5:], uint64(after))
	le.PutUint64(rec[13:], ref)
}

// Watch asks for changes of the list, or stops asking.
func (r *Reply) Watch(who uint32, on bool) {
	if rec := r.add(actWatch, who); on {
		rec[5] = 1
	}
}

// Resolve asks for the whole list once.
func (r *Reply) FetchEndpoints(who uint32) { r.add(actResolve, who) }

// WritePeer sends a message to one instance, or to AllPeers.
func (r *Reply) SendPeerMessage(who, peer uint32, data string) {
	le.PutUint32(r.withText(actWritePeer, who, 9, data)[5:], peer)
}

// Trace adds a line to the report.
func (r *Reply) Log(who uint32, text string) { r.withText(actTrace, who, 5, text) }

// GiveIn says that the decision code has failed.
func (r *Reply) ReportFault(who uint32, text string) { r.withText(actGiveIn, who, 5, text) }

// Write sends the reply to the numbered batch and empties it.
func (r *Reply) Write(w io.Writer, number uint32) error {
	if len(r.head) == 0 {
		r.head = append(r.head, make([]byte, replyHeaderSize)...)
	}
	r.head = append(r.head, r.tail...)
	le.PutUint32(r.head[0:], uint32(len(r.head)-replyHeaderSize))
	le.PutUint32(r.head[4:], r.count)
	le.PutUint32(r.head[8:], number)
	_, err := w.Write(r.head)
	r.head, r.tail, r.count = r.head[:0], r.tail[:0], 0
	return err
}
