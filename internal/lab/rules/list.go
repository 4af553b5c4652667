package rules

import (
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// States of a peer at discovery.
const (
	ready       = "Ready"
	terminating = "Terminating"
	gone        = "Gone"
)

// listPath is where discovery lists the peers.
const listPath = "/registry/instances"

// list is an answer of discovery's.
type list struct {
	Version *int64   `json:"version"`
	Full    *bool    `json:"full"`
	Servers *[]entry `json:"servers"`
}

type entry struct {
	ID      string   `json:"id"`
	Addr    string   `json:"addr"`
	Zone    string   `json:"zone"`
	Kind    string   `json:"kind"`
	Cell    uint16   `json:"cell"`
	State   string   `json:"state"`
	Weight  *float32 `json:"weight"`
	Started int64    `json:"started_ms"`
}

// parseList reads an answer of discovery's. One with any fault tells nothing.
func parseList(text []byte) (l list, ok bool) {
	if json.Unmarshal(text, &l) != nil || l.Version == nil || l.Full == nil || l.Servers == nil {
		return l, false
	}
	seen := map[string]bool{}
	for _, e := range *l.Servers {
		_, _, err := net.SplitHostPort(e.Addr)
		reachable := err == nil || e.Addr == "" && e.State == gone
		known := e.State == ready || e.State == terminating || e.State == gone
		if e.ID == "" || !known || !reachable || seen[e.ID] || e.Started < 0 {
			return l, false
		}
		seen[e.ID] = true
	}
	return l, true
}

// waitOf is how long a call to discovery may wait.
func waitOf(target string) (wait time.Duration, ok bool) {
	path, query, _ := strings.Cut(target, "?")
	if path != listPath {
		return 0, false
	}
	values, err := url.ParseQuery(query)
	if err != nil {
		return 0, true
	}
	ms, err := strconv.ParseInt(values.Get("wait_ms"), 10, 64)
	if err != nil || ms < 0 || !values.Has("after") {
		return 0, true
	}
	return time.Duration(min(ms, 60_000)) * time.Millisecond, true
}

// listing is a change that discovery knows of.
type listing struct {
	version           int64
	name, addr, state string
	started, at       time.Duration
}

// book is what discovery knows, in order. A place in it is how many listings
// are known there.
type book struct {
	all    []listing
	names  []string         // of peers, in the order of their first listing
	byName map[string][]int // indexes of all
}

func newBook() book { return book{byName: map[string][]int{}} }

func (b *book) put(l listing) {
	if len(b.byName[l.name]) == 0 {
		b.names = append(b.names, l.name)
	}
	b.byName[l.name] = append(b.byName[l.name], len(b.all))
	b.all = append(b.all, l)
}

// last is the last listing of a peer up to a place; -1: there is none.
func (b *book) last(name string, place int) int {
	some := b.byName[name]
	for i := len(some) - 1; i >= 0; i-- {
		if some[i] < place {
			return some[i]
		}
	}
	return -1
}

// placeOf is the place of a version. Versions may begin anew, so the last
// listing with just this one counts, or else those up to it since the last
// new beginning.
func (b *book) placeOf(version int64) int {
	for i := len(b.all) - 1; i >= 0; i-- {
		if b.all[i].version == version {
			return i + 1
		}
	}
	place := len(b.all)
	for place > 0 && b.all[place-1].version > version {
		if place > 1 && b.all[place-2].version > b.all[place-1].version {
			return 0 // of an earlier numbering, or before this one: nothing is sure
		}
		place--
	}
	return place
}

// placeAt is the place at an instant.
func (b *book) placeAt(at time.Duration) int {
	place := len(b.all)
	for place > 0 && b.all[place-1].at > at {
		place--
	}
	return place
}
