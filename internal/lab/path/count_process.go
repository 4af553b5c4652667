package path

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// procCounters are what Linux lets any user read of his own process.
type procCounters struct {
	Reads, Writes                          float64 // calls of the read and write families, all files
	ReadBytes, WriteBytes                  float64 // by them
	VoluntarySwitches, InvoluntarySwitches float64 // context switches of all threads: it had nothing to do; its time was up
}

// readProcCounters reads them from /proc; threads that have ended take their switches with them.
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
		readNumbers(dir+"task/"+t.Name()+"/status", map[string]*float64{"voluntary_ctxt_switches": &waited,
			"nonvoluntary_ctxt_switches": &preempted}) // one that has just ended has none
		f.VoluntarySwitches += waited
		f.InvoluntarySwitches += preempted
	}
	return f, nil
}

// readNumbers reads numbers from a file of lines "name: number".
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

// addDifference adds what came between two times.
func (f procCounters) addDifference(now, before procCounters) procCounters {
	return procCounters{
		f.Reads + now.Reads - before.Reads, f.Writes + now.Writes - before.Writes,
		f.ReadBytes + now.ReadBytes - before.ReadBytes, f.WriteBytes + now.WriteBytes - before.WriteBytes,
		f.VoluntarySwitches + now.VoluntarySwitches - before.VoluntarySwitches, f.InvoluntarySwitches + now.InvoluntarySwitches - before.InvoluntarySwitches,
	}
}
