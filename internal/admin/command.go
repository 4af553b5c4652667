package admin

import (
	"errors"
	"fmt"
	"strings"
)

// The names of the commands.
const (
	Status  = "STATUS"
	Suspend = "SUSPEND"
	Restore = "RESTORE"
	Pause   = "PAUSE"
	Resume  = "RESUME"
	// Fleet is a command for the whole fleet, where there is one. The fleet reads its arguments.
	Fleet = "FLEET"
)

// maxLineBytes bounds a command's line, its end included.
const maxLineBytes = 512

var (
	errInvalidByte = errors.New("a byte that no call has")
	errEmptyLine   = errors.New("an empty line")
)

// Command is one command of an operator's.
type Command struct {
	Name      string
	ServerID  string // empty: the command concerns no server
	FleetArgs string // the arguments of FLEET, one space between two
}

// UnknownCommandError says that there is no command of its name.
type UnknownCommandError string

// Error implements error.
func (e UnknownCommandError) Error() string {
	return fmt.Sprintf("unknown call %.40q; there are STATUS, SUSPEND, RESTORE, PAUSE and RESUME", string(e))
}

// Parse reads a command's line, without its end. The error is worded for the operator. The command's name is returned
// even with an error, where the line has one.
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

// isUnprintable reports whether a rune is none of the printable ASCII characters.
func isUnprintable(r rune) bool { return r < ' ' || r > '~' }
