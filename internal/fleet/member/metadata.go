package member

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	// maxMetadata is the maximum length of a member's metadata, in bytes.
	maxMetadata = 200
	// maxNodeName is the maximum length of the names of nodes and zones, in bytes.
	maxNodeName = 64
)

// metadata is the description of a member by itself, which memberlist sends as JSON in each alive message.
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

// decodeMetadata decodes and validates the metadata of a member.
func decodeMetadata(b []byte) (m metadata, err error) {
	if len(b) > maxMetadata {
		return m, fmt.Errorf("metadata has %d bytes, the limit is %d", len(b), maxMetadata)
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return m, fmt.Errorf("decoding metadata: %w", err)
	}
	if m.Home == "" || len(m.Zone) > maxNodeName {
		return m, errors.New("metadata has no home, or its zone name is too long")
	}
	return m, nil
}
