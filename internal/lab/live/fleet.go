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
	Ail(from, to func(node string) bool, a fault.Impairment) (heal func())
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
	Spoil(node string, how fault.DirectoryFault) (mend func(), err error)
}

// Fleet is what the nodes are to each other; nil: they know of none.
func (r *Run) Fleet() fault.Fleet {
	if r.options.Fleet == nil {
		return nil
	}
	return company{r}
}

// company carries faults out on processes, and hands on what lies between them.
type company struct{ r *Run }

func (c company) Cut(from, to func(string) bool) func() { return c.r.options.Fleet.Cut(from, to) }

func (c company) Impair(from, to func(string) bool, a fault.Impairment) func() {
	return c.r.options.Fleet.Ail(from, to, a)
}

func (c company) Move(node string) { c.r.options.Fleet.Move(node) }

func (c company) Clock(node string, by time.Duration) { c.r.options.Fleet.Clock(node, by) }

const (
	// meetWithin is how long a process may take to come to a step, meetEach how often the rig looks.
	meetWithin = 4 * time.Second
	meetEach   = 2 * time.Millisecond
)

func (c company) At(node, step string, at func(goOn func())) {
	met, goOn, err := c.r.options.Fleet.Arm(node, step)
	if err != nil {
		c.r.fail("%s cannot be met %s: %v", node, step, err)
		return
	}
	end := c.r.loop.Now() + meetWithin
	var look func()
	look = func() {
		switch {
		case met():
			c.r.options.Fleet.Tell(node, "met "+step, 0)
			at(goOn)
		case c.r.loop.Now() >= end:
			goOn()
			c.r.options.Fleet.Tell(node, "not met "+step, 0)
		default:
			c.r.loop.After(meetEach, look)
		}
	}
	look()
}

func (c company) Amounts(share float64) {
	times, err := c.r.options.Fleet.Amounts(share)
	c.rewritten(times, err)
}

func (c company) Voters(names []string) {
	times, err := c.r.options.Fleet.Voters(names)
	c.rewritten(times, err)
}

// rewritten has all processes read their fleet files again.
func (c company) rewritten(times int, err error) {
	if err != nil {
		c.r.fail("fleet files: %v", err)
		return
	}
	c.r.amounts = times
	for _, i := range c.r.nodes {
		for _, p := range []*child{i.live, i.next, i.twin} {
			i.readAgain(p)
		}
	}
}

// readAgain has a process read its fleet file again, if that has changed since and it serves by now.
func (i *instance) readAgain(c *child) {
	if c != nil && c.listens && c.amounts != i.run.amounts {
		c.amounts = i.run.amounts
		c.signal(syscall.SIGHUP)
	}
}

func (c company) DamageDirectory(node string, how fault.DirectoryFault) func() {
	i := c.r.node(node)
	mend, err := c.r.options.Fleet.Spoil(node, how)
	if err != nil {
		c.r.fail("the directory of %s cannot be made %s: %v", node, how, err)
		return func() {}
	}
	i.spoilt = how != fault.Emptied
	i.tell("directory "+string(how), nil)
	return func() {
		mend()
		i.spoilt = false
	}
}

func (c company) Stop(node string) func() {
	i := c.r.node(node)
	i.stop()
	return i.goOn
}

func (c company) Upgrade(node string) { c.r.node(node).upgrade() }

func (c company) StartDuplicate(node string) func() {
	i := c.r.node(node)
	i.startTwin()
	return i.endTwin
}

// stops is how long the kernel may take over a SIGSTOP.
const stops = 2 * time.Second

// stop stops the process, and looks that it stands still: a rig that only believes so proves nothing.
func (i *instance) stop() {
	c := i.live
	if c == nil || c.pid() == 0 || i.stopped != nil {
		return
	}
	i.stopped = c
	c.signal(syscall.SIGSTOP)
	for began := time.Now(); !standsStill(c.pid()); time.Sleep(time.Millisecond) {
		if time.Since(began) > stops {
			i.run.fail("node %s does not stand still %v after SIGSTOP", i.c.Name, stops)
			break
		}
	}
	i.tell("stopped", c)
}

// standsStill reports whether a process is stopped, or gone.
func standsStill(pid int) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, text, _ := strings.Cut(string(data), ") ")
	return strings.HasPrefix(text, "T") || strings.HasPrefix(text, "Z")
}

func (i *instance) goOn() {
	if c := i.stopped; c != nil {
		i.stopped = nil
		i.tell("goes on", c)
		c.signal(syscall.SIGCONT)
	}
}

// upgrade starts the next process beside the one in service.
func (i *instance) upgrade() {
	if i.live == nil || i.live.leaving || !i.live.listens || i.next != nil || i.stopped != nil {
		return
	}
	prior := i.prior
	c := i.spawn(false, false)
	if c == nil {
		return
	}
	i.next = c
	i.tell("upgrade", c)
	i.launch(c, nil)
	own, both := i.prior, make(chan struct{})
	i.prior = both
	i.run.children.Go(func() {
		<-own
		<-prior
		close(both)
	})
}

// listens hears that a process serves. In an upgrade the one before it is told to end.
func (i *instance) listens(c *child) {
	switch {
	case c.refuses:
		i.run.breaks("refusal", "node %s started in a directory in which it must not", i.c.Name)
	case c == i.next:
		predecessor := i.live
		i.live, i.next = c, nil
		i.tell("upgraded", c)
		if predecessor != nil {
			predecessor.leaving = true
			predecessor.signal(syscall.SIGTERM)
		}
	case c == i.live:
		i.tell("serves", c)
	case c == i.twin:
		i.tell("twin serves", c)
	}
	i.readAgain(c)
}

// killNext ends an upgrade that has not come to its end.
func (i *instance) killNext() {
	if i.next != nil {
		i.next.signal(syscall.SIGKILL)
		i.next = nil
	}
}

// other takes the end of a process that is not the one in service, and reports whether it was one.
func (i *instance) other(c *child, err error) bool {
	if c == i.stopped {
		i.stopped = nil
	}
	switch c {
	case i.live:
		return false
	case i.next:
		i.next = nil
		i.run.breaks("crash", "node %s: the next process ended: %v; it wrote: %s", i.c.Name, err, c.last)
	case i.twin:
		i.twin = nil
		i.run.breaks("crash", "node %s: the stranger ended: %v; it wrote: %s", i.c.Name, err, c.last)
	}
	return true
}

// refused takes the end of a process that was to refuse its start.
func (i *instance) refused(c *child, err error) bool {
	if !c.refuses {
		return false
	}
	if err == nil || !strings.Contains(c.last, "directory:") {
		i.run.breaks("refusal", "node %s: ended with %v in a directory in which it must not start; it wrote: %s", i.c.Name,
			err, c.last)
	}
	i.tell("refused", c)
	return true
}

// startTwin starts a stranger under the node's name.
func (i *instance) startTwin() {
	if i.twin != nil {
		return
	}
	c := i.spawn(false, true)
	if c == nil {
		return
	}
	i.twin = c
	i.tell("twin", c)
	prior := i.prior
	i.launch(c, nil)
	i.prior = prior
}

func (i *instance) endTwin() {
	if c := i.twin; c != nil {
		i.twin = nil
		i.tell("twin killed", c)
		c.signal(syscall.SIGKILL)
	}
}
