package rules

import (
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// States of a peer that discovery lists.
const (
	ready       = "Ready"
	terminating = "Terminating"
	gone        = "Gone"
)

const (
	// pollPath is where discovery lists the peers.
	pollPath = "/registry/instances"
	// maxPollWait bounds how long discovery lets a poll wait.
	maxPollWait = 60_000 * time.Millisecond
)

// list is an answer of discovery.
type list struct {
	Version *int64        `json:"version"`
	Full    *bool         `json:"full"`
	Servers *[]listedPeer `json:"servers"`
}

// listedPeer is one peer of a list.
type listedPeer struct {
	ID      string   `json:"id"`
	Addr    string   `json:"addr"`
	Zone    string   `json:"zone"`
	Kind    string   `json:"kind"`
	Cell    uint16   `json:"cell"`
	State   string   `json:"state"`
	Weight  *float32 `json:"weight"`
	Started int64    `json:"started_ms"`
}

// parseList parses an answer of discovery. ok is false if anything in it is
// invalid: a node ignores such an answer.
func parseList(text []byte) (l list, ok bool) {
	if err := json.Unmarshal(text, &l); err != nil {
		return l, false
	}
	if l.Version == nil || l.Full == nil || l.Servers == nil {
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

// pollWait is how long a poll of discovery may wait. ok is false if the target
// is not that of a poll.
func pollWait(target string) (wait time.Duration, ok bool) {
	path, query, _ := strings.Cut(target, "?")
	if path != pollPath {
		return 0, false
	}
	values, err := url.ParseQuery(query)
	if err != nil {
		return 0, true
	}
	milliseconds, err := strconv.ParseInt(values.Get("wait_ms"), 10, 64)
	if err != nil || milliseconds < 0 || !values.Has("after") {
		return 0, true
	}
	return time.Duration(min(milliseconds, maxPollWait.Milliseconds())) * time.Millisecond, true
}
