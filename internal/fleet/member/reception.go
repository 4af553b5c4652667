package member

import (
	"time"

	"olivebridge/internal/fleet/record"
)

const (
	// recentlyHeard is for how long after it was heard a member is hard to believe dead: below what memberlist takes to
	// declare one dead that is silent.
	recentlyHeard = time.Second
	// maxNumberGap is from which gap between two packets' numbers on the sender is taken to have restarted.
	maxNumberGap = 1 << 16
)

// reception is what was received from one sender.
type reception struct {
	last       time.Time // when a packet or frame came last
	next       uint32    // number that the next packet should have
	started    bool      // a packet has come, and next counts
	received   int64     // packets
	missing    int64     // numbers that never came, or not yet
	duplicates int64     // packets that came late, or twice
}

// takePacket counts a packet by its number.
func (r *reception) takePacket(number uint32) {
	r.received++
	gap := int32(number - r.next)
	switch {
	case !r.started, gap > maxNumberGap, gap < -maxNumberGap: // a sender that has restarted
		r.started = true
		r.next = number + 1
	case gap >= 0:
		r.missing += int64(gap)
		r.next = number + 1
	default:
		r.duplicates++
	}
}

// recordPacket notes a packet of a sender.
func (t *transport) recordPacket(sender string, number uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receptionOf(sender).takePacket(number)
}

// recordStreamFrame notes that a frame of a sender was read from a stream.
func (t *transport) recordStreamFrame(sender string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receptionOf(sender)
}

// receptionOf returns what was received from a sender, which is heard now. It is called with mu held.
func (t *transport) receptionOf(sender string) *reception {
	r := t.receptions[sender]
	if r == nil {
		if len(t.receptions) >= 2*MaxMembers { // names that nobody has any more
			clear(t.receptions)
		}
		r = &reception{}
		t.receptions[sender] = r
	}
	r.last = time.Now()
	return r
}

// heardRecently reports whether a member was heard just now.
func (t *transport) heardRecently(name string) bool {
	return time.Since(t.heardAt(name)) < recentlyHeard
}

// heardAt returns when a member was heard last; zero: never.
func (t *transport) heardAt(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.receptions[name]; r != nil {
		return r.last
	}
	return time.Time{}
}

// lastHeard returns when anybody was heard last; zero: never.
func (t *transport) lastHeard() (last time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.receptions {
		if r.last.After(last) {
			last = r.last
		}
	}
	return last
}

// ReceptionReport is what a process has received from one sender, in its record.
type ReceptionReport struct {
	At         int64 `json:"at"` // when it was heard last, as record.Line has times
	Received   int64 `json:"got"`
	Missing    int64 `json:"missed"`
	Duplicates int64 `json:"again"`
}

// receptionReports returns the reports of all senders, by name.
func (t *transport) receptionReports() map[string]ReceptionReport {
	now := time.Now()
	monotonic := int64(record.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make(map[string]ReceptionReport, len(t.receptions))
	for name, r := range t.receptions {
		reports[name] = ReceptionReport{
			At:         monotonic - int64(now.Sub(r.last)),
			Received:   r.received,
			Missing:    r.missing,
			Duplicates: r.duplicates,
		}
	}
	return reports
}
