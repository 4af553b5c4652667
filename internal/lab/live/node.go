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

// nodePort is the port of every node's address in the world.
const nodePort = ":9000"

// portOf returns the port of an address, with the colon.
func portOf(addr string) string { return addr[strings.LastIndexByte(addr, ':'):] }

// instance is one node of the run with its successive processes. Its fields belong to the loop.
type instance struct {
	run            *Run
	c              world.Node
	listenAddr     string          // real address at which it listens
	starts         int             // number of processes so far, including unrelated ones under the node's name
	seed           uint64          // of the newest process
	current        *child          // process in service; nil: none
	previousExited <-chan struct{} // closed when the previous process has exited
	restart        bool            // start a new process when the current one exits

	next             *child        // successor in an upgrade that does not serve yet; nil: none
	previous         *child        // predecessor that serves beside the current process; nil: none
	overlap          time.Duration // duration for which both serve in the latest upgrade
	duplicate        *child        // unrelated process under the node's name; nil: none
	stopped          *child        // process stopped by SIGSTOP; nil: none
	directoryDamaged bool          // the directory is damaged: processes must refuse to start

	// tries is the number of attempts sent by the current process, from its counters; earlierProcessTries is the sum
	// over the earlier processes.
	tries, earlierProcessTries int
	open                       int           // open client connections
	cpuTime                    time.Duration // processor time of the exited processes
}

// Start implements fault.Node. The configuration has an endpoint list that misses
// the latest changes, as after a real restart.
func (i *instance) Start() { i.start(true) }

// start starts a process unless one is in service. If stale, its configuration has
// an outdated endpoint list.
func (i *instance) start(stale bool) {
	if i.current != nil {
		return
	}
	previousExited := i.previousExited
	c := i.newProcess(stale, false)
	if c == nil {
		return
	}
	i.current = c
	if c.mustRefuseStart = i.directoryDamaged; !c.mustRefuseStart {
		i.report("started", c)
		i.run.front.NodeStarted(i.c.Name)
	}
	i.launch(c, previousExited)
}

// newProcess prepares the node's next process, or a duplicate, and returns nil if that fails. A duplicate is an
// unrelated process under the node's name and listens on another port.
func (i *instance) newProcess(stale, duplicate bool) *child {
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
	if duplicate {
		listen = "127.0.0.1:0"
	}
	c := &child{program: i.run.options.Node, log: log, exited: make(chan struct{}), env: append(os.Environ(),
		protocol.EnvName+"="+i.c.Name, protocol.EnvListen+"="+listen,
		protocol.EnvDiscovery+"="+i.run.net.MapAddress(i.c.Name, i.run.discovery), protocol.EnvConfig+"="+i.path(".json"))}
	if f := i.run.options.Fleet; f != nil {
		env, err := f.Env(i.c.Name, duplicate)
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

// launch starts a process after previousExited is closed: earlier processes may still hold the address.
func (i *instance) launch(c *child, previousExited <-chan struct{}) {
	i.previousExited = c.exited
	i.run.children.Go(func() {
		defer close(c.exited)
		if previousExited != nil {
			<-previousExited
		}
		err := c.run()
		i.run.post(func() { i.onExit(c, err) })
	})
}

// report reports an event of the node to the run's sample sink and to the fleet.
func (i *instance) report(what string, c *child) {
	i.run.reporter.report(i.c.Name, what)
	if f := i.run.options.Fleet; f != nil {
		f.Tell(i.c.Name, what, c.pid())
	}
}

// writeConfig replaces the configuration file atomically, because a running node may read it.
func (i *instance) writeConfig(stale bool) error {
	data, err := nodefile.Write(&i.run.script.World, i.c, nodefile.NodeStart{
		Listen: i.listenAddr, Discovery: i.run.net.MapAddress(i.c.Name, i.run.discovery),
		LastEndpoints: i.run.registry.ConfiguredListFor(i.c.Name, stale), Seed: i.seed,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(i.path(".new"), data, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return os.Rename(i.path(".new"), i.path(".json"))
}

// pid returns the process ID of the process in service, or 0 if there is none.
func (i *instance) pid() int {
	if i.current == nil {
		return 0
	}
	return i.current.pid()
}

// path returns the path of a file of the node with the given extension.
func (i *instance) path(kind string) string { return filepath.Join(i.run.options.Dir, i.c.Name+kind) }

// onExit handles the exit of a process.
func (i *instance) onExit(c *child, err error) {
	i.cpuTime += c.cpuTime
	if c.leftChildren {
		i.run.addViolation("rest", "node %s left processes of its own behind", i.c.Name)
	}
	if i.handleOtherExit(c, err) {
		return
	}
	i.current = nil
	i.earlierProcessTries, i.tries, i.open = i.earlierProcessTries+i.tries, 0, 0
	if i.handleRefusedStart(c, err) {
		return
	}
	i.run.front.NodeDied(i.c.Name)
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
	i.earlierProcessTries, i.tries, i.open = i.earlierProcessTries+i.tries, 0, 0
	i.run.front.NodeDied(i.c.Name)
	i.report("killed", c)
	c.signal(syscall.SIGKILL)
	i.killNext()
	i.endPrevious(syscall.SIGKILL)
}

// Down implements fault.Node.
func (i *instance) Down() bool { return i.current == nil }

// Term implements fault.Node.
func (i *instance) Term() {
	if c := i.current; c != nil && !c.terminating {
		i.killNext()
		i.endPrevious(syscall.SIGTERM)
		c.terminating = true
		i.run.front.NodeTerminating(i.c.Name)
		i.report("told SIGTERM", c)
		c.signal(syscall.SIGTERM)
	}
}

// Operate implements fault.Node. Operators' calls are not supported on sockets.
func (i *instance) Operate(call, peer string) {
	i.run.fail("node %s: %s %s: operators' calls are played on the virtual clock alone", i.c.Name, call, peer)
}

// Hup implements fault.Node. It rewrites the configuration file with discovery's
// current address.
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

// line evaluates a line of a node's log and reports whether to keep it. It drops
// the counters that the run itself requests.
func (i *instance) line(c *child, line string) bool {
	if strings.Contains(line, "msg=started ") {
		i.run.post(func() {
			if c.serving = true; c.configChanged { // it may have read the file before the rewrite
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

// counter returns the value of a counter in a log line, or 0 if it is missing.
func counter(line, name string) int {
	for _, word := range strings.FieldsFunc(line, func(r rune) bool { return r == ' ' || r == '"' }) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			n, _ := strconv.Atoi(value)
			return n
		}
	}
	return 0
}
