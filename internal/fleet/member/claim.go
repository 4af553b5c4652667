package member

// Claim is what one process states of its right to a node's name.
type Claim struct {
	Incarnation
	// Settled reports that the process has held the name for a while among others, and nobody objected.
	Settled bool
}

// Prevails reports whether claim a keeps a name that b claims as well. Of one home the later incarnation does: the
// other is a process that the node has left behind. Of two homes a settled one does, so that a newcomer that was given
// a wrong name displaces nobody; else the lesser home, so that both processes come to the same answer.
func Prevails(a, b Claim) bool {
	switch {
	case a.Home == b.Home:
		return a.Number >= b.Number
	case a.Settled != b.Settled:
		return a.Settled
	}
	return a.Home < b.Home
}
