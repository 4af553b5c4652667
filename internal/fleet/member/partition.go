package member

// Partition is what a process can conclude from its own view of a network partition. A failure and a partition look
// alike from one side, so both count.
type Partition struct {
	Present  int  // members that may still act, this one included
	Known    int  // those and the dead; a member that left as planned is no loss
	Majority bool // more than half of Known is Present: no other side can say that
	Isolated bool // nobody else is Present, though others are known
	Suspect  int  // of Present, those that are silent
}

// Partition counts who is present and who is dead.
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
