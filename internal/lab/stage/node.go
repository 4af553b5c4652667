package stage

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"olivebridge/internal/admin"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/nodefile"
	"olivebridge/internal/lab/world"
	"olivebridge/internal/node"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// nodePort is the port on which every node of the lab listens.
const nodePort = "9000"

// instance is one node of the run across all of its restarts. Its fields may be accessed only on the loop.
type instance struct {
	run     *run
	conf    world.Node
	starts  int          // number of processes started
	process *nodeProcess // nil while the node does not run
}

// nodeProcess is one process of a node, from its start to its exit.
type nodeProcess struct {
	number   int
	node     *node.Node // nil until it listens
	config   *protocol.Config
	file     []byte // contents of the configuration file, which a reload reads again
	draining bool   // the process has received SIGTERM
}

// The notifications that the goroutines of a process post to the loop, each at most once.
const (
	hasStarted = iota
	hasFailed
	hasEnded
	notificationKinds
)

// post runs f on the loop. Its key makes the order of notifications independent of the scheduling of goroutines.
func (i *instance) post(l *nodeProcess, news int, f func()) {
	i.run.loop.Post(loop.Key{Source: "node " + i.conf.Name, Sequence: uint64(l.number*notificationKinds + news)}, f)
}

// start starts a process of the node, unless one runs. If stale is set, its initial endpoint list is out of date.
func (i *instance) start(stale bool) {
	if i.process != nil {
		return
	}
	i.starts++
	known := i.run.registry.ConfiguredList(stale)
	seed := figure.Stream(i.run.script.Seed, fmt.Sprintf("node %s %d", i.conf.Name, i.starts)).Uint64()
	file, err := nodefile.Write(&i.run.script.World, i.conf, nodefile.NodeStart{
		Listen: i.conf.Name + ":" + nodePort, Discovery: i.run.discovery, LastEndpoints: known, Seed: seed,
	})
	if err != nil {
		i.run.addViolation("crash", "%v", err)
		return
	}
	l := &nodeProcess{number: i.starts, file: file}
	i.process = l
	i.run.observer.NodeStarted(i.conf.Name, versionOf(known)) // before the node's first call to discovery
	host := i.run.net.Host(i.conf.Name)
	log := i.run.logger(i.conf.Name)
	go func() {
		// aligns the node's ticks to whole microseconds, at which the lab has no events
		now := i.run.loop.Now()
		time.Sleep(now.Truncate(time.Microsecond) + time.Microsecond - now)
		n, err := i.launch(l, host.Listen, host.Dial, log)
		i.post(l, hasStarted, func() {
			switch {
			case err != nil:
				i.run.addViolation("crash", "node %s did not start: %v", i.conf.Name, err)
			case i.process != l: // killed before it listened
				n.Abort()
			default:
				l.node = n
				i.run.front.NodeStarted(i.conf.Name)
				i.watchFailure(l)
			}
		})
	}()
}

func (i *instance) launch(l *nodeProcess, listen listener, dial dialer, log *slog.Logger) (*node.Node, error) {
	c, err := protocol.Load(i.getenv, func(string) ([]byte, error) { return l.file, nil })
	if err != nil {
		return nil, err
	}
	l.config = c
	return node.Start(c, node.Options{
		Listen: func(addr string) (net.Listener, error) {
			l, err := listen(addr)
			return pacedListener{l}, err
		},
		Dial: dial, Log: log,
		WrapTransport: func(c routing.Transport) routing.Transport { return staggeredTransport{c, i.run.peerIndex} },
		WrapWatcher:   func(w routing.Watcher) routing.Watcher { return delayedWatcher{w} },
	})
}

// watchFailure reports a node that fails without having been stopped.
func (i *instance) watchFailure(l *nodeProcess) {
	failed := l.node.Failed()
	go func() {
		select {
		case err := <-failed:
			i.post(l, hasFailed, func() {
				if i.process == l && !l.draining {
					i.run.addViolation("crash", "node %s failed: %v", i.conf.Name, err)
				}
			})
		case <-i.run.done:
		}
	}()
}

func (i *instance) getenv(name string) string {
	return map[string]string{
		protocol.EnvName: i.conf.Name, protocol.EnvListen: i.conf.Name + ":" + nodePort,
		protocol.EnvDiscovery: i.run.script.World.Discovery.Addr, protocol.EnvConfig: "config.json",
		protocol.EnvAdmin: i.adminAddr(),
	}[name]
}

