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

// envAllocations is the environment variable with the path of the profile's file; unset: no profile is written.
const envAllocations = "OLIVEBRIDGE_ALLOCATIONS"

// initialRecordCount is the number of records for which the first attempt to read the profile has space.
const initialRecordCount = 4096

// writeAllocationProfile writes all allocations since the start of the process to the file that envAllocations names.
// Each line has one call stack: the number of objects, the number of bytes and the functions, innermost first. The
// benchmarks of the request path read the file. The counts are exact with GODEBUG=memprofilerate=1.
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
	for range 2 { // the profile lacks allocations made since the second-to-last garbage collection
		runtime.GC()
	}
	records := make([]runtime.MemProfileRecord, initialRecordCount)
	for {
		count, ok := runtime.MemProfile(records, true)
		if ok {
			return records[:count]
		}
		records = make([]runtime.MemProfileRecord, 2*count)
	}
}

// writeAllocationRecord writes the line of one record. It ignores errors of out, which the caller's flush reports.
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
