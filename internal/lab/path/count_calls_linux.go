package path

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Constants of ptrace(2) and wait4(2) that package syscall lacks.
const (
	ptraceSeize       = 0x4206
	ptraceInterrupt   = 0x4207
	ptraceSyscallInfo = 0x420e
	waitOwnTracees    = 0x20000000 // __WNOTHREAD: wait only for tracees of this thread, not for other children
	syscallStop       = syscall.SIGTRAP | 0x80
	optionKillAtExit  = 0x100000 // PTRACE_O_EXITKILL: the tracees are killed if the tracer exits
)

// tracer counts the system calls of a child's threads or their copies between buffers. It stops the thread at each of
// them, which slows the child down and changes only the counts that depend on time. On Linux, an ordinary user may
// trace his own child processes.
type tracer struct {
	pid         int
	memory      *os.File     // memory of the child
	stackReader *stackReader // nil if functions cannot be determined
	countCopies bool         // count copies instead of system calls
	done        chan struct{}

	mu    sync.Mutex
	tally tally

	// The following fields are used only by the tracing goroutine.

	pendingCalls map[int]callInfo     // the system call that each thread is in
	lastReads    map[uint64]time.Time // end of the last read that brought bytes, by file descriptor
	copyEntry    [copyEntrySize]byte  // the instruction that the breakpoint has replaced, if countCopies is true
}

// callInfo describes a system call.
type callInfo struct {
	name     string
	function string // the function that it is attributed to; "" if it is not attributed
	fd       uint64 // the first argument, which is a file descriptor for reads
}

// startTracer starts counting in all threads of a child. The tracer ends when the child ends.
func startTracer(pid int, s *stackReader, copies bool) (*tracer, error) {
	t := &tracer{pid: pid, stackReader: s, countCopies: copies, done: make(chan struct{}), tally: newTally(),
		pendingCalls: map[int]callInfo{}, lastReads: map[uint64]time.Time{}}
	mem, err := os.OpenFile(fmt.Sprintf("/proc/%d/mem", pid), os.O_RDWR, 0)
	if err != nil {
		return nil, fmt.Errorf("tracing: %w", err)
	}
	t.memory = mem
	ready := make(chan error, 1)
	go func() {
		defer func() { _ = mem.Close() }()
		runtime.LockOSThread() // ptrace is tied to a thread; the locked thread exits with the goroutine
		defer close(t.done)
		err := t.attach()
		ready <- err
		if err == nil {
			t.run()
		}
	}()
	if err := <-ready; err != nil {
		return nil, fmt.Errorf("tracing: %w", err)
	}
	return t, nil
}

// snapshot returns a copy of the counts so far.
func (t *tracer) snapshot() tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := newTally()
	maps.Copy(s.calls, t.tally.calls)
	maps.Copy(s.writers, t.tally.writers)
	maps.Copy(s.copiers, t.tally.copiers)
	return s
}

// attach attaches to all threads of the child. Threads created later are attached automatically (PTRACE_O_TRACECLONE).
func (t *tracer) attach() error {
	attached := map[int]bool{}
	for more := true; more; {
		more = false
		threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", t.pid))
		if err != nil {
			return err
		}
		for _, entry := range threads {
			tid, err := strconv.Atoi(entry.Name())
			if err != nil || attached[tid] {
				continue
			}
			attached[tid], more = true, true
			const options = syscall.PTRACE_O_TRACESYSGOOD | syscall.PTRACE_O_TRACECLONE | optionKillAtExit
			err = ptrace(ptraceSeize, tid, 0, options)
			switch {
			case errors.Is(err, syscall.ESRCH): // the thread has ended
			case errors.Is(err, syscall.EPERM) && len(attached) > 1: // attached when it was created
			case err != nil:
				return err
			default:
				_ = ptrace(ptraceInterrupt, tid, 0, 0) // fails only if the thread has ended
			}
		}
	}
	if t.countCopies {
		return t.setCopyBreakpoint()
	}
	return nil
}

// run handles the stops of the threads until all have ended.
func (t *tracer) run() {
	resume := syscall.PTRACE_SYSCALL
	if t.countCopies {
		resume = syscall.PTRACE_CONT
	}
	for {
		var status syscall.WaitStatus
		tid, err := syscall.Wait4(-1, &status, syscall.WALL|waitOwnTracees, nil)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return
		case !status.Stopped():
			continue
		}
		deliver := 0
		switch signal, event := status.StopSignal(), int(status)>>16; {
		case signal == syscallStop:
			t.handleSyscallStop(tid)
		case event != 0: // stopped by attach, or a new thread
		case signal == syscall.SIGTRAP && t.countCopies && t.handleCopy(tid):
		default:
			deliver = int(signal)
		}
		_ = ptrace(resume, tid, 0, uintptr(deliver)) // fails only if the thread was killed
	}
}

// syscallInfo is struct ptrace_syscall_info of the kernel.
type syscallInfo struct {
	op             uint8 // 1: entry of a system call, 2: exit
	_              [3]uint8
	_              uint32
	ip, sp         uint64
	numberOrResult uint64 // number of the call on entry, its result on exit
	args           [8]uint64
}

