package live

import (
	"bytes"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// child is one process of a node.
//
// The fields of the second group belong to the run's loop. Those of the third are
// valid once exited is closed, and mu guards those of the fourth.
type child struct {
	program string
	env     []string
	log     *os.File
	line    func(line string) (keep bool) // called for each log line, on a goroutine of the process
	exited  chan struct{}                 // closed when the process has exited or could not start

	// The fields below are accessed only on the loop.
	terminating       bool // SIGTERM was sent
	serving           bool // the process has started and handles signals; earlier signals would end it
	configChanged     bool // the configuration file has been rewritten since the process started
	mustRefuseStart   bool // the process must refuse to start
	fleetFileRevision int  // value of Run.fleetFileRevision when it last read its fleet file

	lastLine     string        // last kept line of the log
	cpuTime      time.Duration // processor time, user and system
	leftChildren bool          // the process left child processes behind, which were killed

	mu          sync.Mutex
	process     *os.Process
	earlySignal syscall.Signal // SIGKILL if a signal was requested before the process existed; otherwise 0
}

// run runs the process until it exits. The goroutine is locked to its thread
// because the kernel kills the child (Pdeathsig) when the thread that started it
// exits.
func (c *child) run() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer c.log.Close()
	out := &logWriter{child: c}
	cmd := exec.Command(c.program)
	cmd.Env, cmd.Stderr, cmd.SysProcAttr, cmd.WaitDelay = c.env, out, processAttributes(), time.Second
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	c.process = cmd.Process
	if c.earlySignal != 0 {
		c.process.Signal(c.earlySignal)
	}
	c.mu.Unlock()
	err := cmd.Wait()
	c.lastLine = out.lastLine
	c.cpuTime = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	c.leftChildren = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) == nil // the process has its own process group
	return err
}

// signal sends a signal to the process. If the process does not exist yet, SIGTERM
// and SIGKILL kill it once it does, and other signals are dropped.
func (c *child) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.process != nil:
		c.process.Signal(s) // an error means that the process has exited
	case s == syscall.SIGKILL || s == syscall.SIGTERM:
		c.earlySignal = syscall.SIGKILL
	}
}

// pid returns the process ID, or 0 if there is no process yet.
func (c *child) pid() int {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return 0
	}
	return c.process.Pid
}

// logWriter splits the output of a process into lines and writes those that
// child.line keeps to the log file.
type logWriter struct {
	child    *child
	partial  []byte
	lastLine string
}

// Write implements io.Writer.
func (l *logWriter) Write(b []byte) (int, error) {
	l.partial = append(l.partial, b...)
	for {
		i := bytes.IndexByte(l.partial, '\n')
		if i < 0 {
			return len(b), nil
		}
		line := string(l.partial[:i])
		l.partial = l.partial[i+1:]
		if l.child.line(line) {
			l.lastLine = line
			l.child.log.WriteString(line + "\n") // there is no place to report an error
		}
	}
}
