package member

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	// maxMetadata bounds a member's metadata, in bytes.
	maxMetadata = 200
	// maxNodeName bounds names of nodes and zones, in bytes.
	maxNodeName = 64
)

// metadata is what a member states of itself, as JSON, with each of memberlist's messages that it is alive.
type metadata struct {
	Zone        string `json:"z,omitempty"`
	Home        string `json:"h"`
	Number      uint64 `json:"n"`
	Settled     bool   `json:"s,omitempty"`
	Leaving     bool   `json:"l,omitempty"`
	Predecessor bool   `json:"e,omitempty"`
}

func (m metadata) incarnation() Incarnation { return Incarnation{m.Home, m.Number} }

func (m metadata) claim() Claim { return Claim{m.incarnation(), m.Settled} }

func decodeMetadata(b []byte) (m metadata, err error) {
	if len(b) > maxMetadata {
		return m, fmt.Errorf("%d bytes of metadata, %d at most", len(b), maxMetadata)
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return m, fmt.Errorf("metadata: %w", err)
	}
	if m.Home == "" || len(m.Zone) > maxNodeName {
		return m, errors.New("metadata without a home")
	}
	return m, nil
}
