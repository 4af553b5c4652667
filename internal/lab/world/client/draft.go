package client

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// draft is what one attack is made from. Its id and key begin with "bad-", so
// that whatever of it reaches a peer can be told.
type draft struct {
	env    *Env
	draws  *rand.Rand
	id     string
	why    string
	within time.Duration // if longer than the kind's
}

// head is a lawful request, which attacks then spoil.
func (d *draft) head() *head { return d.headOf(d.class(func(world.Class) bool { return true })) }

func (d *draft) headOf(c world.Class) *head {
	tenant := ""
	if n := len(d.env.Tenants); n > 0 {
		tenant = d.env.Tenants[d.draws.IntN(n)].Name
	}
	body := filler(d.id, 40+d.draws.IntN(400))
	return lawful(c.Name, c.Safe, d.id, tenant, d.id, c.Deadline.D(), body)
}

// class draws a class that is such, or, where none is, any.
func (d *draft) class(such func(world.Class) bool) world.Class {
	var some []world.Class
	for _, c := range d.env.Classes {
		if such(c) {
			some = append(some, c)
		}
	}
	if len(some) == 0 {
		some = d.env.Classes
	}
	return some[d.draws.IntN(len(some))]
}

func isSafe(c world.Class) bool   { return c.Safe }
func isUnsafe(c world.Class) bool { return !c.Safe }

// post is a lawful request with a body: of an unsafe class.
func (d *draft) post() *head {
	h := d.headOf(d.class(isUnsafe))
	if h.method != "POST" { // no class is unsafe: the method does not fit, too
		h.method, h.body = "POST", filler(d.id, 100)
	}
	return h
}

// whole is a request's bytes, framed by its body's length unless it has a
// framing of its own.
func whole(h *head) []byte {
	if len(h.body) > 0 && !h.has("Content-Length") && !h.has("Transfer-Encoding") {
		h.add("Content-Length", fmt.Sprint(len(h.body)))
	}
	return append(h.bytes(), h.body...)
}

// field is a head's field of a name.
func (h *head) field(name string) *field {
	for i := range h.fields {
		if strings.EqualFold(h.fields[i].name, name) {
			return &h.fields[i]
		}
	}
	panic("no field " + name)
}

func (h *head) drop(name string) {
	for i := range h.fields {
		if strings.EqualFold(h.fields[i].name, name) {
			h.fields = append(h.fields[:i], h.fields[i+1:]...)
			return
		}
	}
}

// one of some texts.
func (d *draft) one(some ...string) string { return some[d.draws.IntN(len(some))] }

// once sends a spoilt request at once, and is silent then.
func once(spoil func(h *head, d *draft)) func(d *draft) []step {
	return func(d *draft) []step {
		h := d.head()
		spoil(h, d)
		return []step{{bytes: whole(h)}}
	}
}

// oncePost is the same with a request that has a body.
func oncePost(spoil func(h *head, d *draft)) func(d *draft) []step {
	return func(d *draft) []step {
		h := d.post()
		spoil(h, d)
		return []step{{bytes: whole(h)}}
	}
}

// drip sends bytes one by one, for at most a time, and then nothing.
func (d *draft) drip(b []byte, every, most time.Duration) []step {
	var out []step
	for i := 0; i < len(b) && time.Duration(i)*every < most; i++ {
		out = append(out, step{after: every, bytes: b[i : i+1]})
	}
	return out
}

// flood sends the first bytes, and then more and more of others.
func flood(first, more []byte, times int, every time.Duration) []step {
	out := []step{{bytes: first}}
	for range times {
		out = append(out, step{after: every, bytes: more})
	}
	return out
}

// noise is bytes that begin no request.
func (d *draft) noise() []byte {
	b := make([]byte, 20+d.draws.IntN(400))
	for i := range b {
		b[i] = byte(d.draws.Uint32())
	}
	b[0] = 0x80 | b[0]
	return append(b, "\r\n\r\n"...)
}

func (d *draft) pause(lo, hi float64) time.Duration {
	return figure.Seconds(figure.Uniform(d.draws, lo, hi))
}
