// Package cost measures what a process has used since its start, in one line: a node logs it, and the benchmarks of the
// request path read it from the log.
package cost

import (
	"fmt"
	"runtime"
	"syscall"
)

// Usage is what a process has used.
type Usage struct {
	// Allocations counts objects on the heap, the smallest included.
	Allocations uint64
	// AllocatedBytes counts their bytes.
	AllocatedBytes uint64
	// Collections counts the cycles of the garbage collector.
	Collections uint32
	// UserMicros is the processor time of the process's own code, of all threads, in microseconds.
	UserMicros int64
	// SystemMicros is the processor time of the kernel on its behalf, in microseconds.
	SystemMicros int64
}

// lineFormat is the form of the line that String writes and Parse reads.
const lineFormat = "allocations=%d allocated_bytes=%d gc_cycles=%d user_us=%d system_us=%d"

const nanosPerMicro = 1000

// Read returns the usage of this process. It stops the world for some ten microseconds, so that the counts are exact.
func Read() Usage {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	usage := Usage{
		Allocations:    memory.Mallocs,
		AllocatedBytes: memory.TotalAlloc,
		Collections:    memory.NumGC,
	}
	var times syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &times) == nil { // otherwise the times are 0
		usage.UserMicros = times.Utime.Nano() / nanosPerMicro
		usage.SystemMicros = times.Stime.Nano() / nanosPerMicro
	}
	return usage
}

// String implements fmt.Stringer.
func (u Usage) String() string {
	return fmt.Sprintf(lineFormat, u.Allocations, u.AllocatedBytes, u.Collections, u.UserMicros, u.SystemMicros)
}

// Parse parses what String wrote.
func Parse(text string) (Usage, error) {
	var u Usage
	_, err := fmt.Sscanf(text, lineFormat,
		&u.Allocations, &u.AllocatedBytes, &u.Collections, &u.UserMicros, &u.SystemMicros)
	if err != nil {
		return Usage{}, fmt.Errorf("cost %.80q: %w", text, err)
	}
	return u, nil
}

// Sub returns what was used after an earlier reading.
func (u Usage) Sub(earlier Usage) Usage {
	return Usage{
		Allocations:    u.Allocations - earlier.Allocations,
		AllocatedBytes: u.AllocatedBytes - earlier.AllocatedBytes,
		Collections:    u.Collections - earlier.Collections,
		UserMicros:     u.UserMicros - earlier.UserMicros,
		SystemMicros:   u.SystemMicros - earlier.SystemMicros,
	}
}

// Add returns the sum of two usages.
func (u Usage) Add(other Usage) Usage {
	return Usage{
		Allocations:    u.Allocations + other.Allocations,
		AllocatedBytes: u.AllocatedBytes + other.AllocatedBytes,
		Collections:    u.Collections + other.Collections,
		UserMicros:     u.UserMicros + other.UserMicros,
		SystemMicros:   u.SystemMicros + other.SystemMicros,
	}
}
