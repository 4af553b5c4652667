// Package cost tells what a process has used up since its start, in one line: a node's log has it, and
// the meter of the path reads it from there.
package cost

import (
	"fmt"
	"runtime"
	"syscall"
)

// Used is what a process has used up.
type Usage struct {
	Allocations    uint64 // objects on the heap, the smallest included
	AllocatedBytes uint64
	Collections    uint32 // of garbage
	UserMicros     int64  // processor time of its own code, all threads
	SystemMicros   int64  // processor time of the kernel on its behalf
}

// form is the one form of the line.
const form = "allocations=%d allocated_bytes=%d gc_cycles=%d user_us=%d system_us=%d"

// Now asks for this process. It stops the world for some ten microseconds, so that the counts are exact.
func Read() Usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u := Usage{Allocations: m.Mallocs, AllocatedBytes: m.TotalAlloc, Collections: m.NumGC}
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil { // without it the times are 0
		u.UserMicros, u.SystemMicros = r.Utime.Nano()/1e3, r.Stime.Nano()/1e3
	}
	return u
}

func (u Usage) String() string {
	return fmt.Sprintf(form, u.Allocations, u.AllocatedBytes, u.Collections, u.UserMicros, u.SystemMicros)
}

// Parse reads what String wrote.
func Parse(s string) (u Usage, err error) {
	_, err = fmt.Sscanf(s, form, &u.Allocations, &u.AllocatedBytes, &u.Collections, &u.UserMicros,
		&u.SystemMicros)
	if err != nil {
		return Usage{}, fmt.Errorf("cost %.80q: %w", s, err)
	}
	return u, nil
}

// Since is what was used up after an earlier time.
func (u Usage) Sub(old Usage) Usage {
	return Usage{u.Allocations - old.Allocations, u.AllocatedBytes - old.AllocatedBytes,
		u.Collections - old.Collections, u.UserMicros - old.UserMicros, u.SystemMicros - old.SystemMicros}
}

// And adds what else was used up.
func (u Usage) Add(more Usage) Usage {
	return Usage{u.Allocations + more.Allocations, u.AllocatedBytes + more.AllocatedBytes,
		u.Collections + more.Collections, u.UserMicros + more.UserMicros, u.SystemMicros + more.SystemMicros}
}
