//go:build !linux

package path

import "errors"

var errLinuxOnly = errors.New("system calls and copies are counted on Linux only")

type tracer struct{ done chan struct{} }

type stackReader struct{}

func startTracer(int, *stackReader, bool) (*tracer, error) { return nil, errLinuxOnly }

func (t *tracer) snapshot() tally { return newTally() }

func readSymbols(string) (*stackReader, error) { return nil, errLinuxOnly }
