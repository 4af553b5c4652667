//go:build meter

package program

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
)

// envAllocations names the file of the profile; unset: none is written.
const envAllocations = "OLIVEBRIDGE_ALLOCATIONS"

// firstProfileLength is how many records are asked for at first.
const firstProfileLength = 4096

// writeAllocationProfile writes all allocations since the start to a file, a line for each place: objects, bytes, and
// the stack, the innermost function first. The benchmarks of the request path read it; it is exact with
// GODEBUG=memprofilerate=1.
func writeAllocationProfile() error {
	path := os.Getenv(envAllocations)
	if path == "" {
		return nil
	}
	records := allocationRecords()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(file)
	for _, record := range records {
		writeAllocationRecord(out, record)
	}
	return errors.Join(out.Flush(), file.Close())
}

func allocationRecords() []runtime.MemProfileRecord {
	for range 2 { // what was allocated since the last collection but one is not in the profile yet
		runtime.GC()
	}
	records := make([]runtime.MemProfileRecord, firstProfileLength)
	for {
		count, ok := runtime.MemProfile(records, true)
		if ok {
			return records[:count]
		}
		records = make([]runtime.MemProfileRecord, 2*count)
	}
}

// writeAllocationRecord leaves errors to the flush of out.
func writeAllocationRecord(out io.Writer, record runtime.MemProfileRecord) {
	_, _ = fmt.Fprintf(out, "%d %d ", record.AllocObjects, record.AllocBytes)
	frames := runtime.CallersFrames(record.Stack())
	for more := true; more; {
		var frame runtime.Frame
		frame, more = frames.Next()
		_, _ = fmt.Fprintf(out, "%s;", frame.Function)
	}
	_, _ = fmt.Fprintln(out)
}
