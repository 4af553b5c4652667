package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is a server in the list of discovery.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	changed int
}

// list is an answer of discovery.
type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// runDiscovery is a stand-in for discovery. Each line of standard input is an entry as JSON, which it adds or replaces.
// It answers whole lists and watches as PROTOCOL states.
func runDiscovery(addr string) {
	var mu sync.Mutex
	version := 0
	entries := map[string]entry{}
	changed := make(chan struct{})
	go func() {
		in := bufio.NewScanner(os.Stdin)
		for in.Scan() {
			var e entry
			if err := json.Unmarshal(in.Bytes(), &e); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(exitFailed)
			}
			mu.Lock()
			version++
			e.changed = version
			entries[e.ID] = e
			close(changed)
			changed = make(chan struct{})
			mu.Unlock()
		}
	}()
	answer := func(after int, full bool) list {
		l := list{Version: version, Full: full, Servers: []entry{}}
		for _, e := range entries {
			if full && e.State != "Gone" || !full && e.changed > after {
				l.Servers = append(l.Servers, e)
			}
		}
		return l
	}
	http.HandleFunc("/registry/instances", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		after, err := strconv.Atoi(query.Get("after"))
		full := err != nil
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		timeout := time.After(time.Duration(wait) * time.Millisecond)
		mu.Lock()
		for waiting := !full; waiting && version <= after; {
			next := changed
			mu.Unlock()
			select {
			case <-next:
			case <-timeout:
				waiting = false
			case <-r.Context().Done():
				return
			}
			mu.Lock()
		}
		l := answer(after, full)
		mu.Unlock()
		if len(l.Servers) > 0 {
			var told strings.Builder
			for _, e := range l.Servers {
				fmt.Fprintf(&told, " %s=%s", e.ID, e.State)
			}
			fmt.Printf("%s discovery: told %s version %d:%s\n", clock(time.Now()), r.RemoteAddr, l.Version, told.String())
		}
		_ = json.NewEncoder(w).Encode(l)
	})
	fmt.Fprintln(os.Stderr, http.ListenAndServe(addr, nil))
	os.Exit(exitFailed)
}
