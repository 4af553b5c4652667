package stage

import (
	"testing"
	"time"

	"olivebridge/internal/lab/sample"
)

// countingSink is a Sink that counts what it receives.
type countingSink struct {
	outcomes map[sample.Outcome]int
	readings int
	arrived  int
	events   int
	bad      int // requests with times out of order, and readings that are too far apart
	last     time.Duration
}

func (c *countingSink) Request(r sample.Request) {
	c.outcomes[r.Outcome]++
	if r.ScheduledAt > r.SentAt || r.SentAt > r.EndedAt || r.SentAt-r.ScheduledAt > time.Microsecond {
		c.bad++
	}
}

func (c *countingSink) Reading(r sample.Reading) {
	if r.At > c.last+readingInterval && r.At < 10*time.Second {
		c.bad++
	}
	c.readings, c.last, c.arrived = c.readings+1, r.At, 0
	for _, p := range r.Peers {
		c.arrived += p.AttemptsReceived
	}
}

func (c *countingSink) Event(sample.Event) { c.events++ }

// Verifies that a sink does not change a run, and that it receives each request once.
func TestWatch(t *testing.T) {
	s := draw(t, 3)
	w := &countingSink{outcomes: map[sample.Outcome]int{}}
	plain, watched := play(t, s, Options{}), play(t, s, Options{Watch: w})
	if plain.Hash != watched.Hash {
		t.Errorf("hash %s without a sink, %s with one", plain.Hash, watched.Hash)
	}
	received, tally := w.outcomes, watched.Tally
	failed := received[sample.Failed] + received[sample.NotAccepted]
	if received[sample.Served] != tally.Served+tally.Late || received[sample.Rejected] != tally.Refused ||
		received[sample.Unanswered] != tally.Unanswered || received[sample.ClientLeft] != tally.Left || failed != tally.Failed {
		t.Errorf("sink received outcomes %v, want those of the tally %+v", received, tally)
	}
	if w.bad > 0 || w.events == 0 || w.arrived == 0 || w.arrived > tally.Tries || w.readings < int(s.Length.D()/readingInterval) {
		t.Errorf("sink received %+v in a run with tally %+v", w, tally)
	}
}
