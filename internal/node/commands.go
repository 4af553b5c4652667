package node

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"

	"olivebridge/internal/admin"
	"olivebridge/internal/handover"
)

// Errors that operators receive when the node cannot execute a command or is not ready.
var (
	errStarting       = errors.New("the node is starting")
	errShuttingDown   = errors.New("the node is ending")
	errNoEndpointList = errors.New("the upstream group is not known yet")
)

// startingExecutor executes operators' commands. The admin listener opens before the node has started; until node is
// set, every command fails with errStarting.
type startingExecutor struct {
	node atomic.Pointer[Node]
}

// Do implements admin.Executor.
func (e *startingExecutor) Do(command admin.Command) (string, error) {
	n := e.node.Load()
	if n == nil {
		return "", errStarting
	}
	return n.Do(command)
}

// Do implements admin.Executor. It executes an operator's command in all processes of the node.
func (n *Node) Do(command admin.Command) (string, error) {
	switch command.Name {
	case admin.Status:
		return n.status()
	case admin.Fleet:
		if n.options.Fleet == nil {
			return "", admin.UnknownCommandError(command.Name)
		}
		return n.options.Fleet.Execute(strings.Fields(command.FleetArgs))
	}
	return n.executeInAllProcesses(command)
}

// status returns the node's state for operators without blocking. A paused node still accepts new requests, so its
// status is not an error.
func (n *Node) status() (string, error) {
	state := "serving"
	switch {
	case n.frontend.Draining():
		return "", errShuttingDown
	case !n.router.Ready():
		return "", errNoEndpointList
	case n.frontend.Paused():
		state = "paused"
	}
	return fmt.Sprintf("%s; suspended: %v", state, n.servers.SuspendedServers()) + n.fleetStatus(), nil
}

// executeInAllProcesses executes an operator's command in this process and in the node's other processes.
func (n *Node) executeInAllProcesses(command admin.Command) (string, error) {
	n.processes.commands.Lock()
	defer n.processes.commands.Unlock()
	return n.executeAndForward(command, nil)
}

// executeAndForward executes a command in this process and then in the node's other processes. from is the link on
// which the command arrived, whose process does not receive it again; nil: the command is from an operator or the
// fleet. If another process does not confirm the command, the error asks the operator to repeat it, since a report of
// success would be wrong.
func (n *Node) executeAndForward(command admin.Command, from *handover.Link) (string, error) {
	answer, err := n.execute(command)
	if err != nil {
		return "", err
	}
	for _, link := range n.processes.links() {
		if link == from {
			continue
		}
		err := link.Request(handover.Message{
			Kind:     handover.KindCommand,
			Command:  command.Name,
			ServerID: command.ServerID,
		})
		if err != nil && !errors.Is(err, handover.ErrProcessEnded) {
			return "", fmt.Errorf("it holds in this process alone, call again: %w", err)
		}
	}
	return answer, nil
}

// execute executes a command in this process.
func (n *Node) execute(command admin.Command) (string, error) {
	switch command.Name {
	case admin.Suspend:
		if err := n.router.Suspend(command.ServerID); err != nil {
			return "", err
		}
		return fmt.Sprintf("nothing new goes to %s", command.ServerID), nil
	case admin.Restore:
		if err := n.router.Restore(command.ServerID); err != nil {
			return "", err
		}
		return fmt.Sprintf("%s is in use again as lists and its health let it", command.ServerID), nil
	case admin.Pause:
		n.frontend.Pause()
		return "the node empties itself", nil
	case admin.Resume:
		n.frontend.Resume()
		return "the node is back to work", nil
	}
	return "", fmt.Errorf("unknown call %q", command.Name)
}
