package path

// Counts are the numbers that the check compares, per request and by name. They hardly depend on time or on other load
// of the machine. A count that could not be measured is missing.
type Counts map[string]float64

// The names of the counts.
const (
	CountAllocations = "allocations"
	CountBytes       = "allocated_bytes"
	CountWrites      = "write_calls" // system calls that write to sockets
	// CountCalls is without schedulerCalls, reads of sockets that found no data, and what depends on time: see timed.go.
	CountCalls  = "system_calls"
	CountCopied = "copied_bytes" // bytes copied between buffers, without periodicWork
)

// countNames lists the counts in the order in which they are written.
var countNames = []string{CountAllocations, CountBytes, CountWrites, CountCalls, CountCopied}

// schedulerCalls are the system calls by which the Go runtime schedules goroutines and manages memory. Their number
// depends on the machine. Reads and writes of an eventfd wake the runtime's poller, and writes to a pipe carry the
// log.
var schedulerCalls = map[string]bool{
	"futex": true, "epoll_pwait": true, "nanosleep": true, "sched_yield": true, "tgkill": true, "getpid": true,
	"rt_sigreturn": true, "rt_sigprocmask": true, "sigaltstack": true, "clone": true, "mmap": true,
	"madvise": true, "timer_settime": true, "getrusage": true, "read [eventfd]": true,
	"write [eventfd]": true, "write pipe": true,
}

// computeCounts returns the counts of a load's figures.
func (f *Figures) computeCounts() Counts {
	c := Counts{
		CountAllocations: f.Node.Allocations, CountBytes: f.Node.AllocatedBytes, CountWrites: f.Node.Writes,
	}
	if len(f.Calls) > 0 {
		c[CountWrites], _ = sumEntries(f.Calls, isSocketWrite)
		n, _ := sumEntries(f.Calls, func(name string) bool { return !schedulerCalls[name] && dependsOnRequests(name) })
		_, empty := sumEntries(f.Calls, isSocketRead) // the number of reads that are too early varies by chance
		c[CountCalls] = n - empty
	}
	if len(f.Copiers) > 0 {
		_, c[CountCopied] = sumEntries(f.Copiers, dependsOnRequests)
	}
	return c
}

// perFunction returns a count by function (or by system call for CountCalls). It is empty if the functions are not
// known.
func (f *Figures) perFunction(count string) map[string]float64 {
	entries, bySum := []Entry(nil), false
	switch count {
	case CountAllocations:
		entries = f.Allocators
	case CountBytes:
		entries, bySum = f.Allocators, true
	case CountWrites:
		entries = f.Writers
	case CountCalls:
		entries = f.Calls
	case CountCopied:
		entries, bySum = f.Copiers, true
	}
	by := map[string]float64{}
	for _, p := range entries {
		switch {
		case !dependsOnRequests(p.Name) || count == CountCalls && schedulerCalls[p.Name]:
		case count == CountCalls && isSocketRead(p.Name):
			by[p.Name] = p.Count - p.Sum
		case bySum:
			by[p.Name] = p.Sum
		default:
			by[p.Name] = p.Count
		}
	}
	return by
}
