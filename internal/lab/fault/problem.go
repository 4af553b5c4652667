package fault

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is what is wrong with a file: one line that says where, and why.
type Error struct {
	File   string // empty: the script was not read from one
	Line   int
	Key    string // as "world.peer[2].speed"; empty: the file as a whole
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

// problems are what a check has found, in the order in which it looked.
type problems []*Error

func (p *problems) add(key, format string, args ...any) {
	*p = append(*p, &Error{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// first is the one to report; nil: there is none.
func (p problems) first() error {
	if len(p) == 0 {
		return nil
	}
	return p[0]
}

// in is the one that stands first in a file.
func (p problems) in(t *tree) error {
	if len(p) == 0 {
		return nil
	}
	for _, e := range p {
		e.File, e.Line = t.file, t.line(e.Key)
	}
	return slices.MinFunc(p, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
}
