package peer

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"olivebridge/internal/lab/figure"
)

// Shares of 200 responses with an unusual framing or connection handling.
const (
	chunkedShare = 0.1  // sent with chunked transfer encoding
	closeShare   = 0.03 // followed by a close of the connection
)

// longBodyBytes is the minimum size of a long body, which exceeds the read buffer of any HTTP client.
const longBodyBytes = 12 << 10

// maxBodyBytes limits a response body to the size that the platform allows.
const maxBodyBytes = 60 << 10

// rejectedField is the header field of a response to a call that never ran.
const rejectedField = "X-Rejected: 1\r\n"

// plainResponse returns a response whose body is the reason phrase of its status.
func plainResponse(status, fields string) []byte {
	body := status[4:] + "\n"
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// failureResponse returns the response to a call that ran and failed. errorKind, in
// [0, 1), selects it: mostly a 500, in a quarter of the cases a status or header
// that a gateway in front of the server would send and that does not prove
// whether the call ran.
func failureResponse(errorKind float64) []byte {
	unusual := []struct{ status, fields string }{
		{"502 Bad Gateway", ""}, {"503 Service Unavailable", ""}, {"504 Gateway Timeout", ""},
		{"503 Service Unavailable", "X-Rejected: 0\r\n"}, {"500 Internal Server Error", rejectedField},
	}
	if i := int(errorKind * 4 * float64(len(unusual))); i < len(unusual) {
		return plainResponse(unusual[i].status, unusual[i].fields)
	}
	return plainResponse("500 Internal Server Error", "")
}

// responseDraws returns the random stream for one purpose of an attempt's response.
func (p *Peer) responseDraws(purpose string, a *attempt) *rand.Rand {
	return figure.Stream(p.env.Seed, fmt.Sprintf("%s %s call %s run %d", purpose, p.config.Name, a.id, a.number))
}

// responseBody returns the body of the response to an attempt. It contains the
// peer's name, the call's id and the number of the attempt, so no two attempts
// get the same body.
func (p *Peer) responseBody(a *attempt) []byte {
	r := p.responseDraws("answer", a)
	size := min(int(float64(a.class.ResponseBody)*figure.Uniform(r, 0.5, 1.5)), maxBodyBytes)
	if a.longResponse {
		size = max(size, longBodyBytes)
	}
	b := fmt.Appendf(make([]byte, 0, size+64), "peer=%s call=%s run=%d ", p.config.Name, a.id, a.number)
	return appendLetters(r, b, size)
}

// appendLetters appends random letters to b until it has size bytes.
func appendLetters(r *rand.Rand, b []byte, size int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEF"
	for len(b) < size {
		for u, n := r.Uint64(), min(size-len(b), 12); n > 0; n-- {
			b = append(b, letters[u%32])
			u /= 32
		}
	}
	return b
}

// okResponse returns the bytes of a 200 response, and whether the peer closes the connection after it.
func (p *Peer) okResponse(a *attempt) (response []byte, last bool) {
	body := p.responseBody(a)
	if t := p.env.Attempts; t != nil {
		t.AttemptAnswered(p.config.Name, a.id, body)
	}
	last = a.closeAfter || a.draws.closeConn < closeShare
	var b bytes.Buffer
	b.Grow(len(body) + 256)
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n")
	if last {
		b.WriteString("Connection: close\r\n")
	}
	if a.draws.framing >= chunkedShare {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
		return b.Bytes(), last
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	cut := 1 + int(a.draws.framing/chunkedShare*float64(len(body)-1))
	for _, part := range [][]byte{body[:cut], body[cut:]} {
		if len(part) > 0 {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
		}
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes(), last
}

// surplusResponse returns a 200 response with additional bytes: an interim response
// before it, or a second copy or noise after it. All bytes are written at once:
// bytes that arrived later, during the next call, could not be distinguished from
// the response to that call.
//
// Half of these responses are long. A client reads the bytes after a short response
// into its buffer along with the response; after a long one they remain on the
// connection for its next user.
func (p *Peer) surplusResponse(a *attempt) (response []byte, last bool) {
	_, fraction := math.Modf(a.draws.surplusKind * 4)
	a.longResponse = fraction < 0.5
	response, last = p.okResponse(a)
	switch int(a.draws.surplusKind * 4) {
	case 0:
		response = append(response, response...)
	case 1:
		response = append(response, noiseBytes(p.responseDraws("noise", a), 100)...)
	case 2:
		response = append([]byte("HTTP/1.1 100 Continue\r\n\r\n"), response...)
	default:
		response = append([]byte("HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n"), response...)
	}
	return response, last
}

// noiseBytes returns n random bytes that are not the start of a response.
func noiseBytes(r *rand.Rand, n int) []byte {
	b := []byte{0x16}
	for len(b) < n {
		b = append(b, byte(r.Uint32()))
	}
	return b
}

// Kinds of unreadable responses. The last can be read, but not as what it is.
const (
	unreadableNoise       = iota
	unreadableHead            // malformed status line or header field
	unreadableEndlessHead     // a head that never ends
	unreadableShortBody       // body shorter than Content-Length, then silence
	unreadableTwoLengths      // two Content-Length fields, or Content-Length and chunked encoding
	unreadableHugeBody        // Content-Length of 1 GiB, and a body that is sent piece by piece
	unreadableLongBody        // body longer than Content-Length
	unreadableKinds       int = iota
)

// Limits on the bytes that keepSending sends, and the interval between its writes.
const (
	endlessHeadBytes = 48 << 10
	hugeBodyBytes    = 1 << 20
	sendInterval     = 2 * time.Millisecond
)

// sendUnreadable sends a response that cannot be read as HTTP. The draw spoilKind selects its kind.
func (c *conn) sendUnreadable(a *attempt) {
	p := c.process.peer
	r, body := p.responseDraws("spoilt", a), p.responseBody(a)
	const head = "HTTP/1.1 200 OK\r\n"
	switch int(a.draws.spoilKind * float64(unreadableKinds)) {
	case unreadableNoise:
		c.link.Write(noiseBytes(r, 40+r.IntN(400)))
	case unreadableHead:
		bad := []string{
			"HTTP/1.1 2x0 OK\r\n", "HTTP/9 200\r\n", head + "no colon here\r\n", head + "Content-Length: many\r\n",
		}
		c.link.Write(fmt.Appendf(nil, "%s\r\n%s", bad[r.IntN(len(bad))], body))
	case unreadableEndlessHead:
		c.link.Write([]byte(head))
		c.keepSending(endlessHeadBytes, func() []byte {
			return append(appendLetters(r, []byte("X-Fill: "), 1<<10), "\r\n"...)
		})
	case unreadableShortBody:
		c.link.Write(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body)+1+r.IntN(100), body))
	case unreadableTwoLengths:
		if r.IntN(2) == 0 { // the body depends on which of the two a reader uses
			chunk := body[:len(body)/2]
			c.link.Write(fmt.Appendf(nil, "%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
				head, len(body), len(chunk), chunk))
			return
		}
		c.link.Write(fmt.Appendf(nil, "%sContent-Length: %d\r\nContent-Length: %d\r\n\r\n%s",
			head, len(body), len(body)-1-r.IntN(5), body))
	case unreadableLongBody:
		p.env.Observer.PeerMisframed(p.config.Name, a.id)
		missing := min(1+r.IntN(100), len(body))
		c.link.Write(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body)-missing, body))
	default:
		c.link.Write(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, 1<<30, body))
		c.keepSending(hugeBodyBytes, func() []byte { return appendLetters(r, nil, 16<<10) })
	}
}

// keepSending sends one part every sendInterval until the connection ends or limit
// bytes are sent, and then nothing.
func (c *conn) keepSending(limit int, part func() []byte) {
	c.sendTimer = c.process.after(sendInterval, func() {
		if c.closed {
			return
		}
		b := part()
		c.link.Write(b)
		if limit > len(b) {
			c.keepSending(limit-len(b), part)
		}
	})
}
