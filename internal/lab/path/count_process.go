package path

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// procFigures are what Linux lets any user read of his own process.
type procFigures struct {
	Reads, Writes         float64 // calls of the read and write families, all files
	ReadBytes, WriteBytes float64 // by them
	Waited, Preempted     float64 // context switches of all threads: it had nothing to do; its time was up
}

// readProc reads them from /proc; threads that have ended take their switches with them.
func readProc(pid int) (f procFigures, err error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	err = fields(dir+"io", map[string]*float64{"syscr": &f.Reads, "syscw": &f.Writes, "rchar": &f.ReadBytes,
		"wchar": &f.WriteBytes})
	if err != nil {
		return f, err
	}
	threads, err := os.ReadDir(dir + "task")
	if err != nil {
		return f, fmt.Errorf("counting: %w", err)
	}
	for _, t := range threads {
		var waited, preempted float64
		fields(dir+"task/"+t.Name()+"/status", map[string]*float64{"voluntary_ctxt_switches": &waited,
			"nonvoluntary_ctxt_switches": &preempted}) // one that has just ended has none
		f.Waited += waited
		f.Preempted += preempted
	}
	return f, nil
}

// fields reads numbers from a file of lines "name: number".
func fields(file string, to map[string]*float64) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("counting: %w", err)
	}
	for line := range bytes.Lines(text) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if v, ok := to[string(name)]; ok {
			if *v, err = strconv.ParseFloat(string(bytes.TrimSpace(value)), 64); err != nil {
				return fmt.Errorf("counting: %s: %w", file, err)
			}
		}
	}
	return nil
}

// and adds what came between two times.
func (f procFigures) and(now, before procFigures) procFigures {
	return procFigures{
		f.Reads + now.Reads - before.Reads, f.Writes + now.Writes - before.Writes,
		f.ReadBytes + now.ReadBytes - before.ReadBytes, f.WriteBytes + now.WriteBytes - before.WriteBytes,
		f.Waited + now.Waited - before.Waited, f.Preempted + now.Preempted - before.Preempted,
	}
}
