package client

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"
)

// MalformedKind is one kind of malformed client. A node must not serve any input of
// the kind: the judge requires that the node sends an error (any status from 400)
// or closes the connection, and that it makes no attempt at a peer. Input that the
// platform or RFC 9112 lets the node accept belongs to no kind, except for bare
// line feeds. Examples of such input:
//   - a valid request followed by other bytes: it may be served before the rest is read;
//   - several valid requests sent at once on one connection;
//   - the same length given twice, also as "5, 5";
//   - long targets and heads, if they end;
//   - characters that RFC 3986 excludes from targets and most servers accept (| ^ { } and others);
//   - two keys in one query, or parameters besides the key;
//   - the id of a request that has ended, unless it must not run twice and may have run: see "again".
type MalformedKind struct {
	Name   string
	Reason string        // reported to the judge
	Within time.Duration // time limit for the error or the close
	Conns  int           // number of connections of one attack; 0: one
	// SameRequest makes all connections send the same valid request. The node must answer
	// the one that it reads first and send an error to the other while the first is
	// in progress. No single connection is malformed, so nothing is reported to the
	// judge. The class is unsafe, so the judge sees a second side effect if the
	// node attempts both.
	SameRequest bool
	// Gap is the time between the requests of the connections; 0: sameRequestGap.
	Gap   time.Duration
	steps func(d *builder) []step
}

// Time limits for a node to reject malformed input: the longer one is for input that
// keeps the node reading.
const (
	rejectLimit     = 3 * time.Second
	longRejectLimit = 6 * time.Second
)

// sameRequestGap is the time between the two requests of kinds with SameRequest, shorter than any request takes.
const sameRequestGap = 300 * time.Microsecond

// againGap is the time between the two requests of the kind "again": the client of the first has left by then.
const againGap = 100 * time.Millisecond

// manyFields is the number of header fields of the kind "many-fields".
const manyFields = 2000

// floodBytes is the number of bytes that a flooding client sends; maxNodeBodyBytes
// is the largest request body that a node accepts.
const (
	floodBytes       = 1 << 20
	maxNodeBodyBytes = 32 << 20
)

