package transport

import (
	"io"
	"sync"
)

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
type bufferPool struct {
	classes [bufferClassCount]sync.Pool
	// budget is charged for the buffers in use, except small ones; nil: their memory is not bounded.
	budget *MemoryBudget
}

// pooledBuffer is a buffer of a bufferPool.
type pooledBuffer struct {
	bytes []byte // at least as long as requested
	class int
	pool  *bufferPool
}

// get returns a buffer of at least n bytes with arbitrary content, also beyond the budget.
func (p *bufferPool) get(n int) *pooledBuffer {
	class, size := classOf(n)
	p.budget.charge(chargedBytes(size))
	return p.allocate(class, size)
}

// tryGet is get, but returns nil if the budget has no room for the buffer.
func (p *bufferPool) tryGet(n int) *pooledBuffer {
	class, size := classOf(n)
	if !p.budget.reserve(chargedBytes(size)) {
		return nil
	}
	return p.allocate(class, size)
}

// getUpTo returns a buffer of n bytes or, if the budget has no room for that, of minChargedBytes.
func (p *bufferPool) getUpTo(n int) *pooledBuffer {
	if b := p.tryGet(n); b != nil {
		return b
	}
	return p.get(min(n, minChargedBytes))
}

// classOf returns the class and the size of a buffer of at least n bytes.
func classOf(n int) (class, size int) {
	for class := range bufferClassCount {
		if size := minBufferSize<<class + headMargin; n <= size {
			return class, size
		}
	}
	return unpooledClass, n
}

// chargedBytes returns the bytes that a buffer of a size is charged.
func chargedBytes(size int) int64 {
	if size <= minChargedBytes+headMargin {
		return 0
	}
	return int64(size)
}

// allocate returns a buffer of a class, whose size is given because it varies in unpooledClass.
func (p *bufferPool) allocate(class, size int) *pooledBuffer {
	if class != unpooledClass {
		if b, ok := p.classes[class].Get().(*pooledBuffer); ok {
			return b
		}
	}
	return &pooledBuffer{bytes: make([]byte, size), class: class, pool: p}
}

// growingBuffer collects bytes of an unknown number in buffers of a pool.
type growingBuffer struct {
	pool   *bufferPool
	buffer *pooledBuffer // contains bytes; nil: there are none
	bytes  []byte
}

// grow makes room for further bytes unless there is some. It reports false if the budget has none.
func (g *growingBuffer) grow() bool {
	if g.buffer != nil && len(g.bytes) < len(g.buffer.bytes) {
		return true
	}
	larger := g.pool.tryGet(len(g.bytes) + max(len(g.bytes), 1))
	if larger == nil {
		return false
	}
	copied := copy(larger.bytes, g.bytes)
	g.pool.put(g.buffer)
	g.buffer = larger
	g.bytes = larger.bytes[:copied]
	return true
}

// readFrom reads once into the room that there is.
func (g *growingBuffer) readFrom(r io.Reader) error {
	n, err := r.Read(g.buffer.bytes[len(g.bytes):])
	g.bytes = g.buffer.bytes[:len(g.bytes)+n]
	return err
}

// free returns the buffer to the pool. The bytes must not be used afterwards.
func (g *growingBuffer) free() {
	g.pool.put(g.buffer)
	g.buffer = nil
	g.bytes = nil
}

// put returns a buffer to the pool. Only its owner may call it; nil is ignored.
func (p *bufferPool) put(b *pooledBuffer) {
	if b == nil {
		return
	}
	p.budget.release(chargedBytes(len(b.bytes)))
	if b.class != unpooledClass {
		p.classes[b.class].Put(b)
	}
}