// adminAddr returns the address of the node's admin server. It is empty if no fault of the script issues an operator's
// call.
func (i *instance) adminAddr() string {
	for _, f := range i.run.script.Faults {
		if f.Kind == "maintenance" || f.Kind == "pause" {
			return i.conf.Name + ":9900"
		}
	}
	return ""
}

// kill ends the process immediately and closes its connections.
func (i *instance) kill() {
	l := i.process
	if l == nil {
		return
	}
	i.process = nil
	i.run.observer.NodeKilled(i.conf.Name)
	i.run.front.NodeDied(i.conf.Name)
	i.run.net.Kill(i.conf.Name)
	if l.node != nil {
		l.node.Abort()
	}
}

// term sends SIGTERM: the node drains and exits.
func (i *instance) term() {
	l := i.process
	if l == nil || l.node == nil || l.draining {
		return
	}
	l.draining = true
	i.run.front.NodeTerminating(i.conf.Name)
	i.run.observer.NodeSignaled(i.conf.Name, "SIGTERM", "")
	go func() {
		l.node.Drain()
		i.post(l, hasEnded, func() {
			if i.process != l {
				return // killed in the meantime
			}
			i.process = nil
			i.run.front.NodeDied(i.conf.Name)
			i.run.net.Kill(i.conf.Name) // no connection is open by now; new ones are refused
		})
	}()
}

// operate issues an operator's call. A node that runs must accept each call.
func (i *instance) operate(call admin.Command) {
	l := i.process
	if l == nil || l.node == nil || l.draining {
		return
	}
	restores := call.Name == admin.Restore || call.Name == admin.Resume
	if restores { // the command takes effect before the call returns
		i.run.observer.NodeCommanded(i.conf.Name, call.Name, call.ServerID)
	}
	if _, err := l.node.Do(call); err != nil {
		i.run.addViolation("operators", "node %s: %s %s: %v", i.conf.Name, call.Name, call.ServerID, err)
		return
	}
	if call.Name == admin.Pause {
		i.run.front.NodeTerminating(i.conf.Name) // the front's checks find the node not ready from now on
	}
	if !restores {
		i.run.observer.NodeCommanded(i.conf.Name, call.Name, call.ServerID)
	}
}

// reload sends SIGHUP after it has written the address of discovery to the configuration file.
func (i *instance) reload(discovery string) {
	l := i.process
	if l == nil || l.node == nil || l.draining {
		return
	}
	l.file = bytes.Replace(l.file, quoted("discovery", l.config.Discovery), quoted("discovery", discovery), 1)
	c, err := l.config.Reload(i.getenv, func(string) ([]byte, error) { return l.file, nil })
	if err != nil {
		i.run.addViolation("crash", "node %s refused a sound configuration: %v", i.conf.Name, err)
		return
	}
	l.config = c
	i.run.observer.NodeSignaled(i.conf.Name, "SIGHUP", discovery)
	go l.node.Reload(c)
}

func quoted(name, value string) []byte { return fmt.Appendf(nil, "%q:%q", name, value) }

// heldResources describes the resources that a node holds beyond those allowed when it is idle. It is empty if there
// are none. listed is the number of listed peers.
func (i *instance) heldResources(listed int) (string, error) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	r, err := i.process.node.Resources(ctx)
	if err != nil {
		return "", err
	}
	var held []error
	for _, h := range []struct {
		what      string
		n, atMost int
	}{
		{"open calls", r.OpenCalls, 0}, {"names of calls", r.CallIDs, 0}, {"tries", r.Attempts, 0},
		{"client connections", r.ClientConns, 0}, {"connections to peers", r.ServerConns, listed}, {"peers", r.Servers, listed}, // health checks keep one connection to each peer
	} {
		if h.n > h.atMost {
			held = append(held, fmt.Errorf("%d %s", h.n, h.what))
		}
	}
	if len(held) == 0 {
		return "", nil
	}
	return errors.Join(held...).Error(), nil
}

// logger returns a logger that writes a node's log lines to the run's log.
func (r *run) logger(name string) *slog.Logger {
	w := r.options.Log
	if w == nil {
		w = io.Discard
	}
	return slog.New(slog.NewTextHandler(w, nil)).With("node", name)
}
