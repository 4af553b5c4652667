package transport

import "sync"

// buffers are bytes that are used again. A buffer has one owner: who took it, or
// whom that one has handed it to. The owner alone gives it back, once, and only
// when nobody reads or writes it any more; one who cannot tell drops it, and it
// is garbage. What is given back too early serves someone else's bytes.
type bufferPool struct{ classes [7]sync.Pool }

// buffer is bytes out of buffers.
type pooledBuffer struct {
	bytes []byte // as many as were asked for, or more
	class int    // its place in sizes; -1: too large to be kept
	pool  *bufferPool
}

// Of the smallest buffer, and beyond the power of two of each.
const (
	minBufferSize = 1 << 10
	headMargin    = 1 << 10 // so that a body with its head needs no buffer twice as large
)

// take gives a buffer of at least n bytes, of any content.
func (p *bufferPool) get(n int) *pooledBuffer {
	for i := range p.classes {
		if room := minBufferSize<<i + headMargin; n <= room {
			if b, ok := p.classes[i].Get().(*pooledBuffer); ok {
				return b
			}
			return &pooledBuffer{make([]byte, room), i, p}
		}
	}
	return &pooledBuffer{make([]byte, n), -1, p}
}

// give takes a buffer back from its owner.
func (p *bufferPool) put(b *pooledBuffer) {
	if b != nil && b.class >= 0 {
		p.classes[b.class].Put(b)
	}
}
