package transport

import (
	"errors"
	"fmt"
	"sync/atomic"
)

const (
	// minChargedBytes is the size from which heads and buffers are charged to a MemoryBudget. Every connection may have
	// some that are smaller; the limits of connections bound these.
	minChargedBytes = 4 << 10
	// headCostFactor is the memory that each byte of a head costs: its strings, and the head and the head room of its
	// message.
	headCostFactor = 4
	// uploadMemory is the memory for a request body that is streamed, beside its buffers: goroutines, and the writer to
	// the server.
	uploadMemory = 32 << 10
	// pressureNumerator and pressureDenominator are the fraction of a budget from which stalled requests are evicted.
	pressureNumerator   = 3
	pressureDenominator = 4
)

// errNoMemory reports that a MemoryBudget has no room for a request. The request was not forwarded.
var errNoMemory = errors.New("no memory for the request")

// MemoryBudget bounds the memory for the bytes of messages: heads, bodies, answers and the buffers of long messages.
// Connections are limited in number, but each may cost hundreds of kilobytes. All connections of a node draw on one
// budget. What cannot be refused, such as the response to a call that has run, is passed on in small parts instead. A
// nil MemoryBudget has no bound.
type MemoryBudget struct {
	limit    atomic.Int64 // in bytes
	inUse    atomic.Int64
	refusals atomic.Int64 // number of reservations that were refused
}

// NewMemoryBudget returns a budget of a number of bytes.
func NewMemoryBudget(limit int64) *MemoryBudget {
	b := new(MemoryBudget)
	b.SetLimit(limit)
	return b
}

// SetLimit changes the number of bytes. Bytes in use beyond it stay in use until they are released.
func (b *MemoryBudget) SetLimit(limit int64) { b.limit.Store(limit) }

// String returns the bytes in use, the limit and the number of refusals, as name=value pairs on one line.
func (b *MemoryBudget) String() string {
	if b == nil {
		return "unlimited"
	}
	return fmt.Sprintf("in_use=%d limit=%d refused=%d", b.inUse.Load(), b.limit.Load(), b.refusals.Load())
}

// reserve reserves bytes if there is room for them, and reports whether there is.
func (b *MemoryBudget) reserve(bytes int64) bool {
	if b == nil || bytes == 0 {
		return true
	}
	if b.inUse.Add(bytes) <= b.limit.Load() {
		return true
	}
	b.inUse.Add(-bytes)
	b.refusals.Add(1)
	return false
}

// hasRoom reports whether there is room for bytes, which the caller charges at once.
func (b *MemoryBudget) hasRoom(bytes int64) bool {
	if !b.reserve(bytes) {
		return false
	}
	b.release(bytes)
	return true
}

// charge reserves bytes even if there is no room for them.
func (b *MemoryBudget) charge(bytes int64) {
	if b != nil {
		b.inUse.Add(bytes)
	}
}

// release returns bytes.
func (b *MemoryBudget) release(bytes int64) {
	if b != nil {
		b.inUse.Add(-bytes)
	}
}

// underPressure reports whether little of the budget is left.
func (b *MemoryBudget) underPressure() bool {
	return b != nil && b.inUse.Load()*pressureDenominator > b.limit.Load()*pressureNumerator
}

// exceeded reports whether more bytes are in use than the budget allows.
func (b *MemoryBudget) exceeded() bool { return b != nil && b.inUse.Load() > b.limit.Load() }

// headCost returns the memory that is charged for a head of a number of bytes.
func headCost(bytes int) int64 {
	return int64(max(bytes-minChargedBytes, 0)) * headCostFactor
}
