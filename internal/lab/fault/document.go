package fault

import "fmt"

// Document is a TOML file of another form, read as strictly as scripts are.
type Document struct{ t *tree }

// ReadDocument fills a struct from a file's bytes. What is wrong is reported as
// an *Error, in one line.
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

// Has reports whether a key of the file's top stands there.
func (d *Document) Has(key string) bool { return d.t.root.child(key) != nil }

// Error says what is wrong with a key, written as "phase[1].from", and where it stands.
func (d *Document) Error(key, format string, args ...any) *Error {
	return &Error{File: d.t.file, Line: d.t.line(key), Key: key, Reason: fmt.Sprintf(format, args...)}
}

// File is the name of the file.
func (d *Document) File() string { return d.t.file }
