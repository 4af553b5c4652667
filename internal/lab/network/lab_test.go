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

// lab is a network in a bubble, with all that crossed it.
type lab struct {
	*Net
	t     *testing.T
	seen  []string // "conn what note"
	bytes map[string]string
	trace hash.Hash
}

func (l *lab) Observe(c link.Event) {
	l.seen = append(l.seen, strings.TrimSpace(fmt.Sprint(c.Conn, " ", c.Kind, " ", c.Note)))
	l.bytes[fmt.Sprintf("%s %s %t", c.Conn, c.Kind, c.Back)] += string(c.Data)
	fmt.Fprintln(l.trace, c)
}

func (l *lab) count(what string) (n int) {
	for _, s := range l.seen {
		if strings.Contains(s, what) {
			n++
		}
	}
	return n
}

// play runs f to set the scene and then the loop for ten seconds. The bubble
// proves that no goroutine is left, the rest that no connection is.
func play(t *testing.T, c world.Net, f func(l *lab)) *lab {
	t.Helper()
	var l *lab
	if c.Same == 0 {
		c.Same = figure.Span(oneWay)
	}
	c.Cross, c.Client = 4*c.Same, 2*c.Same
	synctest.Test(t, func(t *testing.T) {
		l = &lab{t: t, bytes: map[string]string{}, trace: sha256.New()}
		l.Net = New(loop.New(synctest.Wait), 7, c, l)
		f(l)
		l.loop.Run(context.Background(), 10*time.Second, nil)
		if l.Open() != 0 {
			t.Errorf("open at the end: %v", l.List())
		}
	})
	return l
}

// ear is an end of the world's that notes what it hears.
type ear struct {
	up, data, end func(c link.Conn)
	c             link.Conn // the last one
	first         link.Conn
	got           []byte
	ended         []error
	l             *lab
}

func (e *ear) heard(c link.Conn, f func(link.Conn)) {
	if e.c = c; e.first == nil {
		e.first = c
	}
	if f != nil {
		f(c)
	}
}

func (e *ear) Up(c link.Conn) { e.heard(c, e.up) }

func (e *ear) Data(c link.Conn, b []byte) {
	e.got = append(e.got, b...)
	e.heard(c, e.data)
}

func (e *ear) End(c link.Conn, err error) {
	e.ended = append(e.ended, err)
	e.heard(c, e.end)
}

// listen lets e take the connections that come to addr.
func (l *lab) listen(addr string, e *ear) link.Listener {
	e.l = l
	k, err := l.Listen(addr, func(c link.Conn) link.Handler {
		e.heard(c, nil)
		return e
	})
	if err != nil {
		l.t.Error(err)
	}
	return k
}

// dial dials from the world at an instant.
func (l *lab) dial(at time.Duration, to string, e *ear) {
	e.l = l
	l.loop.At(at, func() { e.c = l.Dial("c1", to, time.Second, e) })
}

func (l *lab) at(at time.Duration, f func()) { l.loop.At(at, f) }

// serve lets a node take one connection.
func (l *lab) serve(f func(p *port)) {
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

// ask lets a node dial.
func (l *lab) ask(to string, f func(p *port)) {
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

// now lets f run on the loop at once.
func (l *lab) now(f func()) { l.loop.Post(loop.Key{}, f) }
