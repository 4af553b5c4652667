package path

import (
	"cmp"
	"debug/elf"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"sort"
)

// stackReader finds the functions on the stacks of a child from the frame pointers that Go maintains and the symbols of
// the program.
type stackReader struct {
	functions    []elf.Symbol // ordered by address
	copyFunction uint64       // address of the function of that name; 0 if the program lacks it
}

// maxFrames is the number of frames that are read of a stack.
const maxFrames = 24

// readSymbols reads the symbols of a program. It returns an error unless the program is an ELF file with fixed
// addresses and a symbol table.
func readSymbols(program string) (*stackReader, error) {
	f, err := elf.Open(program)
	if err != nil {
		return nil, fmt.Errorf("symbols: %s: %w", program, err)
	}
	defer func() { _ = f.Close() }()
	if f.Type != elf.ET_EXEC {
		return nil, fmt.Errorf("symbols: %s: its addresses are not fixed", program)
	}
	all, err := f.Symbols()
	if err != nil {
		return nil, fmt.Errorf("symbols: %s: %w", program, err)
	}
	s := &stackReader{}
	for _, sym := range all {
		if elf.ST_TYPE(sym.Info) != elf.STT_FUNC {
			continue
		}
		s.functions = append(s.functions, sym)
		if sym.Name == copyFunction {
			s.copyFunction = sym.Value
		}
	}
	slices.SortFunc(s.functions, func(a, b elf.Symbol) int { return cmp.Compare(a.Value, b.Value) })
	return s, nil
}

// functionAt returns the name of the function that contains an address; "" if there is none.
func (s *stackReader) functionAt(pc uint64) string {
	i := sort.Search(len(s.functions), func(i int) bool { return s.functions[i].Value > pc }) - 1
	if i < 0 || pc >= s.functions[i].Value+max(s.functions[i].Size, 1) {
		return ""
	}
	return s.functions[i].Name
}

// walk returns the functions on a stack in a process's memory, innermost first: the one that contains pc and the
// callers found from the frame pointer frame.
func (s *stackReader) walk(mem io.ReaderAt, pc, frame uint64) (names []string) {
	for len(names) < maxFrames {
		f := s.functionAt(pc)
		if f == "" {
			return names
		}
		names = append(names, f)
		above, back := readWord(mem, frame), readWord(mem, frame+8)
		if above <= frame {
			return names
		}
		frame, pc = above, back-1 // the return address minus 1 is within the call instruction
	}
	return names
}

// readWord reads a 64-bit word of a process's memory; 0 if it cannot be read.
func readWord(mem io.ReaderAt, at uint64) uint64 {
	var w [8]byte
	if _, err := mem.ReadAt(w[:], int64(at)); err != nil {
		return 0
	}
	return binary.LittleEndian.Uint64(w[:])
}
