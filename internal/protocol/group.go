package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// unknownZone stands for a zone or kind that the settings do not name: no
// node's own.
const unknownZone = math.MaxUint8

var states = map[string]balancer.ServerState{"Ready": balancer.Ready, "Terminating": balancer.Draining, "Gone": balancer.Removed}

type groupJSON struct {
	Version *int64       `json:"version"`
	Full    *bool        `json:"full"`
	Servers *[]entryJSON `json:"servers"`
}

type entryJSON struct {
	ID      string   `json:"id"`
	Addr    string   `json:"addr"`
	Zone    string   `json:"zone"`
	Kind    string   `json:"kind"`
	Cell    uint16   `json:"cell"`
	State   string   `json:"state"`
	Weight  *float32 `json:"weight"`
	Started int64    `json:"started_ms"`
}

// ParseGroup reads a list of the upstream group. A list with any fault is an
// error as a whole: half a list would drop sound peers.
func (n NameIndex) ParseEndpoints(data []byte) (g routing.EndpointList, version int64, err error) {
	var in groupJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return g, 0, fmt.Errorf("upstream group: %w", err)
	}
	if in.Version == nil || in.Full == nil || in.Servers == nil {
		return g, 0, errors.New("upstream group: version, full or servers missing")
	}
	if *in.Full {
		g.Kind = balancer.UpdateFull
	}
	seen := map[balancer.ServerID]string{}
	for _, s := range *in.Servers {
		e, err := n.entry(s)
		if err != nil {
			return g, 0, fmt.Errorf("upstream group: entry %q: %w", s.ID, err)
		}
		if other, twice := seen[e.ID]; twice {
			return g, 0, fmt.Errorf("upstream group: entry %q: same as %q", s.ID, other)
		}
		seen[e.ID] = s.ID
		g.Endpoints = append(g.Endpoints, e)
	}
	return g, *in.Version, nil
}

func (n NameIndex) entry(s entryJSON) (routing.Endpoint, error) {
	state, ok := states[s.State]
	if !ok {
		return routing.Endpoint{}, fmt.Errorf("unknown state %q", s.State)
	}
	if s.ID == "" {
		return routing.Endpoint{}, errors.New("no id")
	}
	if state != balancer.Removed || s.Addr != "" {
		_, port, err := net.SplitHostPort(s.Addr)
		if err != nil {
			return routing.Endpoint{}, err
		}
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return routing.Endpoint{}, fmt.Errorf("port: %w", err)
		}
	}
	weight := float32(1)
	if s.Weight != nil {
		weight = *s.Weight
	}
	if weight < 0 || s.Started < 0 || s.Started > math.MaxInt64/int64(time.Millisecond) {
		return routing.Endpoint{}, errors.New("weight or started_ms out of range")
	}
	return routing.Endpoint{
		Server: balancer.Server{
			ID: ServerID(s.ID), Cell: s.Cell, Zone: place(n.Zones, s.Zone), Kind: place(n.Kinds, s.Kind),
			StartedAt: balancer.Time(s.Started) * balancer.Time(time.Millisecond), Weight: weight, State: state,
		},
		Name: s.ID, Addr: s.Addr,
	}, nil
}

func place(names map[string]int, name string) uint8 {
	if i, ok := names[name]; ok && i < unknownZone {
		return uint8(i)
	}
	return unknownZone
}

// ServerID is how the decisions know a peer, the same at all nodes.
func ServerID(name string) balancer.ServerID { return balancer.ServerID(hash(name)) }
