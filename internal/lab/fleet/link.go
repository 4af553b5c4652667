package fleet

import (
	"errors"
	"time"

	"olivebridge/internal/lab/fault"
)

const (
	// reorderDelay is by how much a packet is late that others are to overtake: several of a member's own intervals.
	reorderDelay = 60 * time.Millisecond
	// retransmitDelay is by how much a piece of a stream is late that was lost.
	retransmitDelay = 200 * time.Millisecond
)

// errReset says that a fault resets a stream.
var errReset = errors.New("reset by the rig")

// linkKey is an ordered pair of nodes, by index.
type linkKey struct{ from, to int }

// reversed is the way back.
func (k linkKey) reversed() linkKey {
	return linkKey{from: k.to, to: k.from}
}

// link is what goes from one node to another, as faults have made it.
type link struct {
	cuts        int                // in force
	impairments []fault.Impairment // in force
	traffic     Traffic
}

// Traffic is what links have forwarded, and what not.
type Traffic struct {
	Packets      int64
	Dropped      int64
	Duplicated   int64
	Delayed      int64
	Bytes        int64
	Streams      int64
	Resets       int64
	Lost         int64   // of Dropped, by chance
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

// linkLocked is a link, which is made if there is none. The caller holds the lock.
func (r *Relays) linkLocked(key linkKey) *link {
	l := r.links[key]
	if l == nil {
		l = &link{}
		r.links[key] = l
	}
	return l
}

// changeLinks changes every link from some nodes to others.
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

// Cut forwards nothing from some nodes to others until it is healed. Bytes on a stream wait, as they would on a network
// that has fallen silent.
func (r *Relays) Cut(from, to func(name string) bool) (heal func()) {
	if r.cutsIgnored {
		return func() {}
	}
	r.changeLinks(from, to, func(l *link) { l.cuts++ })
	return func() { r.changeLinks(from, to, func(l *link) { l.cuts-- }) }
}

// Impair loses, delays, duplicates or resets some of what goes from some nodes to others, until it is healed.
func (r *Relays) Impair(from, to func(name string) bool, impairment fault.Impairment) (heal func()) {
	r.changeLinks(from, to, func(l *link) { l.impairments = append(l.impairments, impairment) })
	return func() {
		r.changeLinks(from, to, func(l *link) { l.remove(impairment) })
	}
}

// remove removes one impairment.
func (l *link) remove(impairment fault.Impairment) {
	for i := range l.impairments {
		if l.impairments[i] == impairment {
			l.impairments = append(l.impairments[:i:i], l.impairments[i+1:]...)
			return
		}
	}
}

// TotalTraffic is the traffic of all links.
func (r *Relays) TotalTraffic() Traffic {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var total Traffic
	for _, l := range r.links {
		total.add(l.traffic)
	}
	return total
}

// isOpen reports whether nothing cuts a link.
func (r *Relays) isOpen(key linkKey) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	l := r.links[key]
	return l == nil || l.cuts == 0
}

// countStream counts a stream that was begun over a link.
func (r *Relays) countStream(key linkKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.linkLocked(key).traffic.Streams++
}

// packetFate draws what becomes of a packet: how often it is forwarded, 0 if it is lost, and after which delay.
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

// pieceFate draws what becomes of a piece of a stream: after which delay it is forwarded, or errReset.
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
