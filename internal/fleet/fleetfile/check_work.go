package fleetfile

import (
	"cmp"
	"time"
)

// The bounds of kept requests, and what is meant where nothing is set.
const (
	minWindow       = 10 * time.Second
	maxWindow       = 7 * 24 * time.Hour
	maxKept         = 1000000
	maxTries        = 10
	defaultWindow   = "1h"
	defaultMaxKept  = 100000
	defaultMaxTries = 3
)

// checkWork checks which requests survive the loss of a node.
func (c *checker) checkWork(w *Work) {
	if !c.has("work") {
		return
	}
	if len(w.Classes) == 0 {
		c.fail("work.classes", "missing")
	}
	c.checkNames("work.classes", w.Classes)
	w.Edition = c.checkVoters("work", w.Voters, w.Edition)
	w.Window = cmp.Or(w.Window, defaultWindow)
	w.Most = cmp.Or(w.Most, defaultMaxKept)
	w.Tries = cmp.Or(w.Tries, defaultMaxTries)
	w.WindowTime = c.checkDuration("work.window", w.Window, minWindow, maxWindow)
	c.checkRange("work.most", w.Most, 1, maxKept)
	c.checkRange("work.tries", w.Tries, 1, maxTries)
}
