package handover

import (
	"encoding/json"
	"fmt"
)

// formatVersion is the version of the encoded messages. A process that reads another version takes nothing over: it
// starts as if it were alone.
const formatVersion = 1

// maxMessageBytes bounds an encoded message.
const maxMessageBytes = 48 << 10

// envelope is a message as it is encoded.
type envelope struct {
	Format int `json:"form"`
	Message
}

func encode(m Message) ([]byte, error) {
	data, err := json.Marshal(envelope{Format: formatVersion, Message: m})
	if err == nil && len(data) > maxMessageBytes {
		err = fmt.Errorf("hand-over: a message of %d bytes, %d at most", len(data), maxMessageBytes)
	}
	return data, err
}

func decode(data []byte) (Message, error) {
	var decoded envelope
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Message{}, fmt.Errorf("hand-over: %w", err)
	}
	if decoded.Format != formatVersion {
		return Message{}, fmt.Errorf("hand-over: form %d, this process knows %d", decoded.Format, formatVersion)
	}
	return decoded.Message, nil
}
