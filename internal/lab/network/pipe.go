package network

import (
	"math/rand/v2"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// packetKind is the kind of a packet.
type packetKind uint8

const (
	syn         packetKind = iota // requests a connection
	synAck                        // accepts the request
	refusal                       // rejects the request: nothing listens at the address
	data                          // carries bytes
	fin                           // ends the sending
	rst                           // resets the connection
	unknownConn                   // any packet of a connection that the receiving machine no longer knows
)

// packet is the unit that is delayed and delivered as a whole.
type packet struct {
	kind      packetKind
	arrivesAt time.Duration // earliest time of arrival; it never overtakes the packet before it
	bytes     []byte
	err       error // of rst: the error passed to the handler of a modelled service
}

// pipe is one direction of a connection. It delivers packets in the order in which they were enqueued.
type pipe struct {
	conn *conn
	side int // of the sender: 0 is the end that dialed

	queue        []packet // packets in flight, from index head on
	head         int      // index of the next packet to arrive
	timer        *loop.Timer
	deliverFunc  func()        // method value of deliverNext, allocated once
	busyUntil    time.Duration // end of the transmission of the bytes already sent, if the rate is limited
	blocked      bool          // a partition blocks the queue
	blockedSince time.Duration // start of the blocking

	bytesInFlight  int  // bytes of the packets in the queue
	dataAfterClose bool // bytes arrived at an end that was already closed

	jitterRand, pieceRand *rand.Rand
}

// streamName returns the name that separates the random numbers of this pipe from those of others.
func (p *pipe) streamName() string { return p.conn.id + [2]string{">", "<"}[p.side] }

// enqueue sends a packet, or drops it if a fault applies.
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

func (p *pipe) appendPacket(added packet) {
	p.bytesInFlight += len(added.bytes)
	p.queue = append(p.queue, added)
	p.startTimer()
}

// startTimer schedules the arrival of the first packet of the queue.
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
	first := p.queue[p.head]
	p.queue[p.head] = packet{}
	if p.head++; p.head == len(p.queue) {
		p.queue, p.head = p.queue[:0], 0
	}
	p.bytesInFlight -= len(first.bytes)
	p.conn.ends[1-p.side].receive(first)
	p.startTimer()
}

// dropAll drops all packets in flight.
func (p *pipe) dropAll() {
	p.timer.Stop()
	p.timer, p.queue, p.head, p.bytesInFlight, p.blocked = nil, nil, 0, 0, false
}

// receive processes a packet from the other end.
func (e *end) receive(received packet) {
	switch received.kind {
	case syn:
		e.conn.connect()
	case synAck:
		e.connected()
	case refusal:
		e.dialFailed(link.ErrRefused)
	case data:
		e.conn.net.observe(link.Arrived, e.conn, e.side == 0, received.bytes, "")
		e.conn.requestReceived(e.side)
		e.deliver(received.bytes)
	case fin:
		e.receiveFin()
	case rst:
		e.receiveReset(received.err)
	case unknownConn:
		e.receiveReset(link.ErrReset)
		e.send(rst, nil, link.ErrReset)
	}
}
