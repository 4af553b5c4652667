package node

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"

	"olivebridge/internal/admin"
)

// desk carries the operators' calls out. The door opens before the node is
// there, so that it can say that it is not.
type desk struct{ node atomic.Pointer[Node] }

// Do implements admin.Executor.
func (d *desk) Do(c admin.Command) (string, error) {
	n := d.node.Load()
	if n == nil {
		return "", errors.New("the node is starting")
	}
	return n.Do(c)
}

// Do carries an operator's call out, in all processes of the node.
func (n *Node) Do(c admin.Command) (string, error) {
	switch {
	case c.Name == admin.Status:
		return n.status()
	case c.Name == admin.Fleet && n.parts.Fleet == nil:
		return "", admin.UnknownCommandError(c.Name)
	case c.Name == admin.Fleet:
		return n.parts.Fleet.Do(strings.Fields(c.FleetArgs))
	}
	return n.both(c)
}

func (n *Node) do(c admin.Command) (string, error) {
	switch c.Name {
	case admin.Suspend:
		if err := n.router.Suspend(c.ServerID); err != nil {
			return "", err
		}
		return fmt.Sprintf("nothing new goes to %s", c.ServerID), nil
	case admin.Restore:
		if err := n.router.Restore(c.ServerID); err != nil {
			return "", err
		}
		return fmt.Sprintf("%s is in use again as lists and its health let it", c.ServerID), nil
	case admin.Pause:
		n.front.Pause()
		return "the node empties itself", nil
	case admin.Resume:
		n.front.Resume()
		return "the node is back to work", nil
	}
	return "", fmt.Errorf("unknown call %q", c.Name)
}

// status waits for nothing. A paused node takes whoever still comes.
func (n *Node) status() (string, error) {
	switch {
	case n.front.Draining():
		return "", errors.New("the node is ending")
	case !n.router.Ready():
		return "", errors.New("the upstream group is not known yet")
	case n.front.Paused():
		return fmt.Sprintf("paused; suspended: %v", n.servers.SuspendedServers()) + n.standing(), nil
	}
	return fmt.Sprintf("serving; suspended: %v", n.servers.SuspendedServers()) + n.standing(), nil
}

// openDoor listens where operators call.
func (n *Node) openDoor(addr string, listen func(string) (net.Listener, error), d admin.Executor) error {
	l, err := listen(addr)
	if err != nil {
		return fmt.Errorf("listening for operators: %w", err)
	}
	n.door = admin.Serve(l, d, n.log)
	return nil
}
