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

// unknownPosition is the position of a zone or kind that the settings do not contain. No node has this zone.
const unknownPosition = math.MaxUint8

var states = map[string]balancer.ServerState{
	"Ready":       balancer.Ready,
	"Terminating": balancer.Draining,
	"Gone":        balancer.Removed,
}

// groupJSON is the JSON form of an endpoint list, or of changes to it, as discovery sends it. Errors of encoding/json
// contain the names of the type and of its fields.
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

// ParseEndpoints parses an endpoint list, or changes to it, and returns it with discovery's version. A list with a
// single invalid entry is rejected completely, since a partial list would remove servers that are in use.
func (n NameIndex) ParseEndpoints(data []byte) (list routing.EndpointList, version int64, err error) {
	var in groupJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return list, 0, fmt.Errorf("upstream group: %w", err)
	}
	if in.Version == nil || in.Full == nil || in.Servers == nil {
		return list, 0, errors.New("upstream group: version, full or servers missing")
	}
	if *in.Full {
		list.Kind = balancer.UpdateFull
	}
	names := map[balancer.ServerID]string{}
	for _, s := range *in.Servers {
		entry, err := n.endpoint(s)
		if err != nil {
			return list, 0, fmt.Errorf("upstream group: entry %q: %w", s.ID, err)
		}
		if other, twice := names[entry.ID]; twice {
			return list, 0, fmt.Errorf("upstream group: entry %q: same as %q", s.ID, other)
		}
		names[entry.ID] = s.ID
		list.Endpoints = append(list.Endpoints, entry)
	}
	return list, *in.Version, nil
}

func (n NameIndex) endpoint(s entryJSON) (routing.Endpoint, error) {
	state, known := states[s.State]
	if !known {
		return routing.Endpoint{}, fmt.Errorf("unknown state %q", s.State)
	}
	if s.ID == "" {
		return routing.Endpoint{}, errors.New("no id")
	}
	if state != balancer.Removed || s.Addr != "" {
		if err := checkServerAddr(s.Addr); err != nil {
			return routing.Endpoint{}, err
		}
	}
	weight := float32(1)
	if s.Weight != nil {
		weight = *s.Weight
	}
	if weight < 0 || s.Started < 0 || s.Started > math.MaxInt64/int64(time.Millisecond) {
		return routing.Endpoint{}, errors.New("weight or started_ms is negative, or started_ms is too large")
	}
	return routing.Endpoint{
		Server: balancer.Server{
			ID:        ServerID(s.ID),
			Cell:      s.Cell,
			Zone:      positionOrUnknown(n.Zones, s.Zone),
			Kind:      positionOrUnknown(n.Kinds, s.Kind),
			StartedAt: balancer.Time(s.Started) * balancer.Time(time.Millisecond),
			Weight:    weight,
			State:     state,
		},
		Name: s.ID,
		Addr: s.Addr,
	}, nil
}

func checkServerAddr(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("port: %w", err)
	}
	return nil
}

func positionOrUnknown(index map[string]int, name string) uint8 {
	if i, ok := index[name]; ok && i < unknownPosition {
		return uint8(i)
	}
	return unknownPosition
}

// ServerID returns the balancer's id of the server with the given name. It is the same at all nodes.
func ServerID(name string) balancer.ServerID { return balancer.ServerID(hash(name)) }
