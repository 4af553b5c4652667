package program

import (
	"runtime"
	"runtime/debug"

	"olivebridge/internal/protocol"
)

const (
	// heapShare is the share of the memory limit that the Go runtime may use. The rest is for what it does not count.
	heapShare = 0.7
	// gcPercent lets the heap grow up to that limit before it costs processor time.
	gcPercent = 400
)

// applyLimits keeps the process to its share of the node's machine.
func applyLimits(c *protocol.Config, share float64) {
	runtime.GOMAXPROCS(max(int(c.Cores), 1))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * share * heapShare))
	debug.SetGCPercent(gcPercent)
}
