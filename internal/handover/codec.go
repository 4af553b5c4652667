package handover

import (
	"encoding/json"
	"fmt"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// formatVersion is the version of the encoded messages. A process that reads another version takes nothing over: it
// starts as if it were alone.
const formatVersion = 1

// maxMessageBytes bounds an encoded message.
const maxMessageBytes = 48 << 10

// The JSON form of a message. Its keys are a contract with processes of other builds, and do not follow the names in
// the code.
type (
	messageJSON struct {
		Format         int          `json:"form"`
		Kind           Kind         `json:"kind"`
		Servers        []recordJSON `json:"servers,omitempty"`
		ListVersion    int64        `json:"version,omitempty"`
		DiscoveryAddr  string       `json:"source,omitempty"`
		Paused         bool         `json:"paused,omitempty"`
		WarmThroughput float64      `json:"carried_rate,omitempty"`
		RequestNumber  uint64       `json:"number,omitempty"`
		Command        string       `json:"word,omitempty"`
		ServerID       string       `json:"id,omitempty"`
		Error          string       `json:"fault,omitempty"`
	}

	recordJSON struct {
		Name      string        `json:"name"`
		Addr      string        `json:"addr"`
		Listed    serverJSON    `json:"said"`
		Suspended bool          `json:"held,omitempty"`
		Since     balancer.Time `json:"since,omitempty"`
		NotBefore balancer.Time `json:"not_before,omitempty"`
	}

	serverJSON struct {
		ID        balancer.ServerID    `json:"ID"`
		Cell      uint16               `json:"Cell"`
		Zone      uint8                `json:"Zone"`
		Kind      uint8                `json:"Kind"`
		StartedAt balancer.Time        `json:"Born"`
		Weight    float32              `json:"Weight"`
		State     balancer.ServerState `json:"State"`
		Suspended bool                 `json:"Aside"`
	}
)

func encode(m Message) ([]byte, error) {
	encoded := messageJSON{
		Format:         formatVersion,
		Kind:           m.Kind,
		ListVersion:    m.ListVersion,
		DiscoveryAddr:  m.DiscoveryAddr,
		Paused:         m.Paused,
		WarmThroughput: m.WarmThroughput,
		RequestNumber:  m.RequestNumber,
		Command:        m.Command,
		ServerID:       m.ServerID,
		Error:          m.Error,
	}
	for _, record := range m.Servers {
		encoded.Servers = append(encoded.Servers, encodeRecord(record))
	}
	data, err := json.Marshal(encoded)
	if err == nil && len(data) > maxMessageBytes {
		err = fmt.Errorf("hand-over: a message of %d bytes, %d at most", len(data), maxMessageBytes)
	}
	return data, err
}

func decode(data []byte) (Message, error) {
	var decoded messageJSON
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Message{}, fmt.Errorf("hand-over: %w", err)
	}
	if decoded.Format != formatVersion {
		return Message{}, fmt.Errorf("hand-over: form %d, this process knows %d", decoded.Format, formatVersion)
	}
	m := Message{
		Kind:           decoded.Kind,
		ListVersion:    decoded.ListVersion,
		DiscoveryAddr:  decoded.DiscoveryAddr,
		Paused:         decoded.Paused,
		WarmThroughput: decoded.WarmThroughput,
		RequestNumber:  decoded.RequestNumber,
		Command:        decoded.Command,
		ServerID:       decoded.ServerID,
		Error:          decoded.Error,
	}
	for _, record := range decoded.Servers {
		m.Servers = append(m.Servers, decodeRecord(record))
	}
	return m, nil
}

func encodeRecord(r maintenance.Record) recordJSON {
	return recordJSON{
		Name:      r.Name,
		Addr:      r.Addr,
		Listed:    serverJSON(r.Said),
		Suspended: r.Held,
		Since:     r.Since,
		NotBefore: r.NotBefore,
	}
}

func decodeRecord(r recordJSON) maintenance.Record {
	return maintenance.Record{
		Name:      r.Name,
		Addr:      r.Addr,
		Said:      balancer.Server(r.Listed),
		Held:      r.Suspended,
		Since:     r.Since,
		NotBefore: r.NotBefore,
	}
}
