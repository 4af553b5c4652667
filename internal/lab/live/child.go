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
type child struct {
	program string
	env     []string
	log     *os.File
	line    func(line string) (keep bool) // hears each line of its log, on a goroutine of the process's
	exited  chan struct{}                 // closed once nothing of it is left

	// The loop's.
	terminating       bool // it was told to end
	serving           bool // it has started, and hears signals: before that they would end it
	configChanged     bool // its file has changed
	mustRefuseStart   bool // it must not start
	fleetFileRevision int  // how often those of budgets had changed when it read its fleet file last

	lastLine     string        // line that it wrote; once gone
	cpuTime      time.Duration // of processor; once gone
	leftChildren bool          // it has left children behind, which were killed; once gone

	mu          sync.Mutex
	process     *os.Process
	earlySignal syscall.Signal // that came before the process was there
}

// run runs the process to its end. The thread that starts it stays with it: the
// kernel ends a child when the thread that is its parent ends.
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
	c.leftChildren = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) == nil // the group is its own
	return err
}

// signal sends the process a signal, or kills it if it has not yet begun.
func (c *child) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.process != nil:
		c.process.Signal(s) // one that has ended needs none
	case s == syscall.SIGKILL || s == syscall.SIGTERM:
		c.earlySignal = syscall.SIGKILL
	}
}

// pid is the process's number; 0: it has none yet.
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

// logWriter writes a process's log, line by line.
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
			l.child.log.WriteString(line + "\n") // nobody could be told of an error
		}
	}
}
