package peer

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"olivebridge/internal/lab/figure"
)

// Shares of good answers in other forms than a length and a connection kept.
const (
	chunkedShare = 0.1
	lastShare    = 0.03
)

// longBody is beyond any reader's buffer.
const longBody = 12 << 10

// maxBody keeps an answer within what the platform allows.
const maxBody = 60 << 10

// rejected marks an answer to a call that never ran.
const rejected = "X-Rejected: 1\r\n"

// plain is an answer without a body of a peer's own making.
func plain(status, fields string) []byte {
	body := status[4:] + "\n"
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// failure is the answer to a call that ran and failed. Most are a 500; some word
// it as a gateway before the server would, which proves nothing of what ran.
func failure(wording float64) []byte {
	odd := []struct{ status, fields string }{
		{"502 Bad Gateway", ""}, {"503 Service Unavailable", ""}, {"504 Gateway Timeout", ""},
		{"503 Service Unavailable", "X-Rejected: 0\r\n"}, {"500 Internal Server Error", rejected},
	}
	if i := int(wording * 4 * float64(len(odd))); i < len(odd) {
		return plain(odd[i].status, odd[i].fields)
	}
	return plain("500 Internal Server Error", "")
}

// stream is random numbers for what an attempt's answer holds.
func (p *Peer) stream(what string, a *call) *rand.Rand {
	return figure.Stream(p.env.Seed, fmt.Sprintf("%s %s call %s run %d", what, p.c.Name, a.id, a.run))
}

// body is the answer to an attempt. It says whose it is and for whom, and no
// two attempts get the same.
func (p *Peer) body(a *call) []byte {
	r := p.stream("answer", a)
	size := min(int(float64(a.class.Answer)*figure.Uniform(r, 0.5, 1.5)), maxBody)
	if a.long {
		size = max(size, longBody)
	}
	b := fmt.Appendf(make([]byte, 0, size+64), "peer=%s call=%s run=%d ", p.c.Name, a.id, a.run)
	return fill(r, b, size)
}

// fill adds letters until there are size bytes.
func fill(r *rand.Rand, b []byte, size int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEF"
	for len(b) < size {
		for u, n := r.Uint64(), min(size-len(b), 12); n > 0; n-- {
			b = append(b, letters[u%32])
			u /= 32
		}
	}
	return b
}

// answer is a good answer on the wire, and whether the connection ends with it.
func (p *Peer) answer(a *call) (wire []byte, last bool) {
	body := p.body(a)
	if t := p.env.Attempts; t != nil {
		t.AttemptAnswered(p.c.Name, a.id, body)
	}
	last = a.last || a.fate.last < lastShare
	var b bytes.Buffer
	b.Grow(len(body) + 256)
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n")
	if last {
		b.WriteString("Connection: close\r\n")
	}
	if a.fate.framing >= chunkedShare {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
		return b.Bytes(), last
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	cut := 1 + int(a.fate.framing/chunkedShare*float64(len(body)-1))
	for _, part := range [][]byte{body[:cut], body[cut:]} {
		if len(part) > 0 {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
		}
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes(), last
}

// surplus is a good answer with more than itself: ahead of it an interim one,
// or behind it a second copy, or noise. All of it leaves at once: what follows
// later, into the next call's answer, nobody could tell from that.
//
// Half of those answers are long: what stands behind a short one is read into a buffer with it, and behind a long one it
// is left to whoever uses the connection next.
func (p *Peer) surplus(a *call) (wire []byte, last bool) {
	_, part := math.Modf(a.fate.surplusKind * 4)
	a.long = part < 0.5
	wire, last = p.answer(a)
	switch int(a.fate.surplusKind * 4) {
	case 0:
		wire = append(wire, wire...)
	case 1:
		wire = append(wire, noise(p.stream("noise", a), 100)...)
	case 2:
		wire = append([]byte("HTTP/1.1 100 Continue\r\n\r\n"), wire...)
	default:
		wire = append([]byte("HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n"), wire...)
	}
	return wire, last
}

// noise is bytes that begin no answer.
func noise(r *rand.Rand, n int) []byte {
	b := []byte{0x16}
	for len(b) < n {
		b = append(b, byte(r.Uint32()))
	}
	return b
}

// Ways to spoil an answer.
const (
	spoiltNoise   = iota
	spoiltHead        // cannot be read
	spoiltEndless     // a head without end
	spoiltShort       // less than its length says, then silence
	spoiltTwice       // two lengths
	spoiltHuge        // a huge length, and bytes that keep coming
	spoiltKinds   int = iota
)

// Bounds on what keeps coming.
const (
	endlessHead = 48 << 10
	hugeBody    = 1 << 20
	moreEach    = 2 * time.Millisecond
)

// spoilt sends an answer that cannot be taken for one.
func (c *conn) spoilt(a *call) {
	p := c.of.p
	r, body := p.stream("spoilt", a), p.body(a)
	const head = "HTTP/1.1 200 OK\r\n"
	switch int(a.fate.spoilKind * float64(spoiltKinds)) {
	case spoiltNoise:
		c.link.Write(noise(r, 40+r.IntN(400)))
	case spoiltHead:
		bad := []string{
			"HTTP/1.1 2x0 OK\r\n", "HTTP/9 200\r\n", head + "no colon here\r\n", head + "Content-Length: many\r\n",
		}
		c.link.Write(fmt.Appendf(nil, "%s\r\n%s", bad[r.IntN(len(bad))], body))
	case spoiltEndless:
		c.link.Write([]byte(head))
		c.keepSending(endlessHead, func() []byte { return append(fill(r, []byte("X-Fill: "), 1<<10), "\r\n"...) })
	case spoiltShort:
		c.link.Write(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body)+1+r.IntN(100), body))
	case spoiltTwice:
		if r.IntN(2) == 0 { // whoever goes by the one reads another body than whoever goes by the other
			chunk := body[:len(body)/2]
			c.link.Write(fmt.Appendf(nil, "%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
				head, len(body), len(chunk), chunk))
			return
		}
		c.link.Write(fmt.Appendf(nil, "%sContent-Length: %d\r\nContent-Length: %d\r\n\r\n%s",
			head, len(body), len(body)-1-r.IntN(5), body))
	default:
		c.link.Write(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, 1<<30, body))
		c.keepSending(hugeBody, func() []byte { return fill(r, nil, 16<<10) })
	}
}

// keepSending sends part after part until the connection ends or it has sent
// most bytes; then it is silent.
func (c *conn) keepSending(most int, part func() []byte) {
	c.more = c.of.after(moreEach, func() {
		if c.gone {
			return
		}
		b := part()
		c.link.Write(b)
		if most > len(b) {
			c.keepSending(most-len(b), part)
		}
	})
}
