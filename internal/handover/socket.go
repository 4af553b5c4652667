package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// network is the socket type, which preserves the boundaries and the order of messages.
const network = "unixpacket"

// maxSocketPath is the maximum length of a Unix socket's path, in bytes.
const maxSocketPath = 107

// socketAddr returns the socket address for a path of any length. A path above maxSocketPath is replaced by a shorter
// one through an open descriptor of its directory. The caller calls release when it no longer needs the address.
func socketAddr(path string) (addr *net.UnixAddr, release func(), err error) {
	release = func() {}
	if len(path) > maxSocketPath {
		dir, err := os.Open(filepath.Dir(path))
		if err != nil {
			return nil, release, fmt.Errorf("hand-over: %w", err)
		}
		release = func() { _ = dir.Close() }
		path = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	}
	return &net.UnixAddr{Net: network, Name: path}, release, nil
}

// checkOwner returns an error if path has a socket of another user, whose listener and connections the node would
// otherwise serve as its own. A file that is not a socket is an error, too, since it must not be removed.
func checkOwner(path string) error {
	info, err := os.Lstat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	if stat, ok := info.Sys().(*syscall.Stat_t); !ok || int(stat.Uid) != os.Getuid() {
		return fmt.Errorf("hand-over: %s is another user's", path)
	}
	if info.Mode().Type() != os.ModeSocket {
		return fmt.Errorf("hand-over: %s is no socket", path)
	}
	return nil
}
