// Package cost measures the resources that a process has used since its start: allocations, garbage collections and
// processor time. A node logs them as one line, which the benchmarks of the request path read from the log.
package cost

import (
	"fmt"
	"runtime"
	"syscall"
)

// Usage is the resource usage of a process.
type Usage struct {
	// Allocations is the number of heap objects allocated, including the smallest ones.
	Allocations uint64
	// AllocatedBytes is the number of bytes of these objects.
	AllocatedBytes uint64
	// Collections is the number of completed garbage collection cycles.
	Collections uint32
	// UserMicros is the processor time of all threads in user mode, in microseconds.
	UserMicros int64
	// SystemMicros is the processor time of all threads in kernel mode, in microseconds.
	SystemMicros int64
}

// lineFormat is the format of the line that String writes and Parse reads.
const lineFormat = "allocations=%d allocated_bytes=%d gc_cycles=%d user_us=%d system_us=%d"

const nanosPerMicro = 1000

// Read returns the usage of this process since its start. It stops all goroutines for some ten microseconds to read
// exact counts.
func Read() Usage {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	usage := Usage{
		Allocations:    memory.Mallocs,
		AllocatedBytes: memory.TotalAlloc,
		Collections:    memory.NumGC,
	}
	var times syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &times) == nil { // on an error the times stay 0
		usage.UserMicros = times.Utime.Nano() / nanosPerMicro
		usage.SystemMicros = times.Stime.Nano() / nanosPerMicro
	}
	return usage
}

// String implements fmt.Stringer.
func (u Usage) String() string {
	return fmt.Sprintf(lineFormat, u.Allocations, u.AllocatedBytes, u.Collections, u.UserMicros, u.SystemMicros)
}

// Parse parses a line that String has written.
func Parse(text string) (Usage, error) {
	var u Usage
	_, err := fmt.Sscanf(text, lineFormat,
		&u.Allocations, &u.AllocatedBytes, &u.Collections, &u.UserMicros, &u.SystemMicros)
	if err != nil {
		return Usage{}, fmt.Errorf("cost %.80q: %w", text, err)
	}
	return u, nil
}

// Sub returns the usage between an earlier reading and u.
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
