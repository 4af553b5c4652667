package network

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
)

// placement is where a machine stands.
type placement struct {
	zone   string
	client bool
}

// Place puts a machine into a zone. Between a client's and any other, bytes take
// the clients' way. Machines that are not placed stand where the first one does.
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

// pathDelay is the time between two machines, without load and jitter.
func (n *Net) pathDelay(a, b string) time.Duration {
	switch from, to := n.placementOf(a), n.placementOf(b); {
	case from.client || to.client:
		return n.config.Client.D()
	case from.zone == to.zone:
		return n.config.Same.D()
	}
	return n.config.Cross.D()
}

// delay is how long a parcel that is sent now takes, and draws its jitter.
func (p *pipe) delay() time.Duration {
	n := p.conn.net
	if p.jitterRand == nil {
		p.jitterRand = figure.Stream(n.seed, p.streamName())
	}
	return time.Duration(float64(p.baseDelay()) * (1 + n.config.Jitter*p.jitterRand.Float64()))
}

// baseDelay is the same without jitter.
func (p *pipe) baseDelay() time.Duration {
	d := float64(p.conn.pathDelay)
	for _, r := range p.conn.net.slowdowns {
		if r.between(p.conn.from, p.conn.host) {
			d *= r.factor
		}
	}
	return time.Duration(d)
}

// These bound the pause before a further piece of a write.
const (
	minPieceGap = 5 * time.Microsecond
	maxPieceGap = 2 * time.Millisecond
)

// pieces cuts what was written where it will be cut on its way. Its draws come
// from a stream of their own: whether writes are cut leaves the jitter as it was.
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

// pieceGap draws a pause, as often of microseconds as of milliseconds.
func pieceGap(r *rand.Rand) time.Duration {
	span := float64(maxPieceGap) / float64(minPieceGap)
	return time.Duration(float64(minPieceGap) * math.Pow(span, r.Float64()))
}
