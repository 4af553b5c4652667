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

// nodePort is where every node of the lab listens.
const nodePort = "9000"

// instance is one node of the run, through all its lives. Its fields belong to the loop.
type instance struct {
	run   *run
	c     world.Node
	lives int   // that it has begun
	live  *life // nil: it does not run
}

// life is what a node is from a start to its end.
type life struct {
	number  int
	node    *node.Node // nil until it listens
	config  *protocol.Config
	file    []byte // of its configuration; a reload reads it anew
	leaving bool   // it was told SIGTERM
}

// What a life's goroutines bring to the loop, each once.
const (
	hasStarted = iota
	hasFailed
	hasEnded
	newsOfLife
)

// post lets f run on the loop, in an order that does not hang on luck.
func (i *instance) post(l *life, news int, f func()) {
	i.run.loop.Post(loop.Key{Source: "node " + i.c.Name, Sequence: uint64(l.number*newsOfLife + news)}, f)
}

// start begins a life. stale says that the list it had last is an old one.
func (i *instance) start(stale bool) {
	if i.live != nil {
		return
	}
	i.lives++
	known := i.run.registry.ConfiguredList(stale)
	seed := figure.Stream(i.run.script.Seed, fmt.Sprintf("node %s %d", i.c.Name, i.lives)).Uint64()
	file, err := nodefile.Write(&i.run.script.World, i.c, nodefile.NodeStart{
		Listen: i.c.Name + ":" + nodePort, Discovery: i.run.discovery, LastEndpoints: known, Seed: seed,
	})
	if err != nil {
		i.run.fail("crash", "%v", err)
		return
	}
	l := &life{number: i.lives, file: file}
	i.live = l
	i.run.observer.NodeStarted(i.c.Name, versionOf(known)) // ahead of its first call to discovery
	host := i.run.net.Host(i.c.Name)
	log := i.run.logger(i.c.Name)
	go func() {
		// its ticks fall on whole microseconds, where no event of the lab does
		now := i.run.loop.Now()
		time.Sleep(now.Truncate(time.Microsecond) + time.Microsecond - now)
		n, err := i.launch(l, host.Listen, host.Dial, log)
		i.post(l, hasStarted, func() {
			switch {
			case err != nil:
				i.run.fail("crash", "node %s did not start: %v", i.c.Name, err)
			case i.live != l: // killed before it was up
				n.Abort()
			default:
				l.node = n
				i.run.front.NodeStarted(i.c.Name)
				i.watch(l)
			}
		})
	}()
}

func (i *instance) launch(l *life, listen listener, dial dialer, log *slog.Logger) (*node.Node, error) {
	c, err := protocol.Load(i.getenv, func(string) ([]byte, error) { return l.file, nil })
	if err != nil {
		return nil, err
	}
	l.config = c
	return node.Start(c, node.Options{
		Listen: func(addr string) (net.Listener, error) {
			l, err := listen(addr)
			return pace{l}, err
		},
		Dial: dial, Log: log,
		WrapTransport: func(c routing.Transport) routing.Transport { return spread{c, i.run.places} },
		WrapWatcher:   func(w routing.Watcher) routing.Watcher { return lag{w} },
	})
}

// watch hears of a node that fails by itself.
func (i *instance) watch(l *life) {
	failed := l.node.Failed()
	go func() {
		select {
		case err := <-failed:
			i.post(l, hasFailed, func() {
				if i.live == l && !l.leaving {
					i.run.fail("crash", "node %s failed: %v", i.c.Name, err)
				}
			})
		case <-i.run.over:
		}
	}()
}

func (i *instance) getenv(name string) string {
	return map[string]string{
		protocol.EnvName: i.c.Name, protocol.EnvListen: i.c.Name + ":" + nodePort,
		protocol.EnvDiscovery: i.run.script.World.Discovery.Addr, protocol.EnvConfig: "config.json",
		protocol.EnvAdmin: i.door(),
	}[name]
}

// door is where operators call; empty where the script has none of their calls.
func (i *instance) door() string {
	for _, f := range i.run.script.Faults {
		if f.Kind == "maintenance" || f.Kind == "pause" {
			return i.c.Name + ":9900"
		}
	}
	return ""
}

// kill ends a life at once: the process is gone, and its connections with it.
func (i *instance) kill() {
	l := i.live
	if l == nil {
		return
	}
	i.live = nil
	i.run.observer.NodeKilled(i.c.Name)
	i.run.front.NodeDied(i.c.Name)
	i.run.net.Kill(i.c.Name)
	if l.node != nil {
		l.node.Abort()
	}
}

// term is SIGTERM: a planned end.
func (i *instance) term() {
	l := i.live
	if l == nil || l.node == nil || l.leaving {
		return
	}
	l.leaving = true
	i.run.front.NodeTerminating(i.c.Name)
	i.run.observer.NodeSignaled(i.c.Name, "SIGTERM", "")
	go func() {
		l.node.Drain()
		i.post(l, hasEnded, func() {
			if i.live != l {
				return // killed in between
			}
			i.live = nil
			i.run.front.NodeDied(i.c.Name)
			i.run.net.Kill(i.c.Name) // nothing is open by now; whatever comes is refused
		})
	}()
}

// operate makes an operator's call. A node that runs says yes to each.
func (i *instance) operate(call admin.Command) {
	l := i.live
	if l == nil || l.node == nil || l.leaving {
		return
	}
	back := call.Name == admin.Restore || call.Name == admin.Resume
	if back { // it holds while it is being said
		i.run.observer.NodeCommanded(i.c.Name, call.Name, call.ServerID)
	}
	if _, err := l.node.Do(call); err != nil {
		i.run.fail("operators", "node %s: %s %s: %v", i.c.Name, call.Name, call.ServerID, err)
		return
	}
	if call.Name == admin.Pause {
		i.run.front.NodeTerminating(i.c.Name) // which finds that it is not ready any more
	}
	if !back {
		i.run.observer.NodeCommanded(i.c.Name, call.Name, call.ServerID)
	}
}

// reload is SIGHUP: the configuration file names discovery anew.
func (i *instance) reload(discovery string) {
	l := i.live
	if l == nil || l.node == nil || l.leaving {
		return
	}
	l.file = bytes.Replace(l.file, quoted("discovery", l.config.Discovery), quoted("discovery", discovery), 1)
	c, err := l.config.Reload(i.getenv, func(string) ([]byte, error) { return l.file, nil })
	if err != nil {
		i.run.fail("crash", "node %s refused a sound configuration: %v", i.c.Name, err)
		return
	}
	l.config = c
	i.run.observer.NodeSignaled(i.c.Name, "SIGHUP", discovery)
	go l.node.Reload(c)
}

func quoted(name, value string) []byte { return fmt.Appendf(nil, "%q:%q", name, value) }

// rest says what a node still holds though nothing is open any more; "": nothing.
func (i *instance) rest(listed int) (string, error) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	r, err := i.live.node.Resources(ctx)
	if err != nil {
		return "", err
	}
	var held []error
	for _, h := range []struct {
		what      string
		n, atMost int
	}{
		{"open calls", r.OpenCalls, 0}, {"names of calls", r.CallIDs, 0}, {"tries", r.Attempts, 0},
		{"client connections", r.ClientConns, 0}, {"connections to peers", r.ServerConns, listed}, {"peers", r.Servers, listed}, // one each stays busy with probes
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

// logger writes a node's log lines to the run's log.
func (r *run) logger(name string) *slog.Logger {
	w := r.options.Log
	if w == nil {
		w = io.Discard
	}
	return slog.New(slog.NewTextHandler(w, nil)).With("node", name)
}
