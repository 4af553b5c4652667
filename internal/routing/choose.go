package routing

import (
	"olivebridge/balancer"
)

// Chooser says with which of the listed servers the node works. It works beside the decisions, and must not wait.
type SubsetSelector interface {
	// Listed hears of all servers that take new work, as the decisions are shown them.
	EndpointsChanged([]balancer.Server)
	// Saw hears how a try or a probe went that came to an end of its own.
	ObserveResult(server balancer.ServerID, born balancer.Time, result balancer.Result, probe bool)
	// Tell has it tell from now on what is chosen.
	Subscribe(func(Subset))
}

// Choice is what a Chooser says.
type Subset struct {
	Included  map[balancer.ServerID]bool // what is not named stands aside; nil: nothing does
	Suspected map[balancer.ServerID]bool // and what is named here does
	// Zones is in how many zones nodes work. Where none does, servers get what other zones' nodes send across: nodes that go on
	// as if each zone had its own would leave them idle. 0: not known, it is as the settings have it.
	ActiveZones int
}

// chosen is what the router knows of choices. It belongs to the goroutine of Run.
type chosen struct {
	by    SubsetSelector // nil: all are worked with
	group map[balancer.ServerID]balancer.Server
	now   Subset
}

// take takes in what a list would show the decisions, and has what is not chosen stand aside.
func (c *chosen) take(kind balancer.UpdateKind, shown []balancer.Server) []balancer.Server {
	if c.by == nil {
		return shown
	}
	if kind != balancer.UpdateDelta || c.group == nil {
		c.group = map[balancer.ServerID]balancer.Server{}
	}
	for i, s := range shown {
		if s.State == balancer.Removed {
			delete(c.group, s.ID)
			continue
		}
		c.group[s.ID] = s
		shown[i] = c.aside(s)
	}
	var all []balancer.Server
	for _, s := range c.group {
		if s.State == balancer.Ready {
			all = append(all, s)
		}
	}
	c.by.EndpointsChanged(all)
	return shown
}

func (c *chosen) aside(s balancer.Server) balancer.Server {
	s.Suspended = c.now.Included != nil && !c.now.Included[s.ID] || c.now.Suspected[s.ID]
	return s
}

// saw tells whoever chooses.
func (c *chosen) saw(p *Upstream, r balancer.Result, probe bool) {
	if c.by != nil && p != nil {
		c.by.ObserveResult(p.ID, p.startTime(), r, probe)
	}
}

// settings are those that the decisions get.
func (c *chosen) settings(set balancer.Settings) balancer.Settings {
	if c.now.ActiveZones > 0 {
		set.Zones = min(set.Zones, c.now.ActiveZones)
	}
	return set
}

// chooseEvent brings what is chosen.
type chooseEvent struct{ choice Subset }

func (e chooseEvent) handle(r *Router) {
	c := &r.chosen
	before := *c
	c.now = e.choice
	if before.now.ActiveZones != c.now.ActiveZones {
		setEvent{r.set}.handle(r)
	}
	var changed []balancer.Server
	for _, s := range c.group {
		if now := c.aside(s); now != before.aside(s) {
			changed = append(changed, now)
		}
	}
	if len(changed) > 0 {
		r.balancer.HandleServers(r.now(), balancer.UpdateDelta, changed)
	}
}
