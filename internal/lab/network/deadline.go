package network

import "time"

// deadline is until when a port's reads, or its writes, may take.
type deadline struct {
	at    time.Time // zero: for ever
	timer *time.Timer
}

// set changes it. wake is called around the time that it passes.
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
