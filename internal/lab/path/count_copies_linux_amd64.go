package path

import (
	"bytes"
	"errors"
	"fmt"
	"syscall"
)

// Copies between buffers are counted where all of them pass: at the entry of runtime.memmove, where a
// breakpoint stands in the child's memory. Copies of a few bytes, whose number the compiler knows, are made
// in place and not seen.
const copyFunction = "runtime.memmove"

// copyFunctionPrologue is the copier's first instruction, MOVQ AX, DI: what the breakpoint takes the place of, and
// what copied does in its stead.
var copyFunctionPrologue = []byte{0x48, 0x89, 0xc7}

const breakpointInstruction = 0xcc // INT 3, of one byte

// setCopyBreakpoint sets the breakpoint.
func (t *tracer) setCopyBreakpoint() error {
	if t.stacks == nil || t.stacks.copyFunction == 0 {
		return errors.New("the program has no symbols")
	}
	begins := make([]byte, len(copyFunctionPrologue))
	if _, err := t.memory.ReadAt(begins, int64(t.stacks.copyFunction)); err != nil {
		return err
	}
	if !bytes.Equal(begins, copyFunctionPrologue) {
		return fmt.Errorf("%s begins with % x: another Go than this knows", copyFunction, begins)
	}
	_, err := t.memory.WriteAt([]byte{breakpointInstruction}, int64(t.stacks.copyFunction))
	return err
}

// handleCopy notes the copy that a thread is about to make, if it stands at the breakpoint, and lets it go on
// behind the instruction that was there. Go passes memmove's target, source and length in AX, BX and CX.
func (t *tracer) handleCopy(tid int) bool {
	var r syscall.PtraceRegs
	if syscall.PtraceGetRegs(tid, &r) != nil || r.Rip != t.stacks.copyFunction+1 {
		return false
	}
	stack := t.stacks.walk(t.memory, readWord(t.memory, r.Rsp)-1, r.Rbp)
	if length := r.Rcx; length > 0 && len(stack) > 0 && stack[0] != "runtime.copystack" { // which is no buffer
		t.mu.Lock()
		addCount(t.tally.copiers, attribute(stack), float64(length))
		t.mu.Unlock()
	}
	r.Rdi = r.Rax
	r.Rip = t.stacks.copyFunction + uint64(len(copyFunctionPrologue))
	return syscall.PtraceSetRegs(tid, &r) == nil
}

// callerOf is the function that a thread's system call is made for.
func (t *tracer) callerOf(tid int) string {
	var r syscall.PtraceRegs
	if t.stacks == nil || syscall.PtraceGetRegs(tid, &r) != nil {
		return ""
	}
	return attribute(trimPackage("syscall", t.stacks.walk(t.memory, r.Rip, r.Rbp)))
}
