package main

import (
	"fmt"
	"io"
	"os"
)

// outputFile is a file that a command writes at its end. It is opened at the beginning, so that
// nothing is run for a report that cannot be kept, and what it held stays until then.
type outputFile struct {
	file    *os.File
	created bool // by this call: gone again if nothing is written
}

// createOutput opens a sink; "" is one that keeps nothing.
func createOutput(path string) (*outputFile, error) {
	if path == "" {
		return &outputFile{}, nil
	}
	_, err := os.Stat(path)
	made := os.IsNotExist(err)
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o644)
	if err != nil {
		return nil, shortPathError(err)
	}
	return &outputFile{f, made}, nil
}

// write fills and closes the file.
func (s *outputFile) write(fill func(io.Writer) error) error {
	if s.file == nil {
		return nil
	}
	f := s.file
	if at, err := f.Stat(); err == nil && at.Mode().IsRegular() { // a pipe or a device needs no emptying
		if err := f.Truncate(0); err != nil {
			return shortPathError(err)
		}
	}
	if err := fill(f); err != nil {
		return fmt.Errorf("%s: %w", f.Name(), err)
	}
	s.file = nil
	return shortPathError(f.Close())
}

// discard ends a sink that nothing was written to.
func (s *outputFile) discard() {
	if s.file == nil {
		return
	}
	s.file.Close()
	if s.created {
		os.Remove(s.file.Name())
	}
	s.file = nil
}
