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
const copier = "runtime.memmove"

// copierBegins is the copier's first instruction, MOVQ AX, DI: what the breakpoint takes the place of, and
// what copied does in its stead.
var copierBegins = []byte{0x48, 0x89, 0xc7}

const breakpoint = 0xcc // INT 3, of one byte

// breakAtCopies sets the breakpoint.
func (t *tracer) breakAtCopies() error {
	if t.stacks == nil || t.stacks.copier == 0 {
		return errors.New("the program has no symbols")
	}
	begins := make([]byte, len(copierBegins))
	if _, err := t.mem.ReadAt(begins, int64(t.stacks.copier)); err != nil {
		return err
	}
	if !bytes.Equal(begins, copierBegins) {
		return fmt.Errorf("%s begins with % x: another Go than this knows", copier, begins)
	}
	_, err := t.mem.WriteAt([]byte{breakpoint}, int64(t.stacks.copier))
	return err
}

// copied notes the copy that a thread is about to make, if it stands at the breakpoint, and lets it go on
// behind the instruction that was there. Go passes memmove's target, source and length in AX, BX and CX.
func (t *tracer) copied(tid int) bool {
	var r syscall.PtraceRegs
	if syscall.PtraceGetRegs(tid, &r) != nil || r.Rip != t.stacks.copier+1 {
		return false
	}
	stack := t.stacks.walk(t.mem, word(t.mem, r.Rsp)-1, r.Rbp)
	if length := r.Rcx; length > 0 && len(stack) > 0 && stack[0] != "runtime.copystack" { // which is no buffer
		t.mu.Lock()
		add(t.counted.copiers, blame(stack), float64(length))
		t.mu.Unlock()
	}
	r.Rdi = r.Rax
	r.Rip = t.stacks.copier + uint64(len(copierBegins))
	return syscall.PtraceSetRegs(tid, &r) == nil
}

// caller is the function that a thread's system call is made for.
func (t *tracer) caller(tid int) string {
	var r syscall.PtraceRegs
	if t.stacks == nil || syscall.PtraceGetRegs(tid, &r) != nil {
		return ""
	}
	return blame(without("syscall", t.stacks.walk(t.mem, r.Rip, r.Rbp)))
}
