package peer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minPartedBody is the minimum size of the body of a response in parts: over 64 KiB.
	minPartedBody = 64<<10 + 1
	// partCount is the number of parts of such a response.
	partCount = 3
	// maxPartedChunk is the maximum size of its chunks.
	maxPartedChunk = 32 << 10
)

// Framings of a response in parts.
const (
	partedWithLength = iota
	partedByClose
	partedInChunks          // cut anywhere
	partedBetweenChunks     // cut at the end of a chunk
	partedFramings      int = iota
)

// sendInParts sends a long 200 response in parts, with a pause between them. The connection reads no further request
// before the last part is sent.
func (c *conn) sendInParts(a *attempt, j *job) {
	p := c.process.peer
	draws := p.responseDraws("parts", a)
	size := max(int(float64(a.class.PartedBody)*(0.5+draws.Float64())), minPartedBody)
	body := appendLetters(draws, p.responseBody(a), size)
	if t := p.env.Attempts; t != nil {
		t.AttemptAnswered(p.config.Name, a.id, body)
	}
	framing := draws.IntN(partedFramings)
	response, cuts := partedResponse(draws, framing, body)
	p.env.Observer.PeerAnswersInParts(p.config.Name, a.id)
	c.job = j
	pause := time.Duration(float64(a.class.PartPause.D()) * draws.Float64())
	c.sendPart(response, cuts, pause, framing == partedByClose || a.closeAfter)
}

// partedResponse returns the bytes of a response in a framing, and the offsets at which it is cut.
func partedResponse(draws *rand.Rand, framing int, body []byte) (response []byte, cuts []int) {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	var ends []int
	switch framing {
	case partedWithLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	case partedByClose:
		fmt.Fprintf(&b, "Connection: close\r\n\r\n%s", body)
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for left := body; len(left) > 0; {
			n := min(1+draws.IntN(maxPartedChunk), len(left))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, left[:n])
			left = left[n:]
			ends = append(ends, b.Len())
		}
		b.WriteString("0\r\n\r\n")
	}
	const head = 64 // more than the bytes of any of these heads
	for range partCount - 1 {
		cut := head + draws.IntN(b.Len()-head)
		if framing == partedBetweenChunks {
			cut = ends[draws.IntN(len(ends))]
		}
		cuts = append(cuts, cut)
	}
	slices.Sort(cuts)
	return b.Bytes(), append(cuts, b.Len())
}

// sendPart sends the response up to the first of the cuts, and the rest after a pause.
func (c *conn) sendPart(response []byte, cuts []int, pause time.Duration, last bool) {
	if len(cuts) == 1 {
		c.send(response, last)
		c.readRequests()
		return
	}
	c.link.Write(response[:cuts[0]])
	rest := make([]int, 0, len(cuts)-1)
	for _, cut := range cuts[1:] {
		rest = append(rest, cut-cuts[0])
	}
	c.sendTimer = c.process.after(pause, func() {
		if !c.closed {
			c.sendPart(response[cuts[0]:], rest, pause, last)
		}
	})
}