// kinds is the list of all kinds of malformed clients.
var kinds = []MalformedKind{
	// Input that is not HTTP/1.1.
	{Name: "noise", Reason: "no request", Within: rejectLimit, steps: func(d *builder) []step {
		return []step{{bytes: d.noiseBytes()}}
	}},
	{Name: "hello", Reason: "TLS", Within: rejectLimit, steps: func(d *builder) []step {
		return []step{{bytes: append([]byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"), d.noiseBytes()...)}}
	}},
	{Name: "http2", Reason: "another protocol", Within: rejectLimit, steps: func(*builder) []step {
		return []step{{bytes: []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")}}
	}},
	{Name: "http10", Reason: "another version", Within: rejectLimit, steps: edited(func(h *message, _ *builder) {
		h.version = "HTTP/1.0"
	})},

	// Requests that are incomplete or slow.
	{Name: "silent", Reason: "says nothing", Within: rejectLimit, Conns: 8, steps: func(*builder) []step { return nil }},
	{Name: "half-head", Reason: "head without end", Within: rejectLimit, steps: func(d *builder) []step {
		return []step{{bytes: truncate(d, d.validMessage().headBytes())}}
	}},
	{Name: "half-body", Reason: "body without end", Within: rejectLimit, steps: func(d *builder) []step {
		h := d.validPost()
		h.add("Content-Length", fmt.Sprint(len(h.body)+1+d.draws.IntN(500)))
		return []step{{bytes: encode(h)}}
	}},
	{Name: "half-closed", Reason: "half a request, and no more sent", Within: rejectLimit, steps: func(d *builder) []step {
		return []step{{bytes: truncate(d, encode(d.validPost())), then: closeWrite}}
	}},
	{Name: "half-left", Reason: "half a request, and gone", Within: rejectLimit, steps: func(d *builder) []step {
		return []step{{bytes: truncate(d, encode(d.validPost()))}, {after: d.randomPause(0, 0.05), then: closeConn}}
	}},
	{Name: "half-reset", Reason: "half a request, and a reset", Within: rejectLimit, steps: func(d *builder) []step {
		return []step{{bytes: truncate(d, encode(d.validPost()))}, {after: d.randomPause(0, 0.05), then: resetConn}}
	}},
	{Name: "slow-head", Reason: "head byte by byte", Within: rejectLimit, steps: func(d *builder) []step {
		return d.byteByByte(d.validMessage().headBytes(), 50*time.Millisecond, rejectLimit+responseGrace)
	}},
	{Name: "slow-body", Reason: "body byte by byte", Within: rejectLimit, steps: func(d *builder) []step {
		h := d.validPost()
		h.add("Content-Length", fmt.Sprint(len(h.body)+100))
		return append([]step{{bytes: h.headBytes()}},
			d.byteByByte(h.body, 100*time.Millisecond, rejectLimit+responseGrace)...)
	}},
	{Name: "many-fields", Reason: "head of very many short fields", Within: rejectLimit, steps: func(d *builder) []step {
		h := d.validMessage()
		for i := range manyFields {
			h.add(fmt.Sprintf("f%x", i), "")
		}
		return []step{{bytes: truncate(d, h.headBytes())}}
	}},
	{Name: "endless-head", Reason: "head that never ends", Within: longRejectLimit, steps: func(d *builder) []step {
		first := bytes.TrimSuffix(d.validMessage().headBytes(), []byte("\r\n"))
		line := "X-More: " + strings.Repeat("more ", 1600) + "\r\n"
		return flood(first, []byte(line), floodBytes/len(line), 5*time.Millisecond)
	}},

	// Bodies and their lengths.
	{Name: "large-body", Reason: "body too large", Within: longRejectLimit, steps: func(d *builder) []step {
		h := d.validPost()
		h.body = nil
		h.add("Content-Length", fmt.Sprint(maxNodeBodyBytes+floodBytes))
		more := make([]byte, maxBodyBytes/4)
		return flood(h.headBytes(), more, floodBytes/len(more), 5*time.Millisecond)
	}},
	{Name: "large-chunks", Reason: "chunk too large", Within: longRejectLimit, steps: func(d *builder) []step {
		h := d.validPost()
		h.body = nil
		h.add("Transfer-Encoding", "chunked")
		first := append(h.headBytes(), "10000000000000000\r\n"...) // the chunk size has 65 bits
		return flood(first, make([]byte, 0x4000), floodBytes/0x4000, 5*time.Millisecond)
	}},
	{Name: "over-body", Reason: "body one byte too large", Within: longRejectLimit, steps: func(d *builder) []step {
		h := d.validPost()
		h.body = nil
		h.add("Content-Length", fmt.Sprint(maxNodeBodyBytes+1))
		return []step{{bytes: append(h.headBytes(), make([]byte, maxBodyBytes+1)...)}}
	}},
	{Name: "two-lengths", Reason: "two lengths", Within: rejectLimit, steps: editedPost(twoLengths)},
	{Name: "length-and-chunks", Reason: "two framings", Within: rejectLimit, steps: editedPost(twoFramings)},
	{Name: "odd-length", Reason: "malformed length", Within: rejectLimit, steps: editedPost(malformedLength)},
	{Name: "smuggle", Reason: "a request hidden in a body", Within: rejectLimit, steps: func(d *builder) []step {
		inner := encode(d.validMessage())
		h := d.validPost()
		h.body = fmt.Appendf(nil, "0\r\n\r\n%s", inner)
		h.add("Content-Length", fmt.Sprint(len(h.body)))
		h.fields = append(h.fields, field{
			d.choose("Transfer-Encoding", "transfer-encoding"), d.choose(": ", ":", ":\t"),
			d.choose("chunked", "Chunked", "chunked, identity", "xchunked"), "",
		})
		return []step{{bytes: encode(h)}}
	}},

	// Header fields of the platform.
	{Name: "no-id", Reason: "no id", Within: rejectLimit, steps: edited(func(h *message, _ *builder) {
		h.remove("X-Call-Id")
	})},
	{Name: "odd-id", Reason: "malformed id", Within: rejectLimit, steps: edited(malformedID)},
	{Name: "two-ids", Reason: "id given twice", Within: rejectLimit, steps: edited(duplicateField("X-Call-Id"))},
	{Name: "no-class", Reason: "no class", Within: rejectLimit, steps: edited(func(h *message, _ *builder) {
		h.remove("X-Call-Class")
	})},
	{Name: "odd-class", Reason: "unknown class", Within: rejectLimit, steps: edited(unknownClass)},
	{Name: "two-classes", Reason: "class given twice", Within: rejectLimit, steps: edited(duplicateField("X-Call-Class"))},
	{Name: "odd-caller", Reason: "unknown caller", Within: rejectLimit, steps: edited(unknownCaller)},
	{Name: "odd-budget", Reason: "malformed budget", Within: rejectLimit, steps: edited(malformedBudget)},
	{Name: "two-budgets", Reason: "budget given twice", Within: rejectLimit, steps: edited(duplicateField("X-Budget"))},
	{Name: "hop", Reason: "a field of the platform named in Connection", Within: rejectLimit,
		steps: edited(hopByHopField)},

	// Methods and targets.
	{Name: "odd-method", Reason: "unknown method", Within: rejectLimit, steps: edited(unknownMethod)},
	{Name: "get-unsafe", Reason: "GET with an unsafe class", Within: rejectLimit, steps: func(d *builder) []step {
		h := d.validMessageOf(d.pickClass(isUnsafe))
		wrongMethod(h, d)
		return []step{{bytes: encode(h)}}
	}},
	{Name: "post-safe", Reason: "POST with a safe class", Within: rejectLimit, steps: func(d *builder) []step {
		h := d.validMessageOf(d.pickClass(isSafe))
		wrongMethod(h, d)
		return []step{{bytes: encode(h)}}
	}},
	{Name: "get-body", Reason: "GET with a body", Within: rejectLimit, steps: func(d *builder) []step {
		h := d.validMessageOf(d.pickClass(isSafe))
		h.method, h.body = "GET", requestBody(d.id, 50)
		return []step{{bytes: encode(h)}}
	}},
	{Name: "fragment", Reason: "target with a fragment", Within: rejectLimit, steps: edited(func(h *message, _ *builder) {
		h.target += "#x"
	})},
	{Name: "odd-target", Reason: "target of another form", Within: rejectLimit, steps: edited(malformedTarget)},

	// Header lines. RFC 9112 allows a receiver to accept bare line feeds as line
	// ends, but the next receiver may not: here a node must reject them.
	{Name: "folded", Reason: "folded line", Within: rejectLimit, steps: edited(foldedField)},
	{Name: "space-colon", Reason: "white space before a colon", Within: rejectLimit, steps: edited(spaceBeforeColon)},
	{Name: "odd-line", Reason: "malformed field", Within: rejectLimit, steps: edited(malformedLine)},
	{Name: "control", Reason: "control byte in a value", Within: rejectLimit, steps: edited(controlByte)},
	{Name: "bare-lf", Reason: "bare line feed", Within: rejectLimit, steps: func(d *builder) []step {
		return []step{{bytes: bareLF(encode(d.validMessage()), d)}}
	}},

	// Several requests.
	{Name: "burst", Reason: "many bad requests at once", Within: rejectLimit, steps: func(d *builder) []step {
		var all []byte
		for range 8 + d.draws.IntN(24) {
			h := d.validMessage()
			d.framingSafeEdit()(h, d)
			all = append(all, encode(h)...)
		}
		return []step{{bytes: all}}
	}},
	{Name: "twin", Within: rejectLimit, Conns: 2, SameRequest: true, steps: func(d *builder) []step {
		c := d.pickClass(isUnsafe)
		d.deadline = c.Deadline.D()
		return []step{{bytes: encode(d.validMessageOf(c))}}
	}},
	{Name: "again", Within: rejectLimit, Conns: 2, SameRequest: true, Gap: againGap, steps: func(d *builder) []step {
		c := d.pickClass(isUnsafe)
		d.deadline = c.Deadline.D() + againGap
		return []step{{bytes: encode(d.validMessageOf(c))}, {after: againGap / 2, then: closeConn}}
	}},
	{Name: "generated", Reason: "generated", Within: rejectLimit, steps: generatedSteps},
}

// truncate returns a random proper prefix of b, of at least one byte.
func truncate(d *builder, b []byte) []byte { return b[:1+d.draws.IntN(len(b)-1)] }

// MalformedKinds returns the names of all kinds, for generators of scripts.
func MalformedKinds() []string {
	var names []string
	for _, k := range kinds {
		names = append(names, k.Name)
	}
	return names
}

func findKind(name string) (MalformedKind, bool) {
	i := slices.IndexFunc(kinds, func(k MalformedKind) bool { return k.Name == name })
	if i < 0 {
		return MalformedKind{}, false
	}
	return kinds[i], true
}

// ValidByItself reports whether each request sent by malformed clients of the kind is valid by itself.
func ValidByItself(kind string) bool {
	k, ok := findKind(kind)
	return ok && k.SameRequest
}
