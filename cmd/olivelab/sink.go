package main

import (
	"fmt"
	"io"
	"os"
)

// sink is a file that a command writes at its end. It is opened at the beginning, so that
// nothing is run for a report that cannot be kept, and what it held stays until then.
type sink struct {
	file *os.File
	made bool // by this call: gone again if nothing is written
}

// create opens a sink; "" is one that keeps nothing.
func create(path string) (*sink, error) {
	if path == "" {
		return &sink{}, nil
	}
	_, err := os.Stat(path)
	made := os.IsNotExist(err)
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o644)
	if err != nil {
		return nil, unreadable(err)
	}
	return &sink{f, made}, nil
}

// write fills and closes the file.
func (s *sink) write(fill func(io.Writer) error) error {
	if s.file == nil {
		return nil
	}
	f := s.file
	if at, err := f.Stat(); err == nil && at.Mode().IsRegular() { // a pipe or a device needs no emptying
		if err := f.Truncate(0); err != nil {
			return unreadable(err)
		}
	}
	if err := fill(f); err != nil {
		return fmt.Errorf("%s: %w", f.Name(), err)
	}
	s.file = nil
	return unreadable(f.Close())
}

// drop ends a sink that nothing was written to.
func (s *sink) drop() {
	if s.file == nil {
		return
	}
	s.file.Close()
	if s.made {
		os.Remove(s.file.Name())
	}
	s.file = nil
}
