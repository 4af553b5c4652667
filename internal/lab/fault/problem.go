package fault

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is a problem in a file: a line of text with its position and its reason.
type Error struct {
	File   string // empty if the script was not read from a file
	Line   int
	Key    string // as "world.peer[2].speed"; empty if the problem concerns the whole file
	Reason string
}

func (e *Error) Error() string {
	var b strings.Builder
	if e.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, "%s: ", e.Key)
	}
	b.WriteString(e.Reason)
	return b.String()
}

// problems are the problems that a check has found, in the order of the check.
type problems []*Error

func (p *problems) add(key, format string, args ...any) {
	*p = append(*p, &Error{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// first returns the problem that was found first, or nil if there is none.
func (p problems) first() error {
	if len(p) == 0 {
		return nil
	}
	return p[0]
}

// in sets the file and line of each problem and returns the one with the lowest line, or nil if there is none.
func (p problems) in(t *tree) error {
	if len(p) == 0 {
		return nil
	}
	for _, e := range p {
		e.File, e.Line = t.file, t.line(e.Key)
	}
	return slices.MinFunc(p, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
}
