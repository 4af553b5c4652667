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
	// gcPercent is the value of GOGC, in percent. It is high, so that garbage collection takes little processor time
	// until the heap is near the memory limit.
	gcPercent = 400
)

// applyLimits sets the limits of the Go runtime for a process that may use the given share of the node's memory, above
// 0 and at most 1. The processor cores are not divided between processes.
func applyLimits(c *protocol.Config, share float64) {
	runtime.GOMAXPROCS(max(int(c.Cores), 1))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * share * heapShare))
	debug.SetGCPercent(gcPercent)
}
