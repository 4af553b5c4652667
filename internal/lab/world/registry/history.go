package registry

import (
	"encoding/json"
	"fmt"
	"time"
)

// minFirstVersion is the lowest initial version of the list; the initial version is below twice this number.
const minFirstVersion = 2000

// minNumberingGap is the minimum difference between the versions of two numberings, see history.renumber.
const minNumberingGap = 1000

// maxWatchChanges is the number of latest changes that a watch can request; a
// watch from an older version gets the full list.
const maxWatchChanges = 24

// Peer states as written in the list.
const (
	ready       = "Ready"
	terminating = "Terminating"
	gone        = "Gone"
)

// entry is one listed peer.
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

// list is the body of a response.
type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

func (l list) json() []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic(fmt.Sprintf("discovery: a list has no JSON: %v", err)) // the weight is NaN or infinite
	}
	return b
}

type change struct {
	version int64
	at      time.Duration
	entry   entry
}

// history holds all changes that discovery has listed, in order.
type history struct {
	version                       int64
	lowestVersion, highestVersion int64 // range of all versions used so far, over all numberings
	changes                       []change
	watchStart                    int   // index of the oldest change that watches can get
	watchFloor                    int64 // the version before the change at watchStart
	initialCount                  int   // number of changes recorded before the run began
}

func newHistory(version int64) *history {
	return &history{version: version, lowestVersion: version, highestVersion: version, watchFloor: version}
}

// record appends a change and raises the version by step.
func (h *history) record(at time.Duration, step int64, e entry) {
	h.version += step
	h.highestVersion = max(h.highestVersion, h.version)
	h.changes = append(h.changes, change{h.version, at, e})
	if len(h.changes)-h.watchStart > maxWatchChanges {
		h.watchFloor = h.changes[h.watchStart].version
		h.watchStart++
	}
}

// renumber starts a new numbering of versions, below all earlier ones if down is
// set and there is room, else above them. It keeps a distance of at least
// minNumberingGap plus offset from them, so that no version of one numbering is
// mistaken for one of another: a watch from an old version gets the full list.
func (h *history) renumber(down bool, offset int64) {
	if down && h.lowestVersion > minNumberingGap+offset {
		h.version = h.lowestVersion - minNumberingGap - offset
	} else {
		h.version = h.highestVersion + minNumberingGap + offset
	}
	h.lowestVersion, h.highestVersion = min(h.lowestVersion, h.version), max(h.highestVersion, h.version)
	h.watchStart, h.watchFloor = len(h.changes), h.version
}

// entries returns the peers listed after the first n changes, in the order in
// which they were first listed.
func (h *history) entries(n int) []entry {
	index := map[string]int{}
	var all []entry
	for _, c := range h.changes[:n] {
		i, known := index[c.entry.ID]
		if !known {
			i = len(all)
			index[c.entry.ID] = i
			all = append(all, entry{})
		}
		all[i] = c.entry
	}
	listed := make([]entry, 0, len(all))
	for _, e := range all {
		if e.State != gone {
			listed = append(listed, e)
		}
	}
	return listed
}

// list returns the full list after the first n changes.
func (h *history) list(n int) list {
	version := h.version
	if n < len(h.changes) {
		version = h.changes[max(n, 1)-1].version
	}
	return list{version, true, h.entries(n)}
}

// since returns the latest change of each peer that changed after a version. ok
// is false if the version is newer than the current one, too old, or of another
// numbering.
func (h *history) since(version int64) (changed []entry, ok bool) {
	if version < h.watchFloor || version > h.version {
		return nil, false
	}
	changed = []entry{}
	lastIndex := map[string]int{}
	for i, c := range h.changes[h.watchStart:] {
		lastIndex[c.entry.ID] = i
	}
	for i, c := range h.changes[h.watchStart:] {
		if c.version > version && lastIndex[c.entry.ID] == i {
			changed = append(changed, c.entry)
		}
	}
	return changed, true
}
