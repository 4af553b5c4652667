//go:build linux && !amd64

package path

import "errors"

const copyFunction = "runtime.memmove"

// setCopyBreakpoint fails: instructions and registers differ between processors, and only amd64 is supported.
func (t *tracer) setCopyBreakpoint() error { return errors.New("copies are counted on amd64 only") }

func (t *tracer) handleCopy(int) bool { return false }

func (t *tracer) stackOf(int) []string { return nil }
