// Package straight is a link.Fabric without faults, chance or bounds: every
// byte takes the same time. Tests of the world's parts run over it, so that
// what they see is those parts' own doing.
package straight

import (
	"fmt"
	"net"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// Fabric carries everything after the same delay.
type Fabric struct {
	loop  *loop.Loop
	delay time.Duration
	takes map[string]*listener
	count map[string]int // connections dialed, by "from>to"
	Open  int            // ends of connections that neither were closed nor broke

	// Unread lets every Reset look like one that left bytes unread.
	Unread bool
}

// New makes a Fabric with a delay one way.
func New(l *loop.Loop, delay time.Duration) *Fabric {
	return &Fabric{loop: l, delay: delay, takes: map[string]*listener{}, count: map[string]int{}}
}

type listener struct {
	f      *Fabric
	addr   string
	accept func(link.Conn) link.Handler
}

// Listen implements link.Fabric.
func (f *Fabric) Listen(addr string, accept func(link.Conn) link.Handler) (link.Listener, error) {
	if f.takes[addr] != nil {
		return nil, fmt.Errorf("listen %s: taken", addr)
	}
	l := &listener{f, addr, accept}
	f.takes[addr] = l
	return l, nil
}

// Close implements link.Listener.
func (l *listener) Close() {
	if l.f.takes[l.addr] == l {
		delete(l.f.takes, l.addr)
	}
}

// Dial implements link.Fabric.
func (f *Fabric) Dial(from, to string, timeout time.Duration, h link.Handler) link.Conn {
	host, _, _ := net.SplitHostPort(to)
	way := from + ">" + host
	f.count[way]++
	id := fmt.Sprintf("%s#%d", way, f.count[way])
	a, b := &end{f: f, id: id, h: h}, &end{f: f, id: id, up: true}
	a.other, b.other = b, a
	f.Open++
	f.loop.After(f.delay, func() {
		l := f.takes[to]
		if a.gone {
			return
		}
		if l != nil {
			f.Open++
			b.h = l.accept(b)
		}
		f.loop.After(f.delay, func() {
			switch {
			case a.gone && b.h != nil:
				b.ended = true
				b.h.End(b, link.ErrEOF)
			case a.gone:
			case l == nil:
				a.hear(link.ErrRefused)
			case b.h == nil:
				b.leave()
				a.hear(link.ErrReset)
			default:
				a.up = true
				h.Up(a)
				early := a.early
				a.early = nil
				for _, do := range early {
					do()
				}
			}
		})
	})
	return a
}

// end is one end of a connection.
type end struct {
	f      *Fabric
	id     string
	other  *end
	h      link.Handler
	up     bool
	gone   bool     // closed or broken here
	ended  bool     // h has heard its End
	finned bool     // this side ended its sending
	early  []func() // what was asked before Up
	held   bool
	late   []func() // what came while held
	coming int      // bytes on their way here, or held
}

func (e *end) leave() {
	if !e.gone {
		e.gone = true
		e.f.Open--
	}
}

// hear tells the handler of an end that is no EOF.
func (e *end) hear(err error) {
	if e.gone {
		return
	}
	e.leave()
	if !e.ended {
		e.ended = true
		e.h.End(e, err)
	}
}

// carry lets something happen at the other end, in order.
func (e *end) carry(do func()) {
	o := e.other
	e.f.loop.After(e.f.delay, func() {
		if o.held {
			o.late = append(o.late, do)
		} else {
			do()
		}
	})
}

// ID implements link.Conn.
func (e *end) ID() string { return e.id }

// Write implements link.Conn.
func (e *end) Write(b []byte) {
	b = append([]byte(nil), b...)
	if !e.up && !e.gone {
		e.early = append(e.early, func() { e.Write(b) })
		return
	}
	if e.gone || e.finned {
		return
	}
	o := e.other
	o.coming += len(b)
	e.carry(func() {
		if o.gone { // its program is no more
			e.f.loop.After(e.f.delay, func() { e.hear(link.ErrReset) })
			return
		}
		o.coming -= len(b)
		o.h.Data(o, b)
	})
}

// CloseWrite implements link.Conn.
func (e *end) CloseWrite() {
	if !e.up && !e.gone {
		e.early = append(e.early, e.CloseWrite)
		return
	}
	if e.gone || e.finned {
		return
	}
	e.finned = true
	o := e.other
	e.carry(func() {
		if !o.gone && !o.ended {
			o.ended = true
			o.h.End(o, link.ErrEOF)
		}
	})
}

// Close implements link.Conn.
func (e *end) Close() {
	if e.gone {
		return
	}
	o := e.other
	switch {
	case e.up && e.coming > 0: // a reset overtakes nothing here, but tells of the bytes
		e.carry(func() { o.hear(link.ErrUnread) })
	case e.up:
		e.CloseWrite()
	}
	e.leave()
}

// Reset implements link.Conn.
func (e *end) Reset() {
	if e.gone {
		return
	}
	e.leave()
	o := e.other
	if e.up && o.h != nil {
		err := link.ErrReset
		if e.f.Unread {
			err = link.ErrUnread
		}
		e.carry(func() { o.hear(err) })
	}
}

// Hold implements link.Conn.
func (e *end) Hold(held bool) {
	e.held = held
	for !e.held && len(e.late) > 0 {
		do := e.late[0]
		e.late = e.late[1:]
		do()
	}
}
