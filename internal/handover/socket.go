package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// network keeps the bounds of messages, and their order.
const network = "unixpacket"

// maxSocketPath is the longest path of a Unix socket, in bytes.
const maxSocketPath = 107

// socketAddr makes a path of any length fit into a socket's address. The caller calls release when it has used it.
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

// checkOwner rejects another user's socket: what it hands over would be served as the node's own. A file that is no
// socket is somebody's, and stays.
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
