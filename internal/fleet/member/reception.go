package member

import (
	"time"

	"olivebridge/internal/fleet/record"
)

const (
	// recentReceptionWindow is the time after a packet or frame from a member for which a report of the member's death is
	// doubted. It is shorter than the time that memberlist needs to declare a silent member dead.
	recentReceptionWindow = time.Second
	// maxNumberGap is the gap between the numbers of two packets above which the sender is assumed to have restarted.
	maxNumberGap = 1 << 16
)

// reception has what was received from one sender.
type reception struct {
	lastReceived time.Time // time of the last packet or frame
	nextNumber   uint32    // expected number of the next packet
	started      bool      // a packet has arrived, so nextNumber is valid
	received     int64     // number of packets
	missing      int64     // count of packet numbers that were skipped, whether lost or late
	duplicates   int64     // number of packets that arrived late or twice
}

// countPacket counts a packet by its number.
func (r *reception) countPacket(number uint32) {
	r.received++
	gap := int32(number - r.nextNumber)
	switch {
	case !r.started, gap > maxNumberGap, gap < -maxNumberGap: // the first packet, or one after a restart of the sender
		r.started = true
		r.nextNumber = number + 1
	case gap >= 0:
		r.missing += int64(gap)
		r.nextNumber = number + 1
	default:
		r.duplicates++
	}
}

// recordPacket records that a packet from a sender was received.
func (t *transport) recordPacket(sender string, number uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.touchReception(sender).countPacket(number)
}

// recordStreamFrame records that a frame from a sender was read from a stream.
func (t *transport) recordStreamFrame(sender string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.touchReception(sender)
}

// touchReception returns the reception of a sender after it has set its last reception time to now. The caller holds
// mu.
func (t *transport) touchReception(sender string) *reception {
	r := t.receptions[sender]
	if r == nil {
		if len(t.receptions) >= 2*MaxMembers { // drop names of nodes that no longer exist
			clear(t.receptions)
		}
		r = &reception{}
		t.receptions[sender] = r
	}
	r.lastReceived = time.Now()
	return r
}

// receivedRecently reports whether a packet or frame from a member was received within recentReceptionWindow.
func (t *transport) receivedRecently(name string) bool {
	return time.Since(t.lastReceivedFrom(name)) < recentReceptionWindow
}

// lastReceivedFrom returns the time of the last packet or frame from a member; zero: there was none.
func (t *transport) lastReceivedFrom(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.receptions[name]; r != nil {
		return r.lastReceived
	}
	return time.Time{}
}

// lastReceived returns the time of the last packet or frame from any member; zero: there was none.
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

// ReceptionReport is the record entry of what a process has received from one sender.
type ReceptionReport struct {
	At         int64 `json:"at"` // time of the last packet or frame, on the clock of record.Line
	Received   int64 `json:"got"`
	Missing    int64 `json:"missed"`
	Duplicates int64 `json:"again"`
}

// receptionReports returns a report for each sender, by the sender's name.
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
