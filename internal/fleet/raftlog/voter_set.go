package raftlog

import "encoding/json"

// firstEdition is the edition of the voter set with which a log is bootstrapped. Later editions are committed in the
// log.
const firstEdition = 1

// VoterSet is the set of voters of a log. A set replaces one with a lower edition. The log stores the edition, so that
// a process with an older fleet file cannot revert a change.
type VoterSet struct {
	Edition int      `json:"edition"` // at least firstEdition; 0 if no voter set has been committed
	Names   []string `json:"names"`
}

// voterSetMarker is the first byte of a log entry or snapshot that begins with a voter set. Entries and snapshots of
// the service's state machine are JSON, which never begins with this byte.
const voterSetMarker = 1

// encodeVoterSet returns the stored form of a voter set: voterSetMarker followed by JSON.
func encodeVoterSet(voters VoterSet) ([]byte, error) {
	text, err := json.Marshal(voters)
	if err != nil {
		return nil, err
	}
	return append([]byte{voterSetMarker}, text...), nil
}

// isVoterSet reports whether data begins with voterSetMarker.
func isVoterSet(data []byte) bool {
	return len(data) > 0 && data[0] == voterSetMarker
}

// decodeVoterSet decodes the stored form that encodeVoterSet returns.
func decodeVoterSet(data []byte) (VoterSet, error) {
	var voters VoterSet
	err := json.Unmarshal(data[1:], &voters)
	return voters, err
}
