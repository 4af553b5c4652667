package transport

import (
	"slices"
	"time"
)

const (
	// maxClientSendBuffer is the number of bytes that a client may have written although its kernel has not sent them yet:
	// the largest send buffer that Linux gives a connection by default (net.ipv4.tcp_wmem).
	maxClientSendBuffer = 4 << 20
	// markStep is the number of arriving bytes after which the time is marked again.
	markStep = 256 << 10
)

// backpressure measures how long the body of a request was held back: the time in which the node read no bytes of the
// client because the server did not take those before. The client counts its time from its last byte, which may wait in
// the client's kernel meanwhile, out of the node's sight. backpressure bounds the time for which the last byte may have
// been held back: time before the client can have written it does not count.
type backpressure struct {
	length  int64         // of the body in bytes; -1: unknown
	arrived int64         // bytes that have arrived, read or not
	held    time.Duration // total time for which bytes were held back
	marks   []writeMark   // at least one, in ascending order
}

// writeMark bounds the number of bytes that the client can have written when a body had been held back for a time.
type writeMark struct {
	maxWritten int64
	held       time.Duration
}

// newBackpressure returns the measure of a body of which arrived bytes have been read.
func newBackpressure(length, arrived int64) backpressure {
	b := backpressure{length: length, arrived: arrived}
	b.mark()
	return b
}

// mark appends a mark.
func (b *backpressure) mark() {
	b.marks = append(b.marks, writeMark{b.arrived + markStep + maxClientSendBuffer, b.held})
}

// hold records that bytes were held back for a time.
func (b *backpressure) hold(d time.Duration) { b.held += d }

// restart records that the client has not written its last byte yet.
func (b *backpressure) restart() {
	b.marks = b.marks[:0]
	b.mark()
}

// arrive records the total number of bytes that have arrived.
func (b *backpressure) arrive(total int64) {
	if total <= b.arrived {
		return
	}
	b.arrived = total
	if last := b.marks[len(b.marks)-1]; b.arrived > last.maxWritten-maxClientSendBuffer {
		b.mark()
	}
	useless := 0
	for useless < len(b.marks)-1 && b.marks[useless].maxWritten < b.end() {
		useless++
	}
	b.marks = slices.Delete(b.marks, 0, useless)
}

// allArrived records that the client has written nothing more than what has arrived.
func (b *backpressure) allArrived() {
	for i := range b.marks {
		b.marks[i].maxWritten = min(b.marks[i].maxWritten, b.arrived)
	}
}

// end returns the length of the body as far as it is known.
func (b *backpressure) end() int64 { return max(b.length, b.arrived) }

// delay returns the longest time for which the last byte may have been held back; 0 if it cannot have been written.
func (b *backpressure) delay() time.Duration {
	if first := b.marks[0]; first.maxWritten >= b.end() {
		return b.held - first.held
	}
	return 0
}
