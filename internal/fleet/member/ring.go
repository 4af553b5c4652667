package member

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Ring returns the members that take new work, in the order of a hash ring that is the same for all nodes with this
// view.
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

// Successor returns who comes after a name on the ring, which need not be in the view any more; "": there is nobody
// else.
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
