package registry

import (
	"encoding/json"
	"fmt"
	"time"
)

// firstVersion is the least that a list's version begins at; it is at most twice that.
const firstVersion = 2000

// numberings is how far two numberings lie apart at least, see book.restart.
const numberings = 1000

// mostChanges is how many changes back a watch may begin; from further back it
// is told the whole list.
const mostChanges = 24

// States as the list has them.
const (
	ready       = "Ready"
	terminating = "Terminating"
	gone        = "Gone"
)

// entry is one peer as listed.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// list is an answer's form.
type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

func (l list) json() []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic(fmt.Sprintf("discovery: a list has no JSON: %v", err)) // a weight that is no number
	}
	return b
}

type change struct {
	version int64
	at      time.Duration
	entry   entry
}

// book is all that discovery has come to know, in order.
type book struct {
	version   int64
	low, high int64 // of all versions there have been
	changes   []change
	base      int   // the changes from here on have versions of the present numbering, and are told to watches
	floor     int64 // the version before the change at base
	first     int   // changes that were there when the run began
}

func newBook(version int64) *book {
	return &book{version: version, low: version, high: version, floor: version}
}

// put notes a change under the next version, which is step later.
func (b *book) put(at time.Duration, step int64, e entry) {
	b.version += step
	b.high = max(b.high, b.version)
	b.changes = append(b.changes, change{b.version, at, e})
	if len(b.changes)-b.base > mostChanges {
		b.floor = b.changes[b.base].version
		b.base++
	}
}

// restart begins another numbering, above or below all that there were and so
// far off that no version of one can be taken for one of another: whoever
// comes with an old one is told the whole list.
func (b *book) restart(down bool, off int64) {
	if down && b.low > numberings+off {
		b.version = b.low - numberings - off
	} else {
		b.version = b.high + numberings + off
	}
	b.low, b.high = min(b.low, b.version), max(b.high, b.version)
	b.base, b.floor = len(b.changes), b.version
}

// entries are the peers as they stood after the first n changes, in the order
// in which they were first listed.
func (b *book) entries(n int) []entry {
	place := map[string]int{}
	var all []entry
	for _, c := range b.changes[:n] {
		i, known := place[c.entry.ID]
		if !known {
			i = len(all)
			place[c.entry.ID] = i
			all = append(all, entry{})
		}
		all[i] = c.entry
	}
	some := make([]entry, 0, len(all))
	for _, e := range all {
		if e.State != gone {
			some = append(some, e)
		}
	}
	return some
}

// list is the whole list after the first n changes.
func (b *book) list(n int) list {
	version := b.version
	if n < len(b.changes) {
		version = b.changes[max(n, 1)-1].version
	}
	return list{version, true, b.entries(n)}
}

// since is what changed after a version, the last change of each peer only; ok
// is false where the version is newer, too old or of another numbering.
func (b *book) since(version int64) (some []entry, ok bool) {
	if version < b.floor || version > b.version {
		return nil, false
	}
	some = []entry{}
	last := map[string]int{}
	for i, c := range b.changes[b.base:] {
		last[c.entry.ID] = i
	}
	for i, c := range b.changes[b.base:] {
		if c.version > version && last[c.entry.ID] == i {
			some = append(some, c.entry)
		}
	}
	return some, true
}
