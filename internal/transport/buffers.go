package transport

import "sync"

// buffers are bytes that are used again. A buffer has one owner: who took it, or
// whom that one has handed it to. The owner alone gives it back, once, and only
// when nobody reads or writes it any more; one who cannot tell drops it, and it
// is garbage. What is given back too early serves someone else's bytes.
type buffers struct{ sizes [7]sync.Pool }

// buffer is bytes out of buffers.
type buffer struct {
	b    []byte // as many as were asked for, or more
	size int    // its place in sizes; -1: too large to be kept
	home *buffers
}

// Of the smallest buffer, and beyond the power of two of each.
const (
	smallest   = 1 << 10
	headMargin = 1 << 10 // so that a body with its head needs no buffer twice as large
)

// take gives a buffer of at least n bytes, of any content.
func (p *buffers) take(n int) *buffer {
	for i := range p.sizes {
		if room := smallest<<i + headMargin; n <= room {
			if b, ok := p.sizes[i].Get().(*buffer); ok {
				return b
			}
			return &buffer{make([]byte, room), i, p}
		}
	}
	return &buffer{make([]byte, n), -1, p}
}

// give takes a buffer back from its owner.
func (p *buffers) give(b *buffer) {
	if b != nil && b.size >= 0 {
		p.sizes[b.size].Put(b)
	}
}
