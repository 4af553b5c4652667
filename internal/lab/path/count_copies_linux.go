//go:build linux && (amd64 || arm64)

package path

import (
	"errors"
	"fmt"
)

// copyFunction is the function through which all copies between buffers pass. They are counted by a breakpoint at its
// entry in the child's memory. Copies of a few bytes of constant size are inlined by the compiler and not counted.
const copyFunction = "runtime.memmove"

// setCopyBreakpoint writes the breakpoint to the entry of copyFunction, over an instruction that handleCopy emulates.
// It fails if the function begins with another instruction than the one known, as it may with another version of Go.
func (t *tracer) setCopyBreakpoint() error {
	if t.stackReader == nil || t.stackReader.copyFunction == 0 {
		return errors.New("the program has no symbols")
	}
	entry := int64(t.stackReader.copyFunction)
	if _, err := t.memory.ReadAt(t.copyEntry[:], entry); err != nil {
		return err
	}
	if !isCopyEntry(t.copyEntry) {
		return fmt.Errorf("%s begins with % x: another Go than this knows", copyFunction, t.copyEntry)
	}
	_, err := t.memory.WriteAt(breakpointInstruction, entry)
	return err
}

// handleCopy counts the copy that a thread is about to make if it is stopped at the breakpoint, and continues the
// thread after the replaced instruction. It reports whether the thread was at the breakpoint.
func (t *tracer) handleCopy(tid int) bool {
	registers, err := readRegisters(tid)
	if err != nil || registers.breakpoint() != t.stackReader.copyFunction {
		return false
	}
	stack := t.stackReader.walk(t.memory, registers.returnAddress(t.memory)-1, registers.frame())
	// Stacks, which the runtime copies too, are not buffers.
	if length := registers.copyLength(); length > 0 && len(stack) > 0 && stack[0] != "runtime.copystack" {
		function := attribute(stack)
		if isPeriodic(stack) {
			function = periodicWork
		}
		t.mu.Lock()
		addCount(t.tally.copiers, function, float64(length))
		t.mu.Unlock()
	}
	registers.emulateCopyEntry(t.copyEntry)
	return registers.write(tid) == nil
}

// stackOf returns the functions on the stack of a stopped thread; none if they cannot be determined.
func (t *tracer) stackOf(tid int) []string {
	if t.stackReader == nil {
		return nil
	}
	registers, err := readRegisters(tid)
	if err != nil {
		return nil
	}
	return t.stackReader.walk(t.memory, registers.programCounter(), registers.frame())
}
