package rules

import (
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// States of a peer in an endpoint list.
const (
	ready       = "Ready"
	terminating = "Terminating"
	gone        = "Gone"
)

const (
	// pollPath is the request path of the endpoint list.
	pollPath = "/registry/instances"
	// maxPollWait is the maximum duration for which discovery delays its answer to
	// a long poll.
	maxPollWait = 60_000 * time.Millisecond
)

// list is an endpoint list in the JSON form in which discovery sends it.
type list struct {
	Version *int64        `json:"version"`
	Full    *bool         `json:"full"`
	Servers *[]listedPeer `json:"servers"`
}

// listedPeer is the entry of one peer in a list.
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

// parseList parses the body of an answer of discovery. ok is false if any part
// of it is invalid: a node ignores such an answer.
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
		validAddr := err == nil || e.Addr == "" && e.State == gone
		known := e.State == ready || e.State == terminating || e.State == gone
		if e.ID == "" || !known || !validAddr || seen[e.ID] || e.Started < 0 {
			return l, false
		}
		seen[e.ID] = true
	}
	return l, true
}

// pollWait returns the duration for which discovery may delay its answer to the
// poll with a target; 0: it must answer immediately. ok is false if the target
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
