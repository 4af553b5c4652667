package member

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	// incarnationFile is the file in a node's directory that holds its Incarnation.
	incarnationFile = "life.json"
	// incarnationFileVersion is the format version of that file.
	incarnationFileVersion = 1
	// homeBytes is the number of random bytes in a home.
	homeBytes = 8
	// privateDir and privateFile are the permissions of the directory and of the files that a node stores.
	privateDir  = 0o700
	privateFile = 0o600
)

// incarnationRecord is the content of incarnationFile.
type incarnationRecord struct {
	Version int    `json:"form"`
	Name    string `json:"name"` // name of the node that owns the directory
	Home    string `json:"home"`
	Number  uint64 `json:"number"`
}

// beginIncarnation increments the number of starts stored in a directory and returns the new incarnation, which is on
// disk before it is used. An empty directory gets a new home. The directory of another node is an error: two nodes that
// share a directory would take each other's incarnations for their own.
func beginIncarnation(dir, name string) (Incarnation, error) {
	if err := os.MkdirAll(dir, privateDir); err != nil {
		return Incarnation{}, fmt.Errorf("directory: %w", err)
	}
	path := filepath.Join(dir, incarnationFile)
	record, err := readIncarnation(path, name)
	if err != nil {
		return Incarnation{}, fmt.Errorf("directory: %w", err)
	}
	record.Number++
	if err := writeFileAtomically(path, record); err != nil {
		return Incarnation{}, fmt.Errorf("directory: %w", err)
	}
	return Incarnation{record.Home, record.Number}, nil
}

// readIncarnation reads the file of the last incarnation. If the file does not exist, it returns a record with a new
// home.
func readIncarnation(path, name string) (incarnationRecord, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return incarnationRecord{Version: incarnationFileVersion, Name: name, Home: newHome()}, nil
	}
	if err != nil {
		return incarnationRecord{}, err
	}
	var record incarnationRecord
	if err := json.Unmarshal(data, &record); err != nil || record.Home == "" {
		return incarnationRecord{},
			fmt.Errorf("%s cannot be read as the incarnation of a node; move it away to begin anew", path)
	}
	if record.Version != incarnationFileVersion {
		return incarnationRecord{},
			fmt.Errorf("%s has form %d, this program knows %d", path, record.Version, incarnationFileVersion)
	}
	if record.Name != name {
		return incarnationRecord{}, fmt.Errorf("%s is of node %q, this one is %q", path, record.Name, name)
	}
	return record, nil
}

// newHome returns a random home in hexadecimal digits.
func newHome() string {
	id := make([]byte, homeBytes)
	_, _ = rand.Read(id) // crypto/rand never returns an error
	return hex.EncodeToString(id)
}
