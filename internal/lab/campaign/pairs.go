package campaign

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// FaultTable counts the scripts in which each kind of fault, and each pair of overlapping kinds, occurred.
type FaultTable struct {
	scripts int
	kinds   map[string]int
	pairs   map[[2]string]int
}

// Add counts the kinds and pairs of one script. Duplicates count once.
func (t *FaultTable) Add(kinds []string, pairs [][2]string) {
	if t.kinds == nil {
		t.kinds, t.pairs = map[string]int{}, map[[2]string]int{}
	}
	t.scripts++
	for _, k := range slices.Compact(slices.Sorted(slices.Values(kinds))) {
		t.kinds[k]++
	}
	seen := map[[2]string]bool{}
	for _, p := range pairs {
		if p = sortedPair(p); !seen[p] {
			seen[p] = true
			t.pairs[p]++
		}
	}
}

// sortedPair returns the pair in alphabetical order.
func sortedPair(p [2]string) [2]string {
	if p[0] > p[1] {
		p[0], p[1] = p[1], p[0]
	}
	return p
}

// counts returns the counts of the kinds and of the pairs, in descending order of the count.
func (t *FaultTable) counts() (kinds, pairs []Count) {
	for k, n := range t.kinds {
		kinds = append(kinds, Count{[]string{k}, n})
	}
	for p, n := range t.pairs {
		pairs = append(pairs, Count{p[:], n})
	}
	slices.SortFunc(kinds, byCount)
	slices.SortFunc(pairs, byCount)
	return kinds, pairs
}

// Write writes the table, with a row and a column for each kind in all and each kind that
// occurred. A cell has the number of scripts in which both kinds overlapped, a cell on the diagonal
// the number of scripts with that kind. The kinds and pairs that never occurred are listed below.
func (t *FaultTable) Write(out io.Writer, all []string) error {
	names := map[string]bool{}
	for _, k := range all {
		names[k] = true
	}
	for k := range t.kinds {
		names[k] = true
	}
	kinds := slices.Sorted(maps.Keys(names))
	wide, cell := 0, len(strconv.Itoa(max(len(kinds), t.scripts)))+1
	for _, k := range kinds {
		wide = max(wide, len(k))
	}
	w := bufio.NewWriter(out)
	fmt.Fprintf(w, "%d scripts, %d kinds, %d of %d pairs met\n", t.scripts, len(t.kinds), len(t.pairsOfDifferentKinds()),
		len(kinds)*(len(kinds)-1)/2)
	fmt.Fprintf(w, "%*s", wide+4, "")
	for i := range kinds {
		fmt.Fprintf(w, "%*d", cell, i+1)
	}
	fmt.Fprintln(w)
	for i, row := range kinds {
		fmt.Fprintf(w, "%-*s %3d", wide, row, i+1)
		for _, column := range kinds {
			n := t.pairs[sortedPair([2]string{row, column})]
			if row == column {
				n = t.kinds[row]
			}
			text := "."
			if n > 0 {
				text = strconv.Itoa(n)
			}
			fmt.Fprintf(w, "%*s", cell, text)
		}
		fmt.Fprintln(w)
	}
	t.writeMissing(w, kinds)
	return w.Flush()
}

// pairsOfDifferentKinds returns the counted pairs of two different kinds.
func (t *FaultTable) pairsOfDifferentKinds() (some [][2]string) {
	for p := range t.pairs {
		if p[0] != p[1] {
			some = append(some, p)
		}
	}
	return some
}

// writeMissing lists the kinds that never occurred and, for each other kind, those with which it never
// overlapped.
func (t *FaultTable) writeMissing(w io.Writer, kinds []string) {
	neverDrawn := slices.DeleteFunc(slices.Clone(kinds), func(k string) bool { return t.kinds[k] > 0 })
	if len(neverDrawn) > 0 {
		fmt.Fprintf(w, "never drawn: %s\n", strings.Join(neverDrawn, ", "))
	}
	drawn := slices.DeleteFunc(slices.Clone(kinds), func(k string) bool { return t.kinds[k] == 0 })
	for i, k := range drawn {
		var neverTogether []string
		for _, other := range drawn[i+1:] {
			if t.pairs[sortedPair([2]string{k, other})] == 0 {
				neverTogether = append(neverTogether, other)
			}
		}
		if len(neverTogether) > 0 {
			fmt.Fprintf(w, "never at one time with %s: %s\n", k, strings.Join(neverTogether, ", "))
		}
	}
}
