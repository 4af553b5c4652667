package fleetfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is the first error that was found in a file.
type Error struct {
	File   string
	Line   int    // from 1; 0: the error concerns the whole file
	Key    string // "": the error concerns no single key
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("fleet file %s", e.File)
	if e.Line > 0 {
		text += fmt.Sprintf(", line %d", e.Line)
	}
	if e.Key != "" {
		text += ": " + e.Key
	}
	return text + ": " + e.Reason
}

// Load reads and checks the file at a path. The error is an *Error.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return nil, &Error{File: path, Reason: err.Error()}
	}
	return Parse(path, data)
}

// Parse decodes and checks the content of a file. The path is only used in errors. The error is an *Error.
func Parse(path string, data []byte) (*File, error) {
	f := &File{}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(f); err != nil {
		return nil, decodeError(path, err)
	}
	c := checker{file: path, lines: keyLines(data)}
	c.checkFile(f)
	if c.err != nil {
		return nil, c.err
	}
	return f, nil
}

// decodeError converts an error of the TOML decoder to an Error.
func decodeError(path string, err error) *Error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := &unknown.Errors[0]
		line, _ := first.Position()
		return &Error{path, line, strings.Join(first.Key(), "."), "unknown key"}
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		line, _ := malformed.Position()
		key := strings.Join(malformed.Key(), ".")
		return &Error{path, line, key, strings.TrimPrefix(malformed.Error(), "toml: ")}
	}
	return &Error{File: path, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
}

// keyLines returns the lines of all tables and keys. The name of a key is preceded by the name of its table.
func keyLines(data []byte) map[string]int {
	lines := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := keyOf(expression, data)
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = key + "."
			lines[key] = line
		case unstable.KeyValue:
			lines[table+key] = line
		}
	}
	return lines
}

// keyOf returns the key of an expression and the line of the key.
func keyOf(expression *unstable.Node, data []byte) (key string, line int) {
	var parts []string
	for k := expression.Key(); k.Next(); {
		parts = append(parts, string(k.Node().Data))
		if line == 0 {
			line = 1 + bytes.Count(data[:k.Node().Raw.Offset], []byte("\n"))
		}
	}
	return strings.Join(parts, "."), line
}
