package path

// Counts are what the check of the path goes by, by name: numbers of things per request, which hardly hang
// on time or on what else the machine does. One that could not be counted is missing.
type Counts map[string]float64

// The names of the counts.
const (
	CountAllocations = "allocations"
	CountBytes       = "allocated_bytes"
	CountWrites      = "write_calls"  // to sockets
	CountCalls       = "system_calls" // that carry bytes or look for them, without the scheduler's
	CountCopied      = "copied_bytes" // between buffers
)

// countNames is their order in what is written.
var countNames = []string{CountAllocations, CountBytes, CountWrites, CountCalls, CountCopied}

// schedulerCalls are system calls that the Go runtime makes to share out time and memory: how many they are
// hangs on the machine. Those on an event counter wake its poller, and the log goes through a pipe.
var schedulerCalls = map[string]bool{
	"futex": true, "epoll_pwait": true, "nanosleep": true, "sched_yield": true, "tgkill": true, "getpid": true,
	"rt_sigreturn": true, "rt_sigprocmask": true, "sigaltstack": true, "clone": true, "mmap": true,
	"madvise": true, "timer_settime": true, "getrusage": true, "read [eventfd]": true,
	"write [eventfd]": true, "write pipe": true,
}

// computeCounts takes the counts out of a load's figures.
func (f *Figures) computeCounts() Counts {
	c := Counts{
		CountAllocations: f.Node.Allocations, CountBytes: f.Node.AllocatedBytes, CountWrites: f.Node.Writes,
	}
	if len(f.Calls) > 0 {
		c[CountWrites], _ = sumEntries(f.Calls, isSocketWrite)
		n, _ := sumEntries(f.Calls, func(name string) bool { return !schedulerCalls[name] })
		_, empty := sumEntries(f.Calls, isSocketRead) // these come too early by chance
		c[CountCalls] = n - empty
	}
	if len(f.Copiers) > 0 {
		_, c[CountCopied] = sumEntries(f.Copiers, nil)
	}
	return c
}

// perFunction is where a count falls, by function; nil where that is not known.
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
		case count == CountCalls && schedulerCalls[p.Name]:
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
