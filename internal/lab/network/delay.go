package network

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
)

// placement is the location of a machine.
type placement struct {
	zone   string
	client bool
}

// Place puts a machine into a zone. Connections of a client have the delay of the client network, whatever the zones.
// Machines without a placement are in the zone of the machine placed first.
func (n *Net) Place(host, zone string, client bool) {
	if len(n.placements) == 0 {
		n.defaultZone = zone
	}
	n.placements[host] = placement{zone, client}
}

func (n *Net) placementOf(host string) placement {
	if p, ok := n.placements[host]; ok {
		return p
	}
	return placement{zone: n.defaultZone}
}

// pathDelay returns the one-way delay between two machines, without slowdowns and jitter.
func (n *Net) pathDelay(a, b string) time.Duration {
	switch from, to := n.placementOf(a), n.placementOf(b); {
	case from.client || to.client:
		return n.config.Client.D()
	case from.zone == to.zone:
		return n.config.Same.D()
	}
	return n.config.Cross.D()
}

// delay draws the jitter of a packet that is sent now and returns its one-way delay.
func (p *pipe) delay() time.Duration {
	n := p.conn.net
	if p.jitterRand == nil {
		p.jitterRand = figure.Stream(n.seed, p.streamName())
	}
	return time.Duration(float64(p.baseDelay()) * (1 + n.config.Jitter*p.jitterRand.Float64()))
}

// baseDelay returns the present one-way delay with slowdowns and without jitter.
func (p *pipe) baseDelay() time.Duration {
	d := float64(p.conn.pathDelay)
	for _, r := range p.conn.net.slowdowns {
		if r.between(p.conn.from, p.conn.host) {
			d *= r.factor
		}
	}
	return time.Duration(d)
}

// Bounds of the pause between two pieces of one write.
const (
	minPieceGap = 5 * time.Microsecond
	maxPieceGap = 2 * time.Millisecond
)

// pieces splits a write into the pieces that arrive separately, or returns nil if it stays whole. It draws from a
// random stream of its own, so that splitting does not change the jitter.
func (p *pipe) pieces(data []byte) [][]byte {
	n := p.conn.net
	if n.config.Pieces <= 0 {
		return nil
	}
	if p.pieceRand == nil {
		p.pieceRand = figure.Stream(n.seed, p.streamName()+" pieces")
	}
	if p.pieceRand.Float64() >= n.config.Pieces || len(data) < 2 {
		return nil
	}
	cuts := []int{len(data)}
	for range 1 + p.pieceRand.IntN(3) {
		cuts = append(cuts, 1+p.pieceRand.IntN(len(data)-1))
	}
	slices.Sort(cuts)
	var out [][]byte
	from := 0
	for _, to := range slices.Compact(cuts) {
		out = append(out, data[from:to:to])
		from = to
	}
	return out
}

// pieceGap draws a pause between two pieces. Its logarithm is uniform: pauses of microseconds are as frequent as
// pauses of milliseconds.
func pieceGap(r *rand.Rand) time.Duration {
	span := float64(maxPieceGap) / float64(minPieceGap)
	return time.Duration(float64(minPieceGap) * math.Pow(span, r.Float64()))
}
