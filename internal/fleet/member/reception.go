package member

import (
	"time"

	"olivebridge/internal/fleet/record"
)

const (
	// recentReceptionWindow is for how long after it was heard a member is hard to believe dead: below what memberlist takes to
	// declare one dead that is silent.
	recentReceptionWindow = time.Second
	// maxNumberGap is from which gap between two packets' numbers on the sender is taken to have restarted.
	maxNumberGap = 1 << 16
)

// reception is what was received from one sender.
type reception struct {
	lastReceived time.Time // when a packet or frame came last
	nextNumber   uint32    // number that the next packet should have
	started      bool      // a packet has come, and next counts
	received     int64     // packets
	missing      int64     // numbers that never came, or not yet
	duplicates   int64     // packets that came late, or twice
}

// countPacket counts a packet by its number.
func (r *reception) countPacket(number uint32) {
	r.received++
	gap := int32(number - r.nextNumber)
	switch {
	case !r.started, gap > maxNumberGap, gap < -maxNumberGap: // a sender that has restarted
		r.started = true
		r.nextNumber = number + 1
	case gap >= 0:
		r.missing += int64(gap)
		r.nextNumber = number + 1
	default:
		r.duplicates++
	}
}

// recordPacket notes a packet of a sender.
func (t *transport) recordPacket(sender string, number uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.touchReception(sender).countPacket(number)
}

// recordStreamFrame notes that a frame of a sender was read from a stream.
func (t *transport) recordStreamFrame(sender string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.touchReception(sender)
}

// touchReception returns what was received from a sender, which is heard now. It is called with mu held.
func (t *transport) touchReception(sender string) *reception {
	r := t.receptions[sender]
	if r == nil {
		if len(t.receptions) >= 2*MaxMembers { // names that nobody has any more
			clear(t.receptions)
		}
		r = &reception{}
		t.receptions[sender] = r
	}
	r.lastReceived = time.Now()
	return r
}

// receivedRecently reports whether a member was heard just now.
func (t *transport) receivedRecently(name string) bool {
	return time.Since(t.lastReceivedFrom(name)) < recentReceptionWindow
}

// lastReceivedFrom returns when a member was heard last; zero: never.
func (t *transport) lastReceivedFrom(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.receptions[name]; r != nil {
		return r.lastReceived
	}
	return time.Time{}
}

// lastReceived returns when anybody was heard last; zero: never.
func (t *transport) lastReceived() (last time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.receptions {
		if r.lastReceived.After(last) {
			last = r.lastReceived
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
			At:         monotonic - int64(now.Sub(r.lastReceived)),
			Received:   r.received,
			Missing:    r.missing,
			Duplicates: r.duplicates,
		}
	}
	return reports
}
