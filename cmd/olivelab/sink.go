package main

import (
	"fmt"
	"io"
	"os"
)

// outputFile is a file that a command writes when it completes. It is opened before the command runs anything, so that
// a path that cannot be written fails early. Its previous content remains until write is called.
type outputFile struct {
	file    *os.File
	created bool // createOutput created the file, so discard removes it
}

// createOutput opens the file at path, or creates it. For the path "" it returns an outputFile that writes nothing.
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

// write replaces the content of the file by the output of fill and closes the file.
func (s *outputFile) write(fill func(io.Writer) error) error {
	if s.file == nil {
		return nil
	}
	f := s.file
	if at, err := f.Stat(); err == nil && at.Mode().IsRegular() { // pipes and devices cannot be truncated
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

// discard closes the file if write has not completed, and removes it if createOutput created it. After write it does
// nothing, so it can be deferred.
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
