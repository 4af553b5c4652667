package transport

import "sync"

const (
	// minBufferSize is the buffer size of the smallest class, in bytes, before headMargin. Each further class is twice as
	// large.
	minBufferSize = 1 << 10
	// headMargin is the space for a message head that is added to each class, in bytes. Without it, a body whose length is
	// a power of two would need, together with its head, a buffer twice as large.
	headMargin = 1 << 10
	// bufferClassCount is the number of classes. Larger buffers are not pooled but left to the garbage collector.
	bufferClassCount = 7
	// unpooledClass is the class of buffers that are too large to be pooled.
	unpooledClass = -1
)

// bufferPool keeps buffers for reuse. Each buffer has one owner: the caller of get, or the code to which the owner has
// passed the buffer. Only the owner may return the buffer with put, once, after the last read and write. An owner that
// cannot tell whether the buffer is still in use drops it for the garbage collector: a buffer returned too early would
// be overwritten with the bytes of another message.
type bufferPool struct{ classes [bufferClassCount]sync.Pool }

// pooledBuffer is a buffer of a bufferPool.
type pooledBuffer struct {
	bytes []byte // at least as long as requested
	class int
	pool  *bufferPool
}

// get returns a buffer of at least n bytes with arbitrary content.
func (p *bufferPool) get(n int) *pooledBuffer {
	for class := range p.classes {
		size := minBufferSize<<class + headMargin
		if n > size {
			continue
		}
		if b, ok := p.classes[class].Get().(*pooledBuffer); ok {
			return b
		}
		return &pooledBuffer{bytes: make([]byte, size), class: class, pool: p}
	}
	return &pooledBuffer{bytes: make([]byte, n), class: unpooledClass, pool: p}
}

// put returns a buffer to the pool. Only its owner may call it; nil is ignored.
func (p *bufferPool) put(b *pooledBuffer) {
	if b != nil && b.class != unpooledClass {
		p.classes[b.class].Put(b)
	}
}
