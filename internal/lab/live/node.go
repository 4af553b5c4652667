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
	run   *Run
	c     world.Node
	at    string // where it listens
	lives int
	seed  uint64
	live  *child          // nil: none runs
	prior <-chan struct{} // closed once the process before the next is gone
	again bool            // it is to start again when it ends

	next    *child // takes over in an upgrade; nil: none
	twin    *child // a stranger under its name; nil: none
	stopped *child // stands still; nil: none
	spoilt  bool   // its directory is such that it must not start

	tries, earlier int // as its counters have them; of the lives before
	open           int // client connections
	used           time.Duration
}

// Start implements fault.Node: a start with a list that is some changes old, as
// a restarted process has it.
func (i *instance) Start() { i.start(true) }

func (i *instance) start(stale bool) {
	if i.live != nil {
		return
	}
	prior := i.prior
	c := i.spawn(stale, false)
	if c == nil {
		return
	}
	i.live = c
	if c.refuses = i.spoilt; !c.refuses {
		i.tell("started", c)
		i.run.front.NodeStarted(i.c.Name)
	}
	i.launch(c, prior)
}

// spawn makes the next process of the node; nil: it cannot be. A twin is no process of the node, but a stranger's.
func (i *instance) spawn(stale, twin bool) *child {
	i.lives++
	i.seed = figure.Stream(i.run.script.Seed, fmt.Sprintf("node %s %d", i.c.Name, i.lives)).Uint64()
	if err := i.write(stale); err != nil {
		i.run.fail("node %s: %v", i.c.Name, err)
		return nil
	}
	log, err := os.OpenFile(i.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		i.run.fail("node %s: %v", i.c.Name, err)
		return nil
	}
	listen := i.at
	if twin {
		listen = "127.0.0.1:0"
	}
	c := &child{program: i.run.options.Node, log: log, gone: make(chan struct{}), env: append(os.Environ(),
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
	c.amounts = i.run.amounts
	c.line = func(line string) bool { return i.line(c, line) }
	return c
}

// launch starts a process once the ones before it are gone: they may hold the address still.
func (i *instance) launch(c *child, prior <-chan struct{}) {
	i.prior = c.gone
	i.run.children.Go(func() {
		defer close(c.gone)
		if prior != nil {
			<-prior
		}
		err := c.run()
		i.run.post(func() { i.ended(c, err) })
	})
}

// tell lets whoever watches know what became of the node.
func (i *instance) tell(what string, c *child) {
	i.run.watch.tell(i.c.Name, what)
	if f := i.run.options.Fleet; f != nil {
		f.Tell(i.c.Name, what, c.pid())
	}
}

// write writes the configuration file, whole or not at all: a running node may read it.
func (i *instance) write(stale bool) error {
	data, err := nodefile.Write(&i.run.script.World, i.c, nodefile.NodeStart{
		Listen: i.at, Discovery: i.run.net.MapAddress(i.c.Name, i.run.discovery),
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

// pid is the number of its process; 0: there is none.
func (i *instance) pid() int {
	if i.live == nil {
		return 0
	}
	return i.live.pid()
}

func (i *instance) path(kind string) string { return filepath.Join(i.run.options.Dir, i.c.Name+kind) }

// ended hears that a process is gone.
func (i *instance) ended(c *child, err error) {
	i.used += c.used
	if c.left {
		i.run.breaks("rest", "node %s left processes of its own behind", i.c.Name)
	}
	if i.other(c, err) {
		return
	}
	i.live = nil
	i.earlier, i.tries, i.open = i.earlier+i.tries, 0, 0
	if i.refused(c, err) {
		return
	}
	i.run.front.NodeDied(i.c.Name)
	i.tell("ended", c)
	if !c.leaving {
		wrote := ""
		if c.last != "" {
			wrote = "; it wrote: " + c.last
		}
		i.run.breaks("crash", "node %s ended: %v%s", i.c.Name, err, wrote)
	}
	if i.again {
		i.again = false
		i.Start()
	}
}

// Kill implements fault.Node.
func (i *instance) Kill() {
	c := i.live
	if c == nil {
		return
	}
	i.live = nil
	i.earlier, i.tries, i.open = i.earlier+i.tries, 0, 0
	i.run.front.NodeDied(i.c.Name)
	i.tell("killed", c)
	c.signal(syscall.SIGKILL)
	i.killNext()
}

// Down implements fault.Node.
func (i *instance) Down() bool { return i.live == nil }

// Term implements fault.Node.
func (i *instance) Term() {
	if c := i.live; c != nil && !c.leaving {
		i.killNext()
		c.leaving = true
		i.run.front.NodeTerminating(i.c.Name)
		i.tell("told SIGTERM", c)
		c.signal(syscall.SIGTERM)
	}
}

// Operate implements fault.Node. Nodes on sockets have no door here yet.
func (i *instance) Operate(call, peer string) {
	i.run.fail("node %s: %s %s: operators' calls are played on the virtual clock alone", i.c.Name, call, peer)
}

// Hup implements fault.Node. The file names discovery as it is now.
func (i *instance) Hup(string) {
	c := i.live
	if c == nil || c.leaving {
		return
	}
	if err := i.write(false); err != nil {
		i.run.fail("node %s: %v", i.c.Name, err)
		return
	}
	if c.told = true; c.listens {
		c.signal(syscall.SIGHUP)
	}
	i.run.watch.tell(i.c.Name, "told SIGHUP")
}

// line looks at a line of a node's log, and reports whether it is to be kept.
// The counters that the run itself asks for are not.
func (i *instance) line(c *child, line string) bool {
	if strings.Contains(line, "msg=started ") {
		i.run.post(func() {
			if c.listens = true; c.told { // it may have read the file before that was written anew
				c.signal(syscall.SIGHUP)
			}
			i.listens(c)
		})
	}
	if !strings.Contains(line, "msg=counters when=asked ") {
		return true
	}
	tries, open := counter(line, "tries"), counter(line, "open")
	i.run.post(func() {
		if i.live == c {
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
