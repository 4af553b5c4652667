package path

import (
	"bytes"
	"errors"
	"fmt"
	"syscall"
)

// copyFunction is the function through which all copies between buffers pass. They are counted by a breakpoint at its
// entry in the child's memory. Copies of a few bytes of constant size are inlined by the compiler and not counted.
const copyFunction = "runtime.memmove"

// copyFunctionPrologue is the first instruction of copyFunction, MOVQ AX, DI. The breakpoint replaces it, and
// handleCopy emulates it.
var copyFunctionPrologue = []byte{0x48, 0x89, 0xc7}

const breakpointInstruction = 0xcc // INT 3, one byte

// setCopyBreakpoint writes the breakpoint to the entry of copyFunction. It fails if the function begins with another
// instruction than copyFunctionPrologue, as it may with another version of Go.
func (t *tracer) setCopyBreakpoint() error {
	if t.stackReader == nil || t.stackReader.copyFunction == 0 {
		return errors.New("the program has no symbols")
	}
	begins := make([]byte, len(copyFunctionPrologue))
	if _, err := t.memory.ReadAt(begins, int64(t.stackReader.copyFunction)); err != nil {
		return err
	}
	if !bytes.Equal(begins, copyFunctionPrologue) {
		return fmt.Errorf("%s begins with % x: another Go than this knows", copyFunction, begins)
	}
	_, err := t.memory.WriteAt([]byte{breakpointInstruction}, int64(t.stackReader.copyFunction))
	return err
}

// handleCopy counts the copy that a thread is about to make if it is stopped at the breakpoint, and continues the
// thread after the replaced instruction. It reports whether the thread was at the breakpoint. Go passes the target,
// source and length of memmove in AX, BX and CX.
func (t *tracer) handleCopy(tid int) bool {
	var registers syscall.PtraceRegs
	if syscall.PtraceGetRegs(tid, &registers) != nil || registers.Rip != t.stackReader.copyFunction+1 {
		return false
	}
	stack := t.stackReader.walk(t.memory, readWord(t.memory, registers.Rsp)-1, registers.Rbp)
	if length := registers.Rcx; length > 0 && len(stack) > 0 && stack[0] != "runtime.copystack" { // stacks are not buffers
		function := attribute(stack)
		if isPeriodic(stack) {
			function = periodicWork
		}
		t.mu.Lock()
		addCount(t.tally.copiers, function, float64(length))
		t.mu.Unlock()
	}
	registers.Rdi = registers.Rax
	registers.Rip = t.stackReader.copyFunction + uint64(len(copyFunctionPrologue))
	return syscall.PtraceSetRegs(tid, &registers) == nil
}

// stackOf returns the functions on the stack of a stopped thread; none if they cannot be determined.
func (t *tracer) stackOf(tid int) []string {
	var registers syscall.PtraceRegs
	if t.stackReader == nil || syscall.PtraceGetRegs(tid, &registers) != nil {
		return nil
	}
	return t.stackReader.walk(t.memory, registers.Rip, registers.Rbp)
}
