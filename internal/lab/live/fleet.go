package live

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"olivebridge/internal/lab/fault"
)

// Fleet supplies the environment of a run whose nodes are members of one fleet, and injects the faults between and
// around their processes. All methods are called on the loop.
type Fleet interface {
	// Env returns additional environment variables for a node's next process, or for a duplicate: an unrelated
	// process that runs under the node's name.
	Env(node string, duplicate bool) ([]string, error)
	// Tell is notified of each event of a node's processes; pid is 0 if no process is involved.
	Tell(node, what string, pid int)
	// Cut blocks the traffic from some nodes to others until heal is called.
	Cut(from, to func(node string) bool) (heal func())
	// Ail disturbs the traffic from some nodes to others as a says, until heal is called.
	Ail(from, to func(node string) bool, a fault.Impairment) (heal func())
	// Move gives a node's future processes another address in the fleet.
	Move(node string)
	// Amounts writes a share of the budget amounts into all fleet files, including those of future processes, and
	// returns the number of rewrites of the fleet files so far.
	Amounts(share float64) (int, error)
	// Voters writes another list of voters into all fleet files and returns the number of rewrites likewise.
	Voters(names []string) (int, error)
	// Clock sets the wall clock of a node's future processes wrong by the given duration.
	Clock(node string, by time.Duration)
	// Arm makes a node's process block when it next reaches a step. met reports whether it is blocked there, goOn
	// resumes it.
	Arm(node, step string) (met func() bool, goOn func(), err error)
	// Spoil damages a node's directory; mend repairs it.
	Spoil(node string, how fault.DirectoryFault) (mend func(), err error)
}

// Company implements fault.Target. It returns nil if the nodes are not members of a fleet.
func (r *Run) Fleet() fault.Fleet {
	if r.options.Fleet == nil {
		return nil
	}
	return fleetTarget{r}
}

// fleetTarget implements fault.Fleet. It injects the faults of processes itself and passes the faults of the network
// between them to Options.Fleet.
type fleetTarget struct{ r *Run }

func (c fleetTarget) Cut(from, to func(string) bool) func() { return c.r.options.Fleet.Cut(from, to) }

func (c fleetTarget) Impair(from, to func(string) bool, a fault.Impairment) func() {
	return c.r.options.Fleet.Ail(from, to, a)
}

func (c fleetTarget) Move(node string) { c.r.options.Fleet.Move(node) }

func (c fleetTarget) Clock(node string, by time.Duration) { c.r.options.Fleet.Clock(node, by) }

const (
	// stepTimeout is the duration for which At waits for a process to reach a step, stepPollInterval the interval at
	// which it checks.
	stepTimeout      = 4 * time.Second
	stepPollInterval = 2 * time.Millisecond
)

// At calls at when the node's process is blocked at a step; goOn resumes the process. If the process does not reach
// the step within stepTimeout, at is not called.
func (c fleetTarget) At(node, step string, at func(resume func())) {
	reached, resume, err := c.r.options.Fleet.Arm(node, step)
	if err != nil {
		c.r.fail("%s cannot be met %s: %v", node, step, err)
		return
	}
	end := c.r.loop.Now() + stepTimeout
	var poll func()
	poll = func() {
		switch {
		case reached():
			c.r.options.Fleet.Tell(node, "met "+step, 0)
			at(resume)
		case c.r.loop.Now() >= end:
			resume()
			c.r.options.Fleet.Tell(node, "not met "+step, 0)
		default:
			c.r.loop.After(stepPollInterval, poll)
		}
	}
	poll()
}

func (c fleetTarget) Amounts(share float64) {
	times, err := c.r.options.Fleet.Amounts(share)
	c.fleetFilesWritten(times, err)
}

func (c fleetTarget) Voters(names []string) {
	times, err := c.r.options.Fleet.Voters(names)
	c.fleetFilesWritten(times, err)
}

