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
	i.lives++
	i.seed = figure.Stream(i.run.script.Seed, fmt.Sprintf("node %s %d", i.c.Name, i.lives)).Uint64()
	if err := i.write(stale); err != nil {
		i.run.fail("node %s: %v", i.c.Name, err)
		return
	}
	log, err := os.OpenFile(i.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		i.run.fail("node %s: %v", i.c.Name, err)
		return
	}
	c := &child{program: i.run.options.Node, log: log, gone: make(chan struct{}), env: append(os.Environ(),
		protocol.EnvName+"="+i.c.Name, protocol.EnvListen+"="+i.at,
		protocol.EnvDiscovery+"="+i.run.net.Seen(i.c.Name, i.run.discovery), protocol.EnvConfig+"="+i.path(".json"))}
	c.line = func(line string) bool { return i.line(c, line) }
	i.live = c
	i.run.watch.tell(i.c.Name, "started")
	i.run.front.Born(i.c.Name)
	prior := i.prior
	i.prior = c.gone
	i.run.children.Go(func() {
		defer close(c.gone)
		if prior != nil {
			<-prior // it may hold the address still
		}
		err := c.run()
		i.run.post(func() { i.ended(c, err) })
	})
}

// write writes the configuration file, whole or not at all: a running node may read it.
func (i *instance) write(stale bool) error {
	data, err := nodefile.Write(&i.run.script.World, i.c, nodefile.Start{
		Listen: i.at, Discovery: i.run.net.Seen(i.c.Name, i.run.discovery),
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
	if i.live != c {
		return // killed
	}
	i.live = nil
	i.earlier, i.tries, i.open = i.earlier+i.tries, 0, 0
	i.run.front.Died(i.c.Name)
	i.run.watch.tell(i.c.Name, "ended")
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
	i.run.front.Died(i.c.Name)
	i.run.watch.tell(i.c.Name, "killed")
	c.signal(syscall.SIGKILL)
}

// Down implements fault.Node.
func (i *instance) Down() bool { return i.live == nil }

// Term implements fault.Node.
func (i *instance) Term() {
	if c := i.live; c != nil && !c.leaving {
		c.leaving = true
		i.run.front.Leaving(i.c.Name)
		i.run.watch.tell(i.c.Name, "told SIGTERM")
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
