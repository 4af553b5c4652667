package member

import (
	"fmt"
	"strings"
	"time"
)

// State is what is believed of a member.
type State string

// The states. A member that has Left or is Dead stays in the view for a while as a tombstone, so that whoever holds
// work or budget of it can tell the two apart.
const (
	Alive   State = "alive"
	Suspect State = "suspect" // silent, and not yet declared dead: it still counts
	Leaving State = "leaving" // it is shutting down as planned, and takes no new work
	Left    State = "left"    // it has shut down as planned
	Dead    State = "dead"    // it has failed, or is cut off from here
)

// Present reports whether a member in this state may still act.
func (s State) Present() bool { return s == Alive || s == Suspect || s == Leaving }

// Incarnation is one run of a node's program: the directory that gives the node its identity, and how many times it
// has started there. Incarnations of one home are ordered; those of two homes under one name belong to different
// nodes. Files, logs and messages call it life.
type Incarnation struct {
	Home   string `json:"home"`   // 16 hexadecimal digits, drawn once for a directory
	Number uint64 `json:"number"` // from 1
}

// String returns home and number, as logs have them.
func (i Incarnation) String() string { return fmt.Sprintf("%s/%d", i.Home, i.Number) }

// Member is one node, as it is believed to be.
type Member struct {
	Name        string      `json:"name"`
	Zone        string      `json:"zone,omitempty"` // empty: the node has none
	Addr        string      `json:"addr"`           // IP and port where others reach it
	Incarnation Incarnation `json:"life"`
	State       State       `json:"state"`
	// Predecessor reports that the process of the incarnation before this one may still be finishing its work, as
	// during an upgrade.
	Predecessor bool `json:"elder,omitempty"`
	// Since is when the state began, in the time that Table.Apply was given.
	Since time.Duration `json:"since"`
}

// setState changes the state.
func (m *Member) setState(state State, now time.Duration) {
	m.State = state
	m.Since = now
}

// View is who is in the fleet, as one process believes at one time. It is immutable.
type View struct {
	Number  uint64   `json:"number"`  // of this process, from 1; a later view has a greater one
	Self    string   `json:"self"`    // name of the node whose view it is
	Members []Member `json:"members"` // sorted by name, tombstones included
}

// Lookup returns the member of a name.
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

// String describes the view for operators.
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
