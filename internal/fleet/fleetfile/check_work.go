package fleetfile

import (
	"cmp"
	"time"
)

// Limits and defaults of table work, for the requests that survive the loss of a node.
const (
	minWindow       = 10 * time.Second
	maxWindow       = 7 * 24 * time.Hour
	maxKept         = 1000000
	maxTries        = 10
	defaultWindow   = "1h"
	defaultMaxKept  = 100000
	defaultMaxTries = 3
)

// checkWork checks table work, which selects the requests that survive the loss of a node, and sets the defaults of the
// table.
func (c *checker) checkWork(work *Work) {
	if !c.has("work") {
		return
	}
	if len(work.Classes) == 0 {
		c.fail("work.classes", "missing")
	}
	c.checkNames("work.classes", work.Classes)
	work.Edition = c.checkVoters("work", work.Voters, work.Edition)
	work.Window = cmp.Or(work.Window, defaultWindow)
	work.Most = cmp.Or(work.Most, defaultMaxKept)
	work.Tries = cmp.Or(work.Tries, defaultMaxTries)
	work.WindowTime = c.checkDuration("work.window", work.Window, minWindow, maxWindow)
	c.checkRange("work.most", work.Most, 1, maxKept)
	c.checkRange("work.tries", work.Tries, 1, maxTries)
}
