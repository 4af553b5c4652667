package client

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// builder builds the bytes of one attack. Ids and keys begin with "bad-", so that
// requests of an attack can be recognised at a peer.
type builder struct {
	env      *Env
	draws    *rand.Rand
	id       string
	reason   string
	deadline time.Duration // deadline for the node's error or close; used if longer than the kind's
}

// validMessage returns a valid request, which an attack then makes invalid.
func (d *builder) validMessage() *message {
	return d.validMessageOf(d.pickClass(func(world.Class) bool { return true }))
}

func (d *builder) validMessageOf(c world.Class) *message {
	tenant := ""
	if n := len(d.env.Tenants); n > 0 {
		tenant = d.env.Tenants[d.draws.IntN(n)].Name
	}
	body := requestBody(d.id, 40+d.draws.IntN(400))
	return validMessage(c.Name, c.Safe, d.id, tenant, d.id, c.Deadline.D(), body)
}

// pickClass draws a class that matches or, if none matches, any class.
func (d *builder) pickClass(match func(world.Class) bool) world.Class {
	var matching []world.Class
	for _, c := range d.env.Classes {
		if match(c) {
			matching = append(matching, c)
		}
	}
	if len(matching) == 0 {
		matching = d.env.Classes
	}
	return matching[d.draws.IntN(len(matching))]
}

func isSafe(c world.Class) bool   { return c.Safe }
func isUnsafe(c world.Class) bool { return !c.Safe }

// validPost returns a valid request with a body, which requires an unsafe class.
func (d *builder) validPost() *message {
	h := d.validMessageOf(d.pickClass(isUnsafe))
	if h.method != "POST" { // there is no unsafe class; then the method does not fit the class either
		h.method, h.body = "POST", requestBody(d.id, 100)
	}
	return h
}

// encode returns the bytes of a request. It adds Content-Length if the request has
// a body and no framing yet.
func encode(h *message) []byte {
	if len(h.body) > 0 && !h.has("Content-Length") && !h.has("Transfer-Encoding") {
		h.add("Content-Length", fmt.Sprint(len(h.body)))
	}
	return append(h.headBytes(), h.body...)
}

// field returns the first header field with the name, and panics if there is none.
func (h *message) field(name string) *field {
	for i := range h.fields {
		if strings.EqualFold(h.fields[i].name, name) {
			return &h.fields[i]
		}
	}
	panic("no field " + name)
}

func (h *message) remove(name string) {
	for i := range h.fields {
		if strings.EqualFold(h.fields[i].name, name) {
			h.fields = append(h.fields[:i], h.fields[i+1:]...)
			return
		}
	}
}

// choose draws one of the choices.
func (d *builder) choose(choices ...string) string { return choices[d.draws.IntN(len(choices))] }

// edited returns steps that send an edited request at once and nothing after it.
func edited(edit func(h *message, d *builder)) func(d *builder) []step {
	return func(d *builder) []step {
		h := d.validMessage()
		edit(h, d)
		return []step{{bytes: encode(h)}}
	}
}

// editedPost does the same with a request that has a body.
func editedPost(edit func(h *message, d *builder)) func(d *builder) []step {
	return func(d *builder) []step {
		h := d.validPost()
		edit(h, d)
		return []step{{bytes: encode(h)}}
	}
}

// byteByByte returns steps that send one byte every interval, for at most the time limit, and then nothing.
func (d *builder) byteByByte(b []byte, interval, limit time.Duration) []step {
	var out []step
	for i := 0; i < len(b) && time.Duration(i)*interval < limit; i++ {
		out = append(out, step{after: interval, bytes: b[i : i+1]})
	}
	return out
}

// flood returns steps that send first, and then send more every interval, for the given number of times.
func flood(first, more []byte, times int, interval time.Duration) []step {
	out := []step{{bytes: first}}
	for range times {
		out = append(out, step{after: interval, bytes: more})
	}
	return out
}

// noiseBytes returns random bytes that are not the start of a request.
func (d *builder) noiseBytes() []byte {
	b := make([]byte, 20+d.draws.IntN(400))
	for i := range b {
		b[i] = byte(d.draws.Uint32())
	}
	b[0] = 0x80 | b[0]
	return append(b, "\r\n\r\n"...)
}

func (d *builder) randomPause(lo, hi float64) time.Duration {
	return figure.Seconds(figure.Uniform(d.draws, lo, hi))
}
