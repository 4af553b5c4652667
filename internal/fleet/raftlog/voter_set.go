package raftlog

import "encoding/json"

// firstEdition is the edition with which a log is bootstrapped. Editions beyond it are agreed on in the log.
const firstEdition = 1

// VoterSet names the voters of a log. One of a higher edition replaces one of a lower; since the log holds the edition,
// a process whose fleet file is older changes nothing back.
type VoterSet struct {
	Edition int      `json:"edition"` // from firstEdition; 0: none was agreed on
	Names   []string `json:"names"`
}

// voterSetMarker is the first byte of a log entry, or of a snapshot, that begins with a voter set. Entries of the
// service's own state machine are JSON, and never begin with it.
const voterSetMarker = 1

// encodeVoterSet returns the form in which a voter set is stored: the marker and JSON.
func encodeVoterSet(voters VoterSet) ([]byte, error) {
	text, err := json.Marshal(voters)
	if err != nil {
		return nil, err
	}
	return append([]byte{voterSetMarker}, text...), nil
}

// isVoterSet reports whether data begins with a voter set.
func isVoterSet(data []byte) bool {
	return len(data) > 0 && data[0] == voterSetMarker
}

// decodeVoterSet reads what encodeVoterSet wrote.
func decodeVoterSet(data []byte) (VoterSet, error) {
	var voters VoterSet
	err := json.Unmarshal(data[1:], &voters)
	return voters, err
}
