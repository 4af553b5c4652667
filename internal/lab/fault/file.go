package fault

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Load reads a script from a file and checks it.
func Load(path string) (*Script, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse reads a script from a file's bytes and checks it. An invalid script yields an *Error with a text of one line.
func Parse(name string, data []byte) (*Script, error) {
	t, err := readTree(name, data)
	if err != nil {
		return nil, err
	}
	s := &Script{}
	if err := decode(t, s); err != nil {
		return nil, err
	}
	if err := s.problems().in(t); err != nil {
		return nil, err
	}
	return s, nil
}

// Write writes a script in TOML. Parse reads back an equal script.
func (s *Script) Write(w io.Writer) error {
	e := toml.NewEncoder(w)
	e.SetIndentTables(false)
	if err := e.Encode(s); err != nil {
		return fmt.Errorf("write script of seed %d: %w", s.Seed, err)
	}
	return nil
}

func read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	var at *os.PathError
	if errors.As(err, &at) {
		return nil, &Error{File: path, Line: 1, Reason: at.Err.Error()}
	}
	return data, err
}
