package admin

import (
	"errors"
	"fmt"
	"strings"
)

// Names of the commands.
const (
	Status  = "STATUS"
	Suspend = "SUSPEND"
	Restore = "RESTORE"
	Pause   = "PAUSE"
	Resume  = "RESUME"
	// Fleet is a command for the whole fleet, on nodes that belong to one. The fleet parses its arguments.
	Fleet = "FLEET"
)

// maxLineBytes is the maximum length of a command line including its line ending.
const maxLineBytes = 512

var (
	errInvalidByte = errors.New("a byte that no call has")
	errEmptyLine   = errors.New("an empty line")
)

// Command is a command from an operator.
type Command struct {
	Name      string
	ServerID  string // empty if the command does not refer to a server
	FleetArgs string // arguments of FLEET, separated by single spaces
}

// UnknownCommandError is the name of a requested command that does not exist.
type UnknownCommandError string

// Error implements error.
func (e UnknownCommandError) Error() string {
	return fmt.Sprintf("unknown call %.40q; there are STATUS, SUSPEND, RESTORE, PAUSE and RESUME", string(e))
}

// Parse parses a command line without its line ending. The error text is meant for the operator. The command's name is
// returned even with an error if the line contains one.
func Parse(line string) (Command, error) {
	if strings.ContainsFunc(line, isUnprintable) {
		return Command{}, errInvalidByte
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Command{}, errEmptyLine
	}
	command := Command{Name: words[0]}
	args := words[1:]
	switch command.Name {
	case Suspend, Restore:
		if len(args) != 1 {
			return command, fmt.Errorf("%s wants the id of one server, and got %d", command.Name, len(args))
		}
		command.ServerID = args[0]
	case Status, Pause, Resume:
		if len(args) != 0 {
			return command, fmt.Errorf("%s stands alone", command.Name)
		}
	case Fleet:
		command.FleetArgs = strings.Join(args, " ")
	default:
		return command, UnknownCommandError(command.Name)
	}
	return command, nil
}

// isUnprintable reports whether r is not a printable ASCII character.
func isUnprintable(r rune) bool { return r < ' ' || r > '~' }
