package member

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
)

const (
	// knownAddrsFile is the file in a node's directory that holds the addresses of members that were known last, so
	// that a start needs none of the addresses to join.
	knownAddrsFile = "members.json"
	// maxKnownAddrs bounds the addresses in that file.
	maxKnownAddrs = 64
)

// readKnownAddrs reads the addresses. A file that cannot be read counts as missing.
func readKnownAddrs(dir string) (addrs []string) {
	data, err := os.ReadFile(filepath.Join(dir, knownAddrsFile))
	if err != nil || json.Unmarshal(data, &addrs) != nil {
		return nil
	}
	valid := addrs[:0]
	for _, addr := range addrs {
		if _, err := netip.ParseAddrPort(addr); err == nil && len(valid) < maxKnownAddrs {
			valid = append(valid, addr)
		}
	}
	return valid
}

// writeKnownAddrs writes the addresses of the members that are present. A node that is cut off keeps what it knew.
func writeKnownAddrs(dir string, view *View) error {
	var addrs []string
	for _, m := range view.Present() {
		if m.Name != view.Self && len(addrs) < maxKnownAddrs {
			addrs = append(addrs, m.Addr)
		}
	}
	if len(addrs) == 0 {
		return nil
	}
	return writeFileAtomically(filepath.Join(dir, knownAddrsFile), addrs)
}
