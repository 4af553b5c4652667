package program

import (
	"runtime"
	"runtime/debug"

	"olivebridge/internal/protocol"
)

const (
	// heapShare is the fraction of the process's memory limit that the Go runtime may use. The rest is for memory that
	// the runtime does not count.
	heapShare = 0.7
	// programMemory is the memory of a process, in bytes, that the runtime's limit does not cover, however little memory
	// the process may use: mostly the program's code.
	programMemory = 12 << 20
	// smallHeapShare is the fraction of the memory beyond programMemory that the Go runtime may use.
	smallHeapShare = 0.9
	// gcPercent is the value of GOGC, in percent. It is high, so that garbage collection takes little processor time
	// until the heap is near the memory limit.
	gcPercent = 400
)

// applyLimits sets the limits of the Go runtime for a process that may use the given share of the node's memory, above
// 0 and at most 1. The processor cores are not divided between processes.
func applyLimits(c *protocol.Config, share float64) {
	runtime.GOMAXPROCS(max(int(c.Cores), 1))
	memory := float64(c.MemoryMB<<20) * share
	limit := int64(min(memory*heapShare, max(memory-programMemory, 0)*smallHeapShare))
	lowered := limit < debug.SetMemoryLimit(limit)
	debug.SetGCPercent(gcPercent)
	if lowered && share < 1 {
		debug.FreeOSMemory() // the node's other process needs the memory now
	}
}
