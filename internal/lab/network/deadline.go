package network

import "time"

// deadline is the time limit of the reads or the writes of a port.
type deadline struct {
	at    time.Time // zero: no limit
	timer *time.Timer
}

// set changes the deadline. wake is called at about the time at which the deadline expires.
func (d *deadline) set(t time.Time, wake func()) {
	d.at = t
	switch wait := time.Until(t); {
	case t.IsZero() || wait <= 0:
		d.stop()
	case d.timer == nil:
		d.timer = time.AfterFunc(wait, wake)
	default:
		d.timer.Reset(wait)
	}
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}

func (d *deadline) expired() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }
