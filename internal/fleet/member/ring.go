package member

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Ring returns the names of the members that accept new work, ordered by their positions on a hash ring. All nodes with
// the same view get the same order.
func (v *View) Ring() []string {
	var names []string
	for _, m := range v.Members {
		if m.State == Alive || m.State == Suspect {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), strings.Compare(a, b))
	})
	return names
}

// Successor returns the next member after a name on the ring. The name need not be in the view any more. It returns ""
// if there is no other member.
func (v *View) Successor(name string) string {
	ring := v.Ring()
	position := xxhash.Sum64String(name)
	for _, n := range ring {
		if n != name && xxhash.Sum64String(n) >= position {
			return n
		}
	}
	for _, n := range ring {
		if n != name {
			return n
		}
	}
	return ""
}
