package path

import (
	"debug/elf"
	"encoding/binary"
	"io"

	"golang.org/x/sys/unix"
)

// copyEntrySize is the size of the instruction at the entry of copyFunction, in bytes.
const copyEntrySize = 4

// breakpointInstruction is BRK #0.
var breakpointInstruction = []byte{0x00, 0x00, 0x20, 0xd4}

// Encoding of CBZ, the branch to a relative address if a register is zero: Arm Architecture Reference Manual, C6.2.
const (
	branchIfZero      = 0xb4000000
	branchOpcodeMask  = 0xff000000
	branchRegister    = 0x1f
	branchOffsetShift = 5
	branchOffsetBits  = 19
	instructionSize   = 4
)

// Numbers of registers: those of Go's calling convention and of the processor's procedure call standard.
const (
	copyLengthRegister   = 2
	framePointerRegister = 29
	linkRegister         = 30
)

// isCopyEntry reports whether an instruction is CBZ R2, with which copyFunction begins.
func isCopyEntry(instruction [copyEntrySize]byte) bool {
	word := binary.LittleEndian.Uint32(instruction[:])
	return word&(branchOpcodeMask|branchRegister) == branchIfZero|copyLengthRegister
}

// registers are the registers of a stopped thread. At the entry of copyFunction, R0, R1 and R2 contain the target, the
// source and the length of the copy.
type registers struct{ unix.PtraceRegsArm64 }

func readRegisters(tid int) (r registers, err error) {
	err = unix.PtraceGetRegSetArm64(tid, int(elf.NT_PRSTATUS), &r.PtraceRegsArm64)
	return r, err
}

func (r *registers) write(tid int) error {
	return unix.PtraceSetRegSetArm64(tid, int(elf.NT_PRSTATUS), &r.PtraceRegsArm64)
}

func (r *registers) programCounter() uint64 { return r.Pc }

// frame returns the frame pointer.
func (r *registers) frame() uint64 { return r.Regs[framePointerRegister] }

// breakpoint returns the address of the breakpoint at which the thread may be stopped.
func (r *registers) breakpoint() uint64 { return r.Pc }

// returnAddress returns the return address at the entry of a function.
func (r *registers) returnAddress(io.ReaderAt) uint64 { return r.Regs[linkRegister] }

// copyLength returns the number of bytes to copy at the entry of copyFunction.
func (r *registers) copyLength() uint64 { return r.Regs[copyLengthRegister] }

// emulateCopyEntry executes the instruction that the breakpoint has replaced.
func (r *registers) emulateCopyEntry(instruction [copyEntrySize]byte) {
	if r.copyLength() != 0 {
		r.Pc += instructionSize
		return
	}
	const unusedBits = 32 - branchOffsetShift - branchOffsetBits
	word := int32(binary.LittleEndian.Uint32(instruction[:]))
	offset := word << unusedBits >> (unusedBits + branchOffsetShift) // sign-extended, in instructions
	r.Pc += uint64(int64(offset) * instructionSize)
}
