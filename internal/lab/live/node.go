package live

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/nodefile"
	"olivebridge/internal/lab/world"
	"olivebridge/internal/protocol"
)

// nodePort is where every node of the world listens.
const nodePort = ":9000"

func portOf(addr string) string { return addr[strings.LastIndexByte(addr, ':'):] }

// instance is one node of the run, through all its lives. Its fields belong to the loop.
type instance struct {
	run        *Run
	c          world.Node
	listenAddr string // where it listens
	starts     int
	seed       uint64
	current    *child          // nil: none runs
	prior      <-chan struct{} // closed once the process before the next is gone
	restart    bool            // it is to start again when it ends

	next             *child // takes over in an upgrade; nil: none
	twin             *child // a stranger under its name; nil: none
	stopped          *child // stands still; nil: none
	directoryDamaged bool   // its directory is such that it must not start

	tries, earlierTries int // as its counters have them; of the lives before
	open                int // client connections
	cpuTime             time.Duration
}

// Start implements fault.Node: a start with a list that is some changes old, as
// a restarted process has it.
func (i *instance) Start() { i.start(true) }

func (i *instance) start(stale bool) {
	if i.current != nil {
		return
	}
	prior := i.prior
	c := i.newProcess(stale, false)
	if c == nil {
		return
	}
	i.current = c
	if c.mustRefuseStart = i.directoryDamaged; !c.mustRefuseStart {
		i.report("started", c)
		i.run.front.Born(i.c.Name)
	}
	i.launch(c, prior)
}

// newProcess makes the next process of the node; nil: it cannot be. A twin is no process of the node, but a stranger's.
func (i *instance) newProcess(stale, twin bool) *child {
	i.starts++
	i.seed = figure.Stream(i.run.script.Seed, fmt.Sprintf("node %s %d", i.c.Name, i.starts)).Uint64()
	if err := i.writeConfig(stale); err != nil {
		i.run.fail("node %s: %v", i.c.Name, err)
		return nil
	}
	log, err := os.OpenFile(i.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		i.run.fail("node %s: %v", i.c.Name, err)
		return nil
	}
	listen := i.listenAddr
	if twin {
		listen = "127.0.0.1:0"
	}
	c := &child{program: i.run.options.Node, log: log, exited: make(chan struct{}), env: append(os.Environ(),
		protocol.EnvName+"="+i.c.Name, protocol.EnvListen+"="+listen,
		protocol.EnvDiscovery+"="+i.run.net.MapAddress(i.c.Name, i.run.discovery), protocol.EnvConfig+"="+i.path(".json"))}
	if f := i.run.options.Fleet; f != nil {
		env, err := f.Env(i.c.Name, twin)
		if err != nil {
			log.Close()
			i.run.fail("node %s: %v", i.c.Name, err)
			return nil
		}
		c.env = append(c.env, env...)
	}
	c.fleetFileRevision = i.run.fleetFileRevision
	c.line = func(line string) bool { return i.line(c, line) }
	return c
}

// launch starts a process once the ones before it are gone: they may hold the address still.
func (i *instance) launch(c *child, prior <-chan struct{}) {
	i.prior = c.exited
	i.run.children.Go(func() {
		defer close(c.exited)
		if prior != nil {
			<-prior
		}
		err := c.run()
		i.run.post(func() { i.onExit(c, err) })
	})
}

// report lets whoever watches know what became of the node.
func (i *instance) report(what string, c *child) {
	i.run.reporter.report(i.c.Name, what)
	if f := i.run.options.Fleet; f != nil {
		f.Tell(i.c.Name, what, c.pid())
	}
}

// writeConfig writes the configuration file, whole or not at all: a running node may read it.
func (i *instance) writeConfig(stale bool) error {
	data, err := nodefile.Write(&i.run.script.World, i.c, nodefile.Start{
		Listen: i.listenAddr, Discovery: i.run.net.MapAddress(i.c.Name, i.run.discovery),
		Known: i.run.registry.KnownBy(i.c.Name, stale), Seed: i.seed,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(i.path(".new"), data, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return os.Rename(i.path(".new"), i.path(".json"))
}

// pid is the number of its process; 0: there is none.
func (i *instance) pid() int {
	if i.current == nil {
		return 0
	}
	return i.current.pid()
}

func (i *instance) path(kind string) string { return filepath.Join(i.run.options.Dir, i.c.Name+kind) }

// onExit hears that a process is gone.
func (i *instance) onExit(c *child, err error) {
	i.cpuTime += c.cpuTime
	if c.leftChildren {
		i.run.addViolation("rest", "node %s left processes of its own behind", i.c.Name)
	}
	if i.handleOtherExit(c, err) {
		return
	}
	i.current = nil
	i.earlierTries, i.tries, i.open = i.earlierTries+i.tries, 0, 0
	if i.handleRefusedStart(c, err) {
		return
	}
	i.run.front.Died(i.c.Name)
	i.report("ended", c)
	if !c.terminating {
		wrote := ""
		if c.lastLine != "" {
			wrote = "; it wrote: " + c.lastLine
		}
		i.run.addViolation("crash", "node %s ended: %v%s", i.c.Name, err, wrote)
	}
	if i.restart {
		i.restart = false
		i.Start()
	}
}

// Kill implements fault.Node.
func (i *instance) Kill() {
	c := i.current
	if c == nil {
		return
	}
	i.current = nil
	i.earlierTries, i.tries, i.open = i.earlierTries+i.tries, 0, 0
	i.run.front.Died(i.c.Name)
	i.report("killed", c)
	c.signal(syscall.SIGKILL)
	i.killNext()
}

// Down implements fault.Node.
func (i *instance) Down() bool { return i.current == nil }

// Term implements fault.Node.
func (i *instance) Term() {
	if c := i.current; c != nil && !c.terminating {
		i.killNext()
		c.terminating = true
		i.run.front.Leaving(i.c.Name)
		i.report("told SIGTERM", c)
		c.signal(syscall.SIGTERM)
	}
}

// Operate implements fault.Node. Nodes on sockets have no door here yet.
func (i *instance) Operate(call, peer string) {
	i.run.fail("node %s: %s %s: operators' calls are played on the virtual clock alone", i.c.Name, call, peer)
}

// Hup implements fault.Node. The file names discovery as it is now.
func (i *instance) Hup(string) {
	c := i.current
	if c == nil || c.terminating {
		return
	}
	if err := i.writeConfig(false); err != nil {
		i.run.fail("node %s: %v", i.c.Name, err)
		return
	}
	if c.configChanged = true; c.serving {
		c.signal(syscall.SIGHUP)
	}
	i.run.reporter.report(i.c.Name, "told SIGHUP")
}

// line looks at a line of a node's log, and reports whether it is to be kept.
// The counters that the run itself asks for are not.
func (i *instance) line(c *child, line string) bool {
	if strings.Contains(line, "msg=started ") {
		i.run.post(func() {
			if c.serving = true; c.configChanged { // it may have read the file before that was written anew
				c.signal(syscall.SIGHUP)
			}
			i.onServing(c)
		})
	}
	if !strings.Contains(line, "msg=counters when=asked ") {
		return true
	}
	tries, open := counter(line, "tries"), counter(line, "open")
	i.run.post(func() {
		if i.current == c {
			i.tries, i.open = tries, open
		}
	})
	return false
}

// counter reads one of a node's counters from its line of log.
func counter(line, name string) int {
	for _, word := range strings.FieldsFunc(line, func(r rune) bool { return r == ' ' || r == '"' }) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			n, _ := strconv.Atoi(value)
			return n
		}
	}
	return 0
}
