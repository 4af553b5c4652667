package member

import (
	"fmt"
	"strings"
	"time"
)

// State is the state of a member in the view of one process.
type State string

// The states of a member. A member that has Left or is Dead stays in the view for tombstoneTime as a tombstone, so that
// a package that holds work or quota of the member can distinguish the two.
const (
	Alive   State = "alive"
	Suspect State = "suspect" // does not answer probes, but is not declared dead and still counts
	Leaving State = "leaving" // a planned shutdown has begun; it accepts no new work
	Left    State = "left"    // has shut down as planned
	Dead    State = "dead"    // has failed, or is cut off from this process
)

// Present reports whether a member in this state may still act.
func (s State) Present() bool { return s == Alive || s == Suspect || s == Leaving }

// Incarnation is one run of a node's program, identified by the home of the node's directory and the number of starts
// in that directory. Incarnations with the same home are ordered. Incarnations of one name with different homes belong
// to different nodes. The key for it in files, logs and messages is "life".
type Incarnation struct {
	Home   string `json:"home"`   // random ID of a directory, 16 hexadecimal digits
	Number uint64 `json:"number"` // number of starts in the directory, from 1
}

// String returns home and number in the format of the logs.
func (i Incarnation) String() string { return fmt.Sprintf("%s/%d", i.Home, i.Number) }

// Member is one node in a view.
type Member struct {
	Name        string      `json:"name"`
	Zone        string      `json:"zone,omitempty"` // empty: the node has none
	Addr        string      `json:"addr"`           // IP address and port at which other nodes reach the member
	Incarnation Incarnation `json:"life"`
	State       State       `json:"state"`
	// Predecessor reports that the process of the previous incarnation may still be finishing its requests, as during an
	// upgrade.
	Predecessor bool `json:"elder,omitempty"`
	// Since is the time at which the state began, on the clock of Table.Apply.
	Since time.Duration `json:"since"`
}

// setState sets the state and the time at which it began.
func (m *Member) setState(state State, now time.Duration) {
	m.State = state
	m.Since = now
}

// View is the set of a fleet's members as one process sees it at one time. It is immutable.
type View struct {
	Number  uint64   `json:"number"`  // counts the views of this process from 1
	Self    string   `json:"self"`    // name of the node that has this view
	Members []Member `json:"members"` // sorted by name, tombstones included
}

// Lookup returns the member with a name.
func (v *View) Lookup(name string) (Member, bool) {
	for _, m := range v.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Present returns the members that may still act, this node included.
func (v *View) Present() []Member {
	var present []Member
	for _, m := range v.Members {
		if m.State.Present() {
			present = append(present, m)
		}
	}
	return present
}

// String returns a description of the view for operators.
func (v *View) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "view %d, %d here:", v.Number, len(v.Present()))
	for _, m := range v.Members {
		fmt.Fprintf(&b, " %s %s", m.Name, m.State)
		if m.Zone != "" {
			fmt.Fprintf(&b, " in %s", m.Zone)
		}
		b.WriteByte(',')
	}
	return strings.TrimSuffix(b.String(), ",")
}
