package path

import (
	"io"
	"syscall"
)

// copyEntrySize is the size of the instruction at the entry of copyFunction, in bytes.
const copyEntrySize = 3

// breakpointInstruction is INT 3.
var breakpointInstruction = []byte{0xcc}

// isCopyEntry reports whether an instruction is MOVQ AX, DI, with which copyFunction begins.
func isCopyEntry(instruction [copyEntrySize]byte) bool {
	return instruction == [copyEntrySize]byte{0x48, 0x89, 0xc7}
}

// registers are the registers of a stopped thread. At the entry of copyFunction, AX, BX and CX contain the target, the
// source and the length of the copy.
type registers struct{ syscall.PtraceRegs }

func readRegisters(tid int) (r registers, err error) {
	err = syscall.PtraceGetRegs(tid, &r.PtraceRegs)
	return r, err
}

func (r *registers) write(tid int) error { return syscall.PtraceSetRegs(tid, &r.PtraceRegs) }

func (r *registers) programCounter() uint64 { return r.Rip }

// frame returns the frame pointer.
func (r *registers) frame() uint64 { return r.Rbp }

// breakpoint returns the address of the breakpoint at which the thread may be stopped. The processor has executed the
// breakpoint's instruction.
func (r *registers) breakpoint() uint64 { return r.Rip - uint64(len(breakpointInstruction)) }

// returnAddress returns the return address at the entry of a function.
func (r *registers) returnAddress(mem io.ReaderAt) uint64 { return readWord(mem, r.Rsp) }

// copyLength returns the number of bytes to copy at the entry of copyFunction.
func (r *registers) copyLength() uint64 { return r.Rcx }

// emulateCopyEntry executes the instruction that the breakpoint has replaced.
func (r *registers) emulateCopyEntry([copyEntrySize]byte) {
	r.Rip = r.breakpoint() + copyEntrySize
	r.Rdi = r.Rax
}