// handleSyscallStop handles a stop of a thread at the entry or exit of a system call. Calls are counted on exit.
func (t *tracer) handleSyscallStop(tid int) {
	var s syscallInfo
	err := ptrace(ptraceSyscallInfo, tid, unsafe.Sizeof(s), uintptr(unsafe.Pointer(&s)))
	switch {
	case err != nil:
	case s.op == 1:
		t.pendingCalls[tid] = t.describeCall(tid, s)
	case s.op == 2:
		in, ok := t.pendingCalls[tid]
		if !ok { // the thread was in the call when tracing started
			return
		}
		delete(t.pendingCalls, tid)
		empty := 0.0
		switch result := int64(s.numberOrResult); {
		case syscall.Errno(-result) == syscall.EAGAIN:
			empty = 1
		case result > 0 && isSocketRead(in.name):
			t.lastReads[in.fd] = time.Now()
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		addCount(t.tally.calls, in.name, empty)
		if in.function != "" {
			addCount(t.tally.writers, in.function, empty)
		}
	}
}

// addCount adds one event with the given sum to the count of name.
func addCount(to map[string]count, name string, sum float64) {
	c := to[name]
	to[name] = count{c.n + 1, c.sum + sum}
}

// describeCall names a system call by its number and, for reads and writes, by the kind of its file.
func (t *tracer) describeCall(tid int, s syscallInfo) callInfo {
	name, ok := syscallNames[s.numberOrResult]
	if !ok {
		name = fmt.Sprintf("call %d", s.numberOrResult)
	}
	switch s.numberOrResult {
	case syscall.SYS_READ, syscall.SYS_WRITE, syscall.SYS_WRITEV, syscall.SYS_READV:
		file, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", t.pid, s.args[0]))
		kind, _, _ := strings.Cut(file, ":[")
		name += " " + cmp.Or(strings.TrimPrefix(kind, "anon_inode:"), "file")
	}
	if !isSocketWrite(name) && s.numberOrResult != syscall.SYS_RECVFROM {
		return callInfo{name: name, fd: s.args[0]}
	}
	stack := t.stackOf(tid)
	switch {
	case isPeriodic(stack):
		return callInfo{name: periodicWork}
	case isSocketWrite(name):
		return callInfo{name: name, function: attribute(trimPackage("syscall", stack))}
	case isLateClientCheck(stack, t.sinceLastRead(s.args[0])):
		return callInfo{name: lateClientCheck}
	}
	return callInfo{name: name}
}

// sinceLastRead returns the time since bytes were last read from a file descriptor; 0 if none were. The node measures a
// shorter time, so a check that the node makes too early does not count as late.
func (t *tracer) sinceLastRead(fd uint64) time.Duration {
	lastRead, known := t.lastReads[fd]
	if !known {
		return 0
	}
	return time.Since(lastRead)
}

func ptrace(request, tid int, addr, data uintptr) error {
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PTRACE, uintptr(request), uintptr(tid), addr, data, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// syscallNames are the names of the system calls that a node makes.
var syscallNames = map[uint64]string{
	syscall.SYS_READ: "read", syscall.SYS_WRITE: "write", syscall.SYS_READV: "readv", syscall.SYS_WRITEV: "writev",
	syscall.SYS_RECVFROM: "recvfrom", syscall.SYS_SENDTO: "sendto", syscall.SYS_RECVMSG: "recvmsg",
	syscall.SYS_SENDMSG: "sendmsg", syscall.SYS_SENDFILE: "sendfile", syscall.SYS_SPLICE: "splice",
	syscall.SYS_SOCKET: "socket", syscall.SYS_CONNECT: "connect", syscall.SYS_ACCEPT4: "accept4",
	syscall.SYS_GETSOCKOPT: "getsockopt", syscall.SYS_SETSOCKOPT: "setsockopt", syscall.SYS_SHUTDOWN: "shutdown",
	syscall.SYS_GETSOCKNAME: "getsockname", syscall.SYS_GETPEERNAME: "getpeername", syscall.SYS_CLOSE: "close",
	syscall.SYS_EPOLL_CTL: "epoll_ctl", syscall.SYS_EPOLL_PWAIT: "epoll_pwait", syscall.SYS_FUTEX: "futex",
	syscall.SYS_NANOSLEEP: "nanosleep", syscall.SYS_SCHED_YIELD: "sched_yield", syscall.SYS_TGKILL: "tgkill",
	syscall.SYS_RT_SIGRETURN: "rt_sigreturn", syscall.SYS_RT_SIGPROCMASK: "rt_sigprocmask",
	syscall.SYS_SIGALTSTACK: "sigaltstack", syscall.SYS_GETPID: "getpid", syscall.SYS_CLONE: "clone",
	syscall.SYS_MMAP: "mmap", syscall.SYS_MADVISE: "madvise", syscall.SYS_FCNTL: "fcntl",
	syscall.SYS_TIMER_SETTIME: "timer_settime", syscall.SYS_GETRUSAGE: "getrusage",
}
