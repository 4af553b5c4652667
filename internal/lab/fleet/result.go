package fleet

import (
	"bytes"
	"io"
	"os"
	"path/filepath"

	"olivebridge/internal/lab/fault"
)

// MaxNodes is the maximum number of processes in a run.
const MaxNodes = maxSlots / slotsPerNode

// Result is a run with the outcome that the judge determined.
type Result struct {
	Script  *fault.Script
	Account *Account
	Outcome Outcome
}

// Outcome is a judge's evaluation of a run.
type Outcome interface {
	Verdict() []Violation
	Text(a *Account) string      // for the command's output
	Line(s *fault.Script) string // the same in one line
}

// Keep stores a run in the folder to, which it replaces: script, records, logs and page. The folder from contains the
// files that the processes wrote.
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

// copyFiles copies a folder. It skips entries that are not regular files: sockets, and the obstacles of faults such as
// fleet-full.
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
