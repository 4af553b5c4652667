package network

import (
	"math/rand/v2"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// packetKind is what a parcel is.
type packetKind uint8

const (
	syn         packetKind = iota // asks for a connection
	synAck                        // grants it
	refusal                       // nobody listens
	data                          // bytes
	fin                           // no more of them
	rst                           // the connection is broken
	unknownConn                   // something of a connection that the machine there knows no more
)

// packet is what travels in one go.
type packet struct {
	kind      packetKind
	arrivesAt time.Duration // when it arrives, unless one before it comes later
	bytes     []byte
	err       error // of rst: what the world hears
}

// pipe is one direction of a connection. What is put into it arrives in order.
type pipe struct {
	conn *conn
	side int // of the sender

	queue        []packet // on their way
	head         int      // those before it have arrived
	timer        *loop.Timer
	deliverFunc  func()        // arrive, as a value made once
	busyUntil    time.Duration // until when the bytes before are being sent, where the rate is bounded
	blocked      bool          // a partition holds the queue up
	blockedSince time.Duration // when it began to

	bytesInFlight  int  // bytes in the queue
	dataAfterClose bool // bytes came where nobody was left to read them

	jitterRand, pieceRand *rand.Rand
}

// streamName tells the pipe's streams of random numbers apart.
func (p *pipe) streamName() string { return p.conn.id + [2]string{">", "<"}[p.side] }

// enqueue sends a parcel on its way, or loses it, as the faults have it.
func (p *pipe) enqueue(kind packetKind, bytes []byte, err error) {
	n, c := p.conn.net, p.conn
	if c.silent || len(n.vanished) > 0 && (n.vanished[c.from] || n.vanished[c.host]) {
		return
	}
	if c.stale && kind != rst {
		kind, bytes = unknownConn, nil
	}
	at := n.loop.Now()
	if n.config.Rate > 0 && len(bytes) > 0 {
		p.busyUntil = max(p.busyUntil, at) + figure.Seconds(float64(len(bytes))/n.config.Rate)
		at = p.busyUntil
	}
	at += p.delay()
	if parts := p.pieces(bytes); parts != nil {
		for i, part := range parts {
			if i > 0 {
				at += pieceGap(p.pieceRand)
			}
			p.appendPacket(packet{kind: kind, arrivesAt: at, bytes: part})
		}
		return
	}
	p.appendPacket(packet{kind: kind, arrivesAt: at, bytes: bytes, err: err})
}

func (p *pipe) appendPacket(x packet) {
	p.bytesInFlight += len(x.bytes)
	p.queue = append(p.queue, x)
	p.startTimer()
}

// startTimer sees to it that the first of the queue arrives.
func (p *pipe) startTimer() {
	if p.timer == nil && !p.blocked && p.head < len(p.queue) {
		if p.deliverFunc == nil {
			p.deliverFunc = p.deliverNext
		}
		p.timer = p.conn.net.loop.At(p.queue[p.head].arrivesAt, p.deliverFunc)
	}
}

func (p *pipe) deliverNext() {
	p.timer = nil
	if n := p.conn.net; len(n.partitions) > 0 && n.connPartitioned(p.conn) {
		p.blocked, p.blockedSince = true, n.loop.Now()
		return
	}
	x := p.queue[p.head]
	p.queue[p.head] = packet{}
	if p.head++; p.head == len(p.queue) {
		p.queue, p.head = p.queue[:0], 0
	}
	p.bytesInFlight -= len(x.bytes)
	p.conn.ends[1-p.side].receive(x)
	p.startTimer()
}

// dropAll loses what is on its way.
func (p *pipe) dropAll() {
	p.timer.Stop()
	p.timer, p.queue, p.head, p.bytesInFlight, p.blocked = nil, nil, 0, 0, false
}

// receive takes in what the other side sent.
func (e *end) receive(x packet) {
	switch x.kind {
	case syn:
		e.conn.connect()
	case synAck:
		e.connected()
	case refusal:
		e.dialFailed(link.ErrRefused)
	case data:
		e.conn.net.observe(link.Arrived, e.conn, e.side == 0, x.bytes, "")
		e.conn.requestReceived(e.side)
		e.deliver(x.bytes)
	case fin:
		e.receiveFin()
	case rst:
		e.receiveReset(x.err)
	case unknownConn:
		e.receiveReset(link.ErrReset)
		e.send(rst, nil, link.ErrReset)
	}
}
