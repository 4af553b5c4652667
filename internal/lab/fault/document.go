package fault

import "fmt"

// Document is a TOML file that is not a script but is decoded as strictly as one.
type Document struct{ t *tree }

// ReadDocument decodes a file's bytes into a struct. A file that cannot be decoded yields an *Error with a text of one
// line.
func ReadDocument(file string, data []byte, into any) (*Document, error) {
	t, err := readTree(file, data)
	if err != nil {
		return nil, err
	}
	if err := decode(t, into); err != nil {
		return nil, err
	}
	return &Document{t}, nil
}

// Has reports whether the file sets the given top-level key.
func (d *Document) Has(key string) bool { return d.t.root.child(key) != nil }

// Error returns an error about a key, written as "phase[1].from", with the line of the key in the file.
func (d *Document) Error(key, format string, args ...any) *Error {
	return &Error{File: d.t.file, Line: d.t.line(key), Key: key, Reason: fmt.Sprintf(format, args...)}
}

// File returns the name of the file.
func (d *Document) File() string { return d.t.file }
