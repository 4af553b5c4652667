package member

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
)

const (
	// knownAddrsFile is the file in a node's directory that holds the addresses of the last known members. With it a node
	// can rejoin the fleet while none of the configured addresses to join is reachable.
	knownAddrsFile = "members.json"
	// maxKnownAddrs is the maximum number of addresses in that file.
	maxKnownAddrs = 64
)

// readKnownAddrs reads the stored addresses. It skips invalid addresses, and treats a file that cannot be read as
// missing.
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

// writeKnownAddrs stores the addresses of the other members that are present. If there are none, as on an isolated
// node, it keeps the stored addresses.
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
