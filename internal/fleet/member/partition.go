package member

// Partition is the conclusion about a network partition that a process can draw from its own view. Failed members and
// members on the other side of a partition look alike, so both count as Dead.
type Partition struct {
	Present  int  // number of members that may still act, this one included
	Known    int  // number of present and dead members; a member that left as planned is not counted
	Majority bool // Present is more than half of Known, which holds on one side of a partition at most
	Isolated bool // no other member is present, although others are known
	Suspect  int  // number of present members that are suspect
}

// Partition counts the present and the dead members of the view.
func (v *View) Partition() Partition {
	var p Partition
	for _, m := range v.Members {
		switch {
		case m.State.Present():
			p.Present++
			p.Known++
			if m.State == Suspect {
				p.Suspect++
			}
		case m.State == Dead:
			p.Known++
		}
	}
	p.Majority = 2*p.Present > p.Known
	p.Isolated = p.Present == 1 && p.Known > 1
	return p
}
