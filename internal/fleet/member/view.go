// Package member knows who is in the fleet. The work of finding out is done by a library of the SWIM family; what this
// package adds is a view that others can stand on: immutable, numbered, with the incarnations of a node told apart, a planned
// leave told from a death, and the two processes of an upgrade counted as one.
//
// view.go and decide.go are free of I/O, clock and goroutines: what they decide is replayed exactly.
package member

import (
	"fmt"
	"strings"
	"time"
)

// State is what is believed of a member.
type State string

// The states. A member that has Left or is Dead stays in the view for a while, so that whoever holds work or budget of
// it can tell the two apart.
const (
	Alive   State = "alive"
	Suspect State = "suspect" // silent, and not yet given up: it still counts
	Leaving State = "leaving" // it has said that it ends, and takes nothing new
	Left    State = "left"    // it ended as it had said
	Dead    State = "dead"    // it ended otherwise, or is cut off from here
)

// Here reports whether a member in this state may still act.
func (s State) Here() bool { return s == Alive || s == Suspect || s == Leaving }

// Incarnation is one run of a node's program: the directory that makes a node itself, and how many times it has started
// there. Incarnations of one home are in order; those of two homes under one name are strangers. Files, logs and messages call
// it life.
type Incarnation struct {
	Home   string `json:"home"` // 16 hexadecimal digits, drawn once for a directory
	Number uint64 `json:"number"`
}

func (i Incarnation) String() string { return fmt.Sprintf("%s/%d", i.Home, i.Number) }

// Member is one node, as it is believed to be.
type Member struct {
	Name        string      `json:"name"`
	Zone        string      `json:"zone,omitempty"`
	Addr        string      `json:"addr"`
	Incarnation Incarnation `json:"life"`
	State       State       `json:"state"`
	// Predecessor says that the process of the incarnation before this one may still be ending what it had in hand, as in an
	// upgrade.
	Predecessor bool          `json:"elder,omitempty"`
	Since       time.Duration `json:"since"` // when the state began, by this process's clock of Book.Apply
}

// View is who is in the fleet, as one process believes at one time. Nobody changes it, and its members are sorted by name.
type View struct {
	Number  uint64   `json:"number"` // of this process, from 1; a later view has a greater one
	Self    string   `json:"self"`
	Members []Member `json:"members"`
}

// Of finds a member by its name.
func (v *View) Of(name string) (Member, bool) {
	for _, m := range v.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Here are the members that may still act, this one included.
func (v *View) Here() []Member {
	var all []Member
	for _, m := range v.Members {
		if m.State.Here() {
			all = append(all, m)
		}
	}
	return all
}

// String is the view for people.
func (v *View) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "view %d, %d here:", v.Number, len(v.Here()))
	for _, m := range v.Members {
		fmt.Fprintf(&b, " %s %s", m.Name, m.State)
		if m.Zone != "" {
			fmt.Fprintf(&b, " in %s", m.Zone)
		}
		b.WriteByte(',')
	}
	return strings.TrimSuffix(b.String(), ",")
}
