package network

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
)

// place is where a machine stands.
type place struct {
	zone   string
	client bool
}

// Place puts a machine into a zone. Between a client's and any other, bytes take
// the clients' way. Machines that are not placed stand where the first one does.
func (n *Net) Place(host, zone string, client bool) {
	if len(n.places) == 0 {
		n.first = zone
	}
	n.places[host] = place{zone, client}
}

func (n *Net) at(host string) place {
	if p, ok := n.places[host]; ok {
		return p
	}
	return place{zone: n.first}
}

// distance is the time between two machines, without load and jitter.
func (n *Net) distance(a, b string) time.Duration {
	switch from, to := n.at(a), n.at(b); {
	case from.client || to.client:
		return n.c.Client.D()
	case from.zone == to.zone:
		return n.c.Same.D()
	}
	return n.c.Cross.D()
}

// delay is how long a parcel that is sent now takes, and draws its jitter.
func (p *pipe) delay() time.Duration {
	n := p.c.n
	if p.jitter == nil {
		p.jitter = figure.Stream(n.seed, p.name())
	}
	return time.Duration(float64(p.base()) * (1 + n.c.Jitter*p.jitter.Float64()))
}

// base is the same without jitter.
func (p *pipe) base() time.Duration {
	d := float64(p.c.distance)
	for _, r := range p.c.n.slows {
		if r.between(p.c.from, p.c.host) {
			d *= r.factor
		}
	}
	return time.Duration(d)
}

// These bound the pause before a further piece of a write.
const (
	leastGap = 5 * time.Microsecond
	mostGap  = 2 * time.Millisecond
)

// pieces cuts what was written where it will be cut on its way. Its draws come
// from a stream of their own: whether writes are cut leaves the jitter as it was.
func (p *pipe) pieces(data []byte) [][]byte {
	n := p.c.n
	if n.c.Pieces <= 0 {
		return nil
	}
	if p.cutter == nil {
		p.cutter = figure.Stream(n.seed, p.name()+" pieces")
	}
	if p.cutter.Float64() >= n.c.Pieces || len(data) < 2 {
		return nil
	}
	cuts := []int{len(data)}
	for range 1 + p.cutter.IntN(3) {
		cuts = append(cuts, 1+p.cutter.IntN(len(data)-1))
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

// gap draws a pause, as often of microseconds as of milliseconds.
func gap(r *rand.Rand) time.Duration {
	span := float64(mostGap) / float64(leastGap)
	return time.Duration(float64(leastGap) * math.Pow(span, r.Float64()))
}
