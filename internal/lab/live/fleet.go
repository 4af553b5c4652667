package live

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"olivebridge/internal/lab/fault"
)

// Fleet is what stands around the processes of a run whose nodes know of each other. All is called on the loop.
type Fleet interface {
	// Env is what a node's next process is told besides; of a twin, what a stranger under its name is told.
	Env(node string, twin bool) ([]string, error)
	// Tell hears what becomes of a node's processes.
	Tell(node, what string, pid int)
	Cut(from, to func(node string) bool) (heal func())
	Ail(from, to func(node string) bool, a fault.Ails) (heal func())
	Move(node string)
	// Amounts writes a share of the amounts into all fleet files, also those of processes to come, and returns how often
	// that was done. It is 0 until it is done.
	Amounts(share float64) (int, error)
	// Voters writes other voters into them, likewise.
	Voters(names []string) (int, error)
	// Clock sets the wall clock of a node's next processes wrong.
	Clock(node string, by time.Duration)
	// Arm has a node's process wait at its next such step. Met reports whether it does, GoOn lets it.
	Arm(node, step string) (met func() bool, goOn func(), err error)
	// Spoil makes a directory unfit, and returns how that is mended.
	Spoil(node string, how fault.Spoilt) (mend func(), err error)
}

// Company is what the nodes are to each other; nil: they know of none.
func (r *Run) Company() fault.Company {
	if r.options.Fleet == nil {
		return nil
	}
	return company{r}
}

// company carries faults out on processes, and hands on what lies between them.
type company struct{ r *Run }

func (c company) Cut(from, to func(string) bool) func() { return c.r.options.Fleet.Cut(from, to) }

func (c company) Ail(from, to func(string) bool, a fault.Ails) func() {
	return c.r.options.Fleet.Ail(from, to, a)
}

func (c company) Move(node string) { c.r.options.Fleet.Move(node) }

func (c company) Clock(node string, by time.Duration) { c.r.options.Fleet.Clock(node, by) }

const (
	// stepTimeout is how long a process may take to come to a step, meetEach how often the rig looks.
	stepTimeout      = 4 * time.Second
	stepPollInterval = 2 * time.Millisecond
)

func (c company) At(node, step string, at func(resume func())) {
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

func (c company) Amounts(share float64) {
	times, err := c.r.options.Fleet.Amounts(share)
	c.fleetFilesWritten(times, err)
}

func (c company) Voters(names []string) {
	times, err := c.r.options.Fleet.Voters(names)
	c.fleetFilesWritten(times, err)
}

// fleetFilesWritten has all processes read their fleet files again.
func (c company) fleetFilesWritten(times int, err error) {
	if err != nil {
		c.r.fail("fleet files: %v", err)
		return
	}
	c.r.fleetFileRevision = times
	for _, i := range c.r.nodes {
		for _, p := range []*child{i.current, i.next, i.twin} {
			i.reloadFleetFile(p)
		}
	}
}

// reloadFleetFile has a process read its fleet file again, if that has changed since and it serves by now.
func (i *instance) reloadFleetFile(c *child) {
	if c != nil && c.serving && c.fleetFileRevision != i.run.fleetFileRevision {
		c.fleetFileRevision = i.run.fleetFileRevision
		c.signal(syscall.SIGHUP)
	}
}

func (c company) Spoil(node string, how fault.Spoilt) func() {
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

func (c company) Stop(node string) func() {
	i := c.r.node(node)
	i.stop()
	return i.resume
}

func (c company) Upgrade(node string) { c.r.node(node).upgrade() }

func (c company) Twin(node string) func() {
	i := c.r.node(node)
	i.startTwin()
	return i.endTwin
}

// stopTimeout is how long the kernel may take over a SIGSTOP.
const stopTimeout = 2 * time.Second

// stop stops the process, and looks that it stands still: a rig that only believes so proves nothing.
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

// isStopped reports whether a process is stopped, or gone.
func isStopped(pid int) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, text, _ := strings.Cut(string(data), ") ")
	return strings.HasPrefix(text, "T") || strings.HasPrefix(text, "Z")
}

func (i *instance) resume() {
	if c := i.stopped; c != nil {
		i.stopped = nil
		i.report("goes on", c)
		c.signal(syscall.SIGCONT)
	}
}

// upgrade starts the next process beside the one in service.
func (i *instance) upgrade() {
	if i.current == nil || i.current.terminating || !i.current.serving || i.next != nil || i.stopped != nil {
		return
	}
	prior := i.prior
	c := i.newProcess(false, false)
	if c == nil {
		return
	}
	i.next = c
	i.report("upgrade", c)
	i.launch(c, nil)
	own, both := i.prior, make(chan struct{})
	i.prior = both
	i.run.children.Go(func() {
		<-own
		<-prior
		close(both)
	})
}

// onServing hears that a process serves. In an upgrade the one before it is told to end.
func (i *instance) onServing(c *child) {
	switch {
	case c.mustRefuseStart:
		i.run.addViolation("refusal", "node %s started in a directory in which it must not", i.c.Name)
	case c == i.next:
		predecessor := i.current
		i.current, i.next = c, nil
		i.report("upgraded", c)
		if predecessor != nil {
			predecessor.terminating = true
			predecessor.signal(syscall.SIGTERM)
		}
	case c == i.current:
		i.report("serves", c)
	case c == i.twin:
		i.report("twin serves", c)
	}
	i.reloadFleetFile(c)
}

// killNext ends an upgrade that has not come to its end.
func (i *instance) killNext() {
	if i.next != nil {
		i.next.signal(syscall.SIGKILL)
		i.next = nil
	}
}

// handleOtherExit takes the end of a process that is not the one in service, and reports whether it was one.
func (i *instance) handleOtherExit(c *child, err error) bool {
	if c == i.stopped {
		i.stopped = nil
	}
	switch c {
	case i.current:
		return false
	case i.next:
		i.next = nil
		i.run.addViolation("crash", "node %s: the next process ended: %v; it wrote: %s", i.c.Name, err, c.lastLine)
	case i.twin:
		i.twin = nil
		i.run.addViolation("crash", "node %s: the stranger ended: %v; it wrote: %s", i.c.Name, err, c.lastLine)
	}
	return true
}

// handleRefusedStart takes the end of a process that was to refuse its start.
func (i *instance) handleRefusedStart(c *child, err error) bool {
	if !c.mustRefuseStart {
		return false
	}
	if err == nil || !strings.Contains(c.lastLine, "directory:") {
		i.run.addViolation("refusal", "node %s: ended with %v in a directory in which it must not start; it wrote: %s", i.c.Name,
			err, c.lastLine)
	}
	i.report("refused", c)
	return true
}

// startTwin starts a stranger under the node's name.
func (i *instance) startTwin() {
	if i.twin != nil {
		return
	}
	c := i.newProcess(false, true)
	if c == nil {
		return
	}
	i.twin = c
	i.report("twin", c)
	prior := i.prior
	i.launch(c, nil)
	i.prior = prior
}

func (i *instance) endTwin() {
	if c := i.twin; c != nil {
		i.twin = nil
		i.report("twin killed", c)
		c.signal(syscall.SIGKILL)
	}
}
