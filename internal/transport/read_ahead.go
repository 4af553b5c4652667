package transport

import "sync/atomic"

// readAheadBudget bounds the memory for the bytes of request bodies that are read although their servers do not take
// them yet. All bodies of a node share it.
type readAheadBudget struct {
	limit atomic.Int64 // in bytes; 0: nothing is read ahead
	inUse atomic.Int64
}

// acquire reserves memory for one part of a body, and reports whether the budget has room for it.
func (b *readAheadBudget) acquire() bool {
	if b.inUse.Add(streamBufferSize) <= b.limit.Load() {
		return true
	}
	b.release()
	return false
}

// release returns the memory of one part.
func (b *readAheadBudget) release() { b.inUse.Add(-streamBufferSize) }

// bodyPart is a part of a body that was read ahead.
type bodyPart struct {
	bytes  []byte
	buffer *pooledBuffer // holds bytes, and is charged to the budget
}
