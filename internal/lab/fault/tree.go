package fault

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// tree is a parsed TOML file that keeps the line of every value: later checks report problems with the line.
type tree struct {
	file string
	root *item
}

// item is one value of a file.
type item struct {
	kind   unstable.Kind // Table also for inline tables, Array also for arrays of tables
	line   int
	text   string // of a scalar
	keys   []string
	fields map[string]*item
	items  []*item
}

func (i *item) child(key string) *item { return i.fields[key] }

func (i *item) put(key string, v *item) {
	if i.fields == nil {
		i.fields = map[string]*item{}
	}
	i.keys = append(i.keys, key)
	i.fields[key] = v
}

// readTree parses a file's bytes.
func readTree(file string, data []byte) (*tree, error) {
	// The decoder checks the rules that the low-level parser does not, such as that of duplicate keys and tables.
	var all map[string]any
	if err := toml.Unmarshal(data, &all); err != nil {
		e := &Error{File: file, Line: 1, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
		var at *toml.DecodeError
		if errors.As(err, &at) {
			e.Line, _ = at.Position()
			e.Key = strings.Join(at.Key(), ".")
		}
		return nil, e
	}
	r := reader{lines: []int{0}}
	for i, b := range data {
		if b == '\n' {
			r.lines = append(r.lines, i+1)
		}
	}
	t := &tree{file: file, root: &item{kind: unstable.Table, line: 1}}
	r.p.Reset(data)
	table := t.root
	for r.p.NextExpression() {
		switch e := r.p.Expression(); e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = r.table(t.root, e)
		case unstable.KeyValue:
			r.assign(table, e)
		}
	}
	if err := r.p.Error(); err != nil {
		return nil, &Error{File: file, Line: 1, Reason: err.Error()}
	}
	return t, nil
}

// line returns the line of a key or, if the file does not set it, that of its innermost enclosing value.
func (t *tree) line(key string) int {
	at := t.root
	for part := range strings.SplitSeq(key, ".") {
		name, index, _ := strings.Cut(part, "[")
		next := at.child(name)
		if next == nil {
			break
		}
		at = next
		var n int
		if _, err := fmt.Sscanf(index, "%d]", &n); err == nil && n < len(at.items) {
			at = at.items[n]
		}
	}
	return at.line
}

type reader struct {
	p     unstable.Parser
	lines []int // byte offset at which each line begins
}

func (r *reader) line(n *unstable.Node) int {
	i, found := slices.BinarySearch(r.lines, int(n.Raw.Offset))
	if found {
		i++
	}
	return i
}

// table returns the table of a table header and creates it, and the tables around it, if needed.
func (r *reader) table(at *item, e *unstable.Node) *item {
	for k := e.Key(); k.Next(); {
		key, line := string(k.Node().Data), r.line(k.Node())
		next := at.child(key)
		if next == nil {
			next = &item{kind: unstable.Table, line: line}
			if k.IsLast() && e.Kind == unstable.ArrayTable {
				next.kind = unstable.Array
			}
			at.put(key, next)
		}
		if next.kind == unstable.Array {
			if k.IsLast() {
				next.items = append(next.items, &item{kind: unstable.Table, line: line})
			}
			next = next.items[len(next.items)-1]
		}
		at = next
	}
	return at
}

// assign stores a key's value in a table and creates the tables of a dotted key.
func (r *reader) assign(at *item, e *unstable.Node) {
	for k := e.Key(); k.Next(); {
		key, line := string(k.Node().Data), r.line(k.Node())
		if k.IsLast() {
			at.put(key, r.value(e.Value(), line))
			return
		}
		next := at.child(key)
		if next == nil {
			next = &item{kind: unstable.Table, line: line}
			at.put(key, next)
		}
		at = next
	}
}

func (r *reader) value(n *unstable.Node, line int) *item {
	v := &item{kind: n.Kind, line: line}
	switch n.Kind {
	case unstable.Array:
		for c := n.Children(); c.Next(); {
			if c.Node().Kind != unstable.Comment {
				v.items = append(v.items, r.value(c.Node(), line))
			}
		}
	case unstable.InlineTable:
		v.kind = unstable.Table
		for c := n.Children(); c.Next(); {
			if c.Node().Kind == unstable.KeyValue {
				r.assign(v, c.Node())
			}
		}
	default:
		v.text = string(bytes.Clone(n.Data))
	}
	return v
}
