package fleet

import (
	"errors"
	"time"

	"olivebridge/internal/lab/fault"
)

const (
	// reorderDelay is the delay of a packet that others are meant to overtake: several sending intervals of a member.
	reorderDelay = 60 * time.Millisecond
	// retransmitDelay is the delay of a lost piece of a stream.
	retransmitDelay = 200 * time.Millisecond
)

// errReset is the error of a stream that a fault resets.
var errReset = errors.New("reset by the rig")

// linkKey is an ordered pair of nodes, by index.
type linkKey struct{ from, to int }

// reversed returns the key of the opposite direction.
func (k linkKey) reversed() linkKey {
	return linkKey{from: k.to, to: k.from}
}

// link is the state of one direction between two nodes, with the faults in effect.
type link struct {
	cuts        int          // number of active cuts
	impairments []fault.Ails // active impairments
	traffic     Traffic
}

// Traffic counts the packets, bytes and streams that links have forwarded, lost, duplicated, delayed or reset.
type Traffic struct {
	Packets      int64
	Dropped      int64
	Duplicated   int64
	Delayed      int64
	Bytes        int64
	Streams      int64
	Resets       int64
	Lost         int64   // those of Dropped that were lost by chance
	ExpectedLost float64 // the expected value of Lost
}

func (t *Traffic) add(other Traffic) {
	t.Packets += other.Packets
	t.Dropped += other.Dropped
	t.Duplicated += other.Duplicated
	t.Delayed += other.Delayed
	t.Bytes += other.Bytes
	t.Streams += other.Streams
	t.Resets += other.Resets
	t.Lost += other.Lost
	t.ExpectedLost += other.ExpectedLost
}

// linkLocked returns a link, which it creates at the first call. The caller holds r.mu.
func (r *Relays) linkLocked(key linkKey) *link {
	l := r.links[key]
	if l == nil {
		l = &link{}
		r.links[key] = l
	}
	return l
}

// changeLinks applies a change to every link from a node selected by from to a node selected by to.
func (r *Relays) changeLinks(from, to func(name string) bool, change func(*link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, a := range r.names {
		for j, b := range r.names {
			if i != j && from(a) && to(b) {
				change(r.linkLocked(linkKey{from: i, to: j}))
			}
		}
	}
}

// Cut stops all forwarding from some nodes to others until heal is called. Bytes of a stream wait meanwhile, as on a
// network that does not respond.
func (r *Relays) Cut(from, to func(name string) bool) (heal func()) {
	if r.cutsIgnored {
		return func() {}
	}
	r.changeLinks(from, to, func(l *link) { l.cuts++ })
	return func() { r.changeLinks(from, to, func(l *link) { l.cuts-- }) }
}

// Impair loses, delays, duplicates or resets part of the traffic from some nodes to others until heal is called.
func (r *Relays) Impair(from, to func(name string) bool, impairment fault.Ails) (heal func()) {
	r.changeLinks(from, to, func(l *link) { l.impairments = append(l.impairments, impairment) })
	return func() {
		r.changeLinks(from, to, func(l *link) { l.remove(impairment) })
	}
}

// remove removes one impairment that equals the given one.
func (l *link) remove(impairment fault.Ails) {
	for i := range l.impairments {
		if l.impairments[i] == impairment {
			l.impairments = append(l.impairments[:i:i], l.impairments[i+1:]...)
			return
		}
	}
}

// TotalTraffic returns the sum of the traffic of all links.
func (r *Relays) TotalTraffic() Traffic {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var total Traffic
	for _, l := range r.links {
		total.add(l.traffic)
	}
	return total
}

// isOpen reports whether a link has no active cut.
func (r *Relays) isOpen(key linkKey) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	l := r.links[key]
	return l == nil || l.cuts == 0
}

// countStream counts a new stream over a link.
func (r *Relays) countStream(key linkKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.linkLocked(key).traffic.Streams++
}

// packetFate decides at random how a packet is forwarded: the number of copies, 0 if the packet is lost, and their
// delay.
func (r *Relays) packetFate(key linkKey, size int) (copies int, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.linkLocked(key)
	if l.cuts > 0 {
		l.traffic.Dropped++
		return 0, 0
	}
	copies = 1
	for _, impairment := range l.impairments {
		l.traffic.ExpectedLost += impairment.Lose
		if r.chance(impairment.Lose) {
			l.traffic.Dropped++
			l.traffic.Lost++
			return 0, 0
		}
		if r.chance(impairment.Double) {
			copies++
		}
		delay += impairment.Delay
		if r.chance(impairment.Reorder) {
			delay += reorderDelay
		}
	}
	l.traffic.Packets += int64(copies)
	l.traffic.Bytes += int64(size * copies)
	l.traffic.Duplicated += int64(copies - 1)
	if delay > 0 {
		l.traffic.Delayed++
	}
	return copies, delay
}

// pieceFate decides at random how a piece of a stream is forwarded: its delay, or errReset.
func (r *Relays) pieceFate(key linkKey, size int) (delay time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.linkLocked(key)
	for _, impairment := range l.impairments {
		if r.chance(impairment.Reset) {
			l.traffic.Resets++
			return 0, errReset
		}
		delay += impairment.Delay
		if r.chance(impairment.Lose) {
			delay += retransmitDelay
		}
	}
	l.traffic.Bytes += int64(size)
	return delay, nil
}
