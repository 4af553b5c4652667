package member

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
)

// homeFile holds a node's Incarnation in its directory.
const homeFile = "life.json"

// homeForm is the version of that file.
const homeForm = 1

type homeJSON struct {
	Form   int    `json:"form"`
	Name   string `json:"name"` // of the node whose directory this is
	Home   string `json:"home"`
	Number uint64 `json:"number"`
}

// enter begins an incarnation in a directory: it counts one more start there, on disk before anybody hears of it. An empty
// directory becomes a new home. Another node's is refused: two would take each other's incarnations for their own.
func enter(dir, name string) (Incarnation, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Incarnation{}, fmt.Errorf("directory: %w", err)
	}
	path := filepath.Join(dir, homeFile)
	var h homeJSON
	data, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		id := make([]byte, 8)
		rand.Read(id) // which never fails
		h = homeJSON{Form: homeForm, Name: name, Home: hex.EncodeToString(id)}
	case err != nil:
		return Incarnation{}, fmt.Errorf("directory: %w", err)
	default:
		if err := json.Unmarshal(data, &h); err != nil || h.Home == "" {
			return Incarnation{}, fmt.Errorf("directory: %s cannot be read as the incarnation of a node; move it away to begin anew", path)
		}
		if h.Form != homeForm {
			return Incarnation{}, fmt.Errorf("directory: %s has form %d, this program knows %d", path, h.Form, homeForm)
		}
		if h.Name != name {
			return Incarnation{}, fmt.Errorf("directory: %s is of node %q, this one is %q", path, h.Name, name)
		}
	}
	h.Number++
	if err := writeWhole(path, h); err != nil {
		return Incarnation{}, fmt.Errorf("directory: %w", err)
	}
	return Incarnation{h.Home, h.Number}, nil
}

// writeWhole writes a file so that whoever reads it later finds all of the old or all of the new, after a loss of power
// too.
func writeWhole(path string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	next := path + ".new"
	f, err := os.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(append(data, '\n'))
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// knownFile holds the addresses of members that were known last, so that a start needs none of the addresses to join.
const knownFile = "members.json"

// maxKnown bounds them.
const maxKnown = 64

// readKnown reads them; what cannot be read is as if it were not there.
func readKnown(dir string) (addrs []string) {
	data, err := os.ReadFile(filepath.Join(dir, knownFile))
	if err != nil || json.Unmarshal(data, &addrs) != nil {
		return nil
	}
	valid := addrs[:0]
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a); err == nil && len(valid) < maxKnown {
			valid = append(valid, a)
		}
	}
	return valid
}

// keepKnown writes the addresses of who is here.
func keepKnown(dir string, v *View) error {
	var addrs []string
	for _, m := range v.Here() {
		if m.Name != v.Self && len(addrs) < maxKnown {
			addrs = append(addrs, m.Addr)
		}
	}
	if len(addrs) == 0 { // whoever is cut off keeps what it knew
		return nil
	}
	return writeWhole(filepath.Join(dir, knownFile), addrs)
}
