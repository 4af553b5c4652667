package network

import (
	"context"
	"crypto/sha256"
	"fmt"
	"hash"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

const oneWay = time.Millisecond

// testNetwork is a network in a synctest bubble that records all its events.
type testNetwork struct {
	*Net
	t      *testing.T
	events []string // "conn kind note"
	bytes  map[string]string
	trace  hash.Hash
}

func (l *testNetwork) Observe(event link.Event) {
	l.events = append(l.events, strings.TrimSpace(fmt.Sprint(event.Conn, " ", event.Kind, " ", event.Note)))
	l.bytes[fmt.Sprintf("%s %s %t", event.Conn, event.Kind, event.Back)] += string(event.Data)
	fmt.Fprintln(l.trace, event)
}

func (l *testNetwork) count(text string) (n int) {
	for _, s := range l.events {
		if strings.Contains(s, text) {
			n++
		}
	}
	return n
}

// runNetwork calls f to set up the test and then runs the loop for ten virtual seconds. The bubble fails the test if
// a goroutine is left; runNetwork fails it if a connection is still open.
func runNetwork(t *testing.T, config world.Net, f func(l *testNetwork)) *testNetwork {
	t.Helper()
	var l *testNetwork
	if config.Same == 0 {
		config.Same = figure.Span(oneWay)
	}
	config.Cross, config.Client = 4*config.Same, 2*config.Same
	synctest.Test(t, func(t *testing.T) {
		l = &testNetwork{t: t, bytes: map[string]string{}, trace: sha256.New()}
		l.Net = New(loop.New(synctest.Wait), 7, config, l)
		f(l)
		l.loop.Run(context.Background(), 10*time.Second, nil)
		if l.OpenCount() != 0 {
			t.Errorf("open connections at the end of the run: %v, want none", l.OpenIDs())
		}
	})
	return l
}

// recordingHandler is a link.Handler that records its calls.
type recordingHandler struct {
	up, data, end func(c link.Conn)
	conn          link.Conn // of the last call
	first         link.Conn
	received      []byte
	endErrors     []error
	network       *testNetwork
}

func (e *recordingHandler) record(c link.Conn, f func(link.Conn)) {
	if e.conn = c; e.first == nil {
		e.first = c
	}
	if f != nil {
		f(c)
	}
}

func (e *recordingHandler) Up(c link.Conn) { e.record(c, e.up) }

func (e *recordingHandler) Data(c link.Conn, b []byte) {
	e.received = append(e.received, b...)
	e.record(c, e.data)
}

func (e *recordingHandler) End(c link.Conn, err error) {
	e.endErrors = append(e.endErrors, err)
	e.record(c, e.end)
}

// listen makes e the handler of the connections that arrive at addr.
func (l *testNetwork) listen(addr string, e *recordingHandler) link.Listener {
	e.network = l
	k, err := l.Listen(addr, func(c link.Conn) link.Handler {
		e.record(c, nil)
		return e
	})
	if err != nil {
		l.t.Error(err)
	}
	return k
}

// dialAt dials from the modelled client c1 at an instant.
func (l *testNetwork) dialAt(at time.Duration, to string, e *recordingHandler) {
	e.network = l
	l.loop.At(at, func() { e.conn = l.Dial("c1", to, time.Second, e) })
}

func (l *testNetwork) at(at time.Duration, f func()) { l.loop.At(at, f) }

// acceptOnNode calls f on node n1 with the first connection that it accepts.
func (l *testNetwork) acceptOnNode(f func(p *port)) {
	k, err := l.Host("n1").Listen(":80")
	if err != nil {
		l.t.Error(err)
	}
	go func() {
		defer k.Close()
		if c, err := k.Accept(); err == nil {
			f(c.(*port))
		}
	}()
}

// dialFromNode calls f on node n1 with a connection that it dials.
func (l *testNetwork) dialFromNode(to string, f func(p *port)) {
	go func() {
		c, err := l.Host("n1").Dial(context.Background(), to)
		if err != nil {
			l.t.Error(err)
			return
		}
		defer c.Close()
		f(c.(*port))
	}()
}

// runOnLoop runs f on the loop at the present instant.
func (l *testNetwork) runOnLoop(f func()) { l.loop.Post(loop.Key{}, f) }
