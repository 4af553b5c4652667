package transport

import "sync"

const (
	// minBufferSize is the size of the smallest class of buffers, in bytes; each further class is twice as large.
	minBufferSize = 1 << 10
	// headMargin is added to each class, so that a body of a power of two with its head needs no buffer twice as large.
	headMargin = 1 << 10
	// bufferClasses is how many classes there are. Larger buffers are left to the garbage collector.
	bufferClasses = 7
	// unpooledClass is the class of those.
	unpooledClass = -1
)

// bufferPool holds buffers that are used again. A buffer has one owner: who took it, or whom that one has handed it
// to. The owner alone gives it back, once, and only when nobody reads or writes it any more; one who cannot tell
// drops it, and it is garbage. What is given back too early serves someone else's bytes.
type bufferPool struct{ classes [bufferClasses]sync.Pool }

// pooledBuffer is bytes out of a bufferPool.
type pooledBuffer struct {
	bytes []byte // as many as were asked for, or more
	class int
	pool  *bufferPool
}

// get returns a buffer of at least n bytes, of any content.
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

// put takes a buffer back from its owner; nil is none.
func (p *bufferPool) put(b *pooledBuffer) {
	if b != nil && b.class != unpooledClass {
		p.classes[b.class].Put(b)
	}
}
