package handover

import (
	"encoding/json"
	"fmt"
)

// formatVersion is the version of the message encoding. A successor that receives another version aborts the takeover
// and starts as the node's only process.
const formatVersion = 1

// maxMessageBytes is the maximum size of an encoded message.
const maxMessageBytes = 48 << 10

// envelope is the JSON form of a message, with the version of the encoding.
type envelope struct {
	Format int `json:"form"`
	Message
}

func encode(m Message) ([]byte, error) {
	data, err := json.Marshal(envelope{Format: formatVersion, Message: m})
	if err == nil && len(data) > maxMessageBytes {
		err = fmt.Errorf("hand-over: message has %d bytes, want at most %d", len(data), maxMessageBytes)
	}
	return data, err
}

func decode(data []byte) (Message, error) {
	var decoded envelope
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Message{}, fmt.Errorf("hand-over: %w", err)
	}
	if decoded.Format != formatVersion {
		return Message{}, fmt.Errorf("hand-over: format version %d, want %d", decoded.Format, formatVersion)
	}
	return decoded.Message, nil
}
