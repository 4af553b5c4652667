package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a server in discovery's list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// list is discovery's answer, and the list in a node's configuration.
type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in for the discovery service.
type discovery struct {
	addr string

	mu      sync.Mutex
	version int64
	entries []entry
	changed map[string]int64 // version of the last change, by id
	wake    chan struct{}    // closed at the next change
}

func startDiscovery(servers []*server) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: listener.Addr().String(), version: 41, changed: map[string]int64{}, wake: make(chan struct{})}
	for _, s := range servers {
		d.entries = append(d.entries, entry{
			ID: s.name, Addr: s.addr, Zone: s.zone, Kind: "std-single", Cell: 1, State: "Ready", Weight: 1,
			StartedMS: s.startedMS,
		})
	}
	go func() { _ = http.Serve(listener, d) }()
	return d, nil
}

// all returns the whole list.
func (d *discovery) all() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{Version: d.version, Full: true, Servers: append([]entry{}, d.entries...)}
}

// set changes an entry.
func (d *discovery) set(id string, change func(*entry)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.entries {
		if d.entries[i].ID == id {
			change(&d.entries[i])
		}
	}
	d.version++
	d.changed[id] = d.version
	close(d.wake)
	d.wake = make(chan struct{})
}

// since returns the changes after a version, and a channel that is closed at the next change.
func (d *discovery) since(version int64) (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := list{Version: d.version, Servers: []entry{}}
	for _, e := range d.entries {
		if d.changed[e.ID] > version {
			changes.Servers = append(changes.Servers, e)
		}
	}
	return changes, d.wake
}

// ServeHTTP implements http.Handler.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil || after > d.all().Version {
		_ = json.NewEncoder(w).Encode(d.all())
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		changes, wake := d.since(after)
		if len(changes.Servers) > 0 {
			_ = json.NewEncoder(w).Encode(changes)
			return
		}
		select {
		case <-wake:
		case <-timeout:
			_ = json.NewEncoder(w).Encode(changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}
