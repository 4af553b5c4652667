package member

// Claim is the claim of one process to a node's name.
type Claim struct {
	Incarnation
	// Settled reports that the process has held the name for claimSettleDelay with other members present and without a
	// conflict.
	Settled bool
}

// Prevails reports whether the process with claim a keeps a name that the process with claim b uses as well. If both
// have the same home, the later incarnation prevails: the other process is an earlier run of the node. If their homes
// differ, a settled claim prevails, so that a new node that was configured with a wrong name displaces no member.
// Otherwise the home that sorts first prevails, so that both processes reach the same result.
func Prevails(a, b Claim) bool {
	switch {
	case a.Home == b.Home:
		return a.Number >= b.Number
	case a.Settled != b.Settled:
		return a.Settled
	}
	return a.Home < b.Home
}
