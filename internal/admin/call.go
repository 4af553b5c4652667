// Package admin is the operators' door: a second address on which one line asks
// one thing, and gets one line back.
package admin

import (
	"errors"
	"fmt"
	"strings"
)

// The calls.
const (
	Status  = "STATUS"
	Suspend = "SUSPEND"
	Restore = "RESTORE"
	Pause   = "PAUSE"
	Resume  = "RESUME"
	// Fleet is for the whole fleet, where there is one: what follows is the fleet's to read.
	Fleet = "FLEET"
)

// maxLine bounds a call, its end included.
const maxLine = 512

// Call is one line of an operator's.
type Command struct {
	Name      string
	ServerID  string // of a server; "" where the call has none
	FleetArgs string // of FLEET
}

// Unknown says that there is no such call.
func UnknownCommand(word string) error {
	return fmt.Errorf("unknown call %.40q; there are STATUS, SUSPEND, RESTORE, PAUSE and RESUME", word)
}

// Parse reads a line, without its end.
func Parse(line string) (Command, error) {
	if strings.ContainsFunc(line, func(c rune) bool { return c < ' ' || c > '~' }) {
		return Command{}, errors.New("a byte that no call has")
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Command{}, errors.New("an empty line")
	}
	c, rest := Command{Name: words[0]}, words[1:]
	switch c.Name {
	case Suspend, Restore:
		if len(rest) != 1 {
			return c, fmt.Errorf("%s wants the id of one server, and got %d", c.Name, len(rest))
		}
		c.ServerID = rest[0]
	case Status, Pause, Resume:
		if len(rest) != 0 {
			return c, fmt.Errorf("%s stands alone", c.Name)
		}
	case Fleet:
		c.FleetArgs = strings.Join(rest, " ")
	default:
		return c, UnknownCommand(c.Name)
	}
	return c, nil
}