// fleetFilesWritten makes all processes reload their fleet files after a rewrite, or records the error of the rewrite.
func (c fleetTarget) fleetFilesWritten(times int, err error) {
	if err != nil {
		c.r.fail("fleet files: %v", err)
		return
	}
	c.r.fleetFileRevision = times
	for _, i := range c.r.nodes {
		for _, p := range []*child{i.previous, i.current, i.next, i.duplicate} {
			i.reloadFleetFile(p)
		}
	}
}

// reloadFleetFile sends SIGHUP to a process that handles signals if its fleet file has changed since it read it.
func (i *instance) reloadFleetFile(c *child) {
	if c != nil && c.serving && c.fleetFileRevision != i.run.fleetFileRevision {
		c.fleetFileRevision = i.run.fleetFileRevision
		c.signal(syscall.SIGHUP)
	}
}

func (c fleetTarget) DamageDirectory(node string, how fault.DirectoryFault) func() {
	i := c.r.node(node)
	mend, err := c.r.options.Fleet.Spoil(node, how)
	if err != nil {
		c.r.fail("the directory of %s cannot be made %s: %v", node, how, err)
		return func() {}
	}
	i.directoryDamaged = how != fault.Emptied
	i.report("directory "+string(how), nil)
	return func() {
		mend()
		i.directoryDamaged = false
	}
}

func (c fleetTarget) Stop(node string) func() {
	i := c.r.node(node)
	i.stop()
	return i.resume
}

func (c fleetTarget) Upgrade(node string, overlap time.Duration) { c.r.node(node).upgrade(overlap) }

func (c fleetTarget) StartDuplicate(node string) func() {
	i := c.r.node(node)
	i.startDuplicate()
	return i.endDuplicate
}

// stopTimeout is the duration within which a process must be stopped after SIGSTOP.
const stopTimeout = 2 * time.Second

// stop sends SIGSTOP to the current process and waits until the kernel reports it as stopped. Without that check, a
// test with a process that still runs would prove nothing.
func (i *instance) stop() {
	c := i.current
	if c == nil || c.pid() == 0 || i.stopped != nil {
		return
	}
	i.stopped = c
	c.signal(syscall.SIGSTOP)
	for began := time.Now(); !isStopped(c.pid()); time.Sleep(time.Millisecond) {
		if time.Since(began) > stopTimeout {
			i.run.fail("node %s does not stand still %v after SIGSTOP", i.c.Name, stopTimeout)
			break
		}
	}
	i.report("stopped", c)
}

// isStopped reports whether a process is stopped or has exited.
func isStopped(pid int) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, text, _ := strings.Cut(string(data), ") ")
	return strings.HasPrefix(text, "T") || strings.HasPrefix(text, "Z")
}

// resume sends SIGCONT to the stopped process, if there is one.
func (i *instance) resume() {
	if c := i.stopped; c != nil {
		i.stopped = nil
		i.report("goes on", c)
		c.signal(syscall.SIGCONT)
	}
}

// handleRefusedStart checks the exit of a process that must refuse to start, and reports whether c is such a process.
func (i *instance) handleRefusedStart(c *child, err error) bool {
	if !c.mustRefuseStart {
		return false
	}
	if err == nil || !strings.Contains(c.lastLine, "directory:") {
		i.run.addViolation("refusal", "node %s: ended with %v in a directory in which it must not start; it wrote: %s",
			i.c.Name, err, c.lastLine)
	}
	i.report("refused", c)
	return true
}

// startDuplicate starts a duplicate: an unrelated process under the node's name.
func (i *instance) startDuplicate() {
	if i.duplicate != nil {
		return
	}
	c := i.newProcess(false, true)
	if c == nil {
		return
	}
	i.duplicate = c
	i.report("twin", c)
	previousExited := i.previousExited
	i.launch(c, nil)
	i.previousExited = previousExited
}

// endDuplicate kills the duplicate, if there is one.
func (i *instance) endDuplicate() {
	if c := i.duplicate; c != nil {
		i.duplicate = nil
		i.report("twin killed", c)
		c.signal(syscall.SIGKILL)
	}
}
