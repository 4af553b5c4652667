package path

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// procCounters are counters of a process that Linux lets its owner read from /proc.
type procCounters struct {
	Reads, Writes                          float64 // system calls of the read and write families, on all files
	ReadBytes, WriteBytes                  float64 // bytes moved by these calls
	VoluntarySwitches, InvoluntarySwitches float64 // context switches of all threads
}

// readProcCounters reads the counters of a process from /proc. The context switches of ended threads are not included.
func readProcCounters(pid int) (f procCounters, err error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	err = readNumbers(dir+"io", map[string]*float64{"syscr": &f.Reads, "syscw": &f.Writes, "rchar": &f.ReadBytes,
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
		_ = readNumbers(dir+"task/"+t.Name()+"/status", map[string]*float64{"voluntary_ctxt_switches": &waited,
			"nonvoluntary_ctxt_switches": &preempted}) // fails if the thread has just ended
		f.VoluntarySwitches += waited
		f.InvoluntarySwitches += preempted
	}
	return f, nil
}

// readNumbers reads numbers from a file with lines of the form "name: number" into the variables of the map.
func readNumbers(file string, to map[string]*float64) error {
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

// addDifference returns f plus the difference of the counters between two times.
func (f procCounters) addDifference(now, before procCounters) procCounters {
	return procCounters{
		f.Reads + now.Reads - before.Reads, f.Writes + now.Writes - before.Writes,
		f.ReadBytes + now.ReadBytes - before.ReadBytes, f.WriteBytes + now.WriteBytes - before.WriteBytes,
		f.VoluntarySwitches + now.VoluntarySwitches - before.VoluntarySwitches,
		f.InvoluntarySwitches + now.InvoluntarySwitches - before.InvoluntarySwitches,
	}
}
