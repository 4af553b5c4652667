package stage

import (
	"testing"
	"time"

	"olivebridge/internal/lab/sample"
)

// counted is a Sink that counts what it is told.
type counted struct {
	outcomes map[sample.Outcome]int
	readings int
	arrived  int
	events   int
	bad      int // requests whose times are not in their order
	last     time.Duration
}

func (c *counted) Request(r sample.Request) {
	c.outcomes[r.Outcome]++
	if r.ScheduledAt > r.SentAt || r.SentAt > r.EndedAt || r.SentAt-r.ScheduledAt > time.Microsecond {
		c.bad++
	}
}

func (c *counted) Reading(r sample.Reading) {
	if r.At > c.last+readEach && r.At < 10*time.Second {
		c.bad++
	}
	c.readings, c.last, c.arrived = c.readings+1, r.At, 0
	for _, p := range r.Peers {
		c.arrived += p.AttemptsReceived
	}
}

func (c *counted) Event(sample.Event) { c.events++ }

// To watch a run leaves it as it is, and each request is told once.
func TestWatch(t *testing.T) {
	s := draw(t, 3)
	w := &counted{outcomes: map[sample.Outcome]int{}}
	plain, watched := play(t, s, Options{}), play(t, s, Options{Watch: w})
	if plain.Hash != watched.Hash {
		t.Errorf("%s, and watched %s", plain.Hash, watched.Hash)
	}
	told, tally := w.outcomes, watched.Tally
	failed := told[sample.Failed] + told[sample.NotAccepted]
	if told[sample.Served] != tally.Served+tally.Late || told[sample.Rejected] != tally.Refused ||
		told[sample.Unanswered] != tally.Unanswered || told[sample.ClientLeft] != tally.Left || failed != tally.Failed {
		t.Errorf("told %v of %+v", told, tally)
	}
	if w.bad > 0 || w.events == 0 || w.arrived == 0 || w.arrived > tally.Tries || w.readings < int(s.Length.D()/readEach) {
		t.Errorf("%+v of %+v", w, tally)
	}
}
