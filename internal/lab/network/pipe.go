package network

import (
	"math/rand/v2"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// kind is what a parcel is.
type kind uint8

const (
	syn     kind = iota // asks for a connection
	synAck              // grants it
	refusal             // nobody listens
	data                // bytes
	fin                 // no more of them
	rst                 // the connection is broken
	stray               // something of a connection that the machine there knows no more
)

// parcel is what travels in one go.
type parcel struct {
	kind  kind
	at    time.Duration // when it arrives, unless one before it comes later
	bytes []byte
	err   error // of rst: what the world hears
}

// pipe is one direction of a connection. What is put into it arrives in order.
type pipe struct {
	c    *conn
	side int // of the sender

	queue []parcel // on their way
	head  int      // those before it have arrived
	next  *loop.Timer
	turn  func()        // arrive, as a value made once
	busy  time.Duration // until when the bytes before are being sent, where the rate is bounded
	stuck bool          // a partition holds the queue up
	since time.Duration // when it began to

	flying  int  // bytes in the queue
	refused bool // bytes came where nobody was left to read them

	jitter, cutter *rand.Rand
}

// name tells the pipe's streams of random numbers apart.
func (p *pipe) name() string { return p.c.id + [2]string{">", "<"}[p.side] }

// put sends a parcel on its way, or loses it, as the faults have it.
func (p *pipe) put(kind kind, bytes []byte, err error) {
	n, c := p.c.n, p.c
	if c.silent || len(n.absent) > 0 && (n.absent[c.from] || n.absent[c.host]) {
		return
	}
	if c.stale && kind != rst {
		kind, bytes = stray, nil
	}
	at := n.loop.Now()
	if n.c.Rate > 0 && len(bytes) > 0 {
		p.busy = max(p.busy, at) + figure.Seconds(float64(len(bytes))/n.c.Rate)
		at = p.busy
	}
	at += p.delay()
	if parts := p.pieces(bytes); parts != nil {
		for i, part := range parts {
			if i > 0 {
				at += gap(p.cutter)
			}
			p.append(parcel{kind: kind, at: at, bytes: part})
		}
		return
	}
	p.append(parcel{kind: kind, at: at, bytes: bytes, err: err})
}

func (p *pipe) append(x parcel) {
	p.flying += len(x.bytes)
	p.queue = append(p.queue, x)
	p.arm()
}

// arm sees to it that the first of the queue arrives.
func (p *pipe) arm() {
	if p.next == nil && !p.stuck && p.head < len(p.queue) {
		if p.turn == nil {
			p.turn = p.arrive
		}
		p.next = p.c.n.loop.At(p.queue[p.head].at, p.turn)
	}
}

func (p *pipe) arrive() {
	p.next = nil
	if n := p.c.n; len(n.cuts) > 0 && n.parted(p.c) {
		p.stuck, p.since = true, n.loop.Now()
		return
	}
	x := p.queue[p.head]
	p.queue[p.head] = parcel{}
	if p.head++; p.head == len(p.queue) {
		p.queue, p.head = p.queue[:0], 0
	}
	p.flying -= len(x.bytes)
	p.c.ends[1-p.side].arrived(x)
	p.arm()
}

// clear loses what is on its way.
func (p *pipe) clear() {
	p.next.Stop()
	p.next, p.queue, p.head, p.flying, p.stuck = nil, nil, 0, 0, false
}

// arrived takes in what the other side sent.
func (e *end) arrived(x parcel) {
	switch x.kind {
	case syn:
		e.c.connect()
	case synAck:
		e.granted()
	case refusal:
		e.failed(link.ErrRefused)
	case data:
		e.c.n.see(link.Arrived, e.c, e.side == 0, x.bytes, "")
		e.c.asked(e.side)
		e.take(x.bytes)
	case fin:
		e.heardEnd()
	case rst:
		e.broken(x.err)
	case stray:
		e.broken(link.ErrReset)
		e.send(rst, nil, link.ErrReset)
	}
}
