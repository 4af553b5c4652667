package fleet

import (
	"bytes"
	"io"
	"os"
	"path/filepath"

	"olivebridge/internal/lab/fault"
)

// MaxNodes is the most processes of a run.
const MaxNodes = maxSlots / slotsPerNode

// Result is a run with what the judge made of it.
type Result struct {
	Script  *fault.Script
	Account *Account
	Outcome Outcome
}

// Outcome is what a judge made of a run.
type Outcome interface {
	Verdict() []Violation
	Text(a *Account) string      // for people
	Line(s *fault.Script) string // the same in one line
}

// Keep writes what a run left to a folder: script, records, logs and page.
func (r *Result) Keep(to, from string) error {
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	if err := copyFiles(to, from); err != nil {
		return err
	}
	for name, write := range map[string]func(io.Writer) error{
		"script.toml": r.Script.Write, "page.html": r.WriteHTML, "result.txt": func(w io.Writer) error {
			_, err := io.WriteString(w, r.Outcome.Text(r.Account))
			return err
		},
	} {
		var b bytes.Buffer
		if err := write(&b); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, name), b.Bytes(), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// copyFiles copies a folder, and passes over what is no plain file: sockets, and what stood in a process's way.
func copyFiles(to, from string) error {
	return filepath.WalkDir(from, func(path string, e os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		switch {
		case e.IsDir():
			return os.MkdirAll(filepath.Join(to, rel), 0o700)
		case !e.Type().IsRegular():
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), data, 0o600)
	})
}
