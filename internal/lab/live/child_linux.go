package live

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// processAttributes puts a child into its own process group, so that signals of the
// terminal do not reach it, and lets the kernel kill it when its parent exits.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}

// cpuTimeOf returns the processor time of a running process, or 0 if it is unknown.
func cpuTimeOf(pid int) time.Duration {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, text, _ := strings.Cut(string(data), ") ") // skip the name, which may contain any character
	fields := strings.Fields(text)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * (time.Second / 100)
}

// residentOf returns the resident memory of a process in bytes, or 0 if it is unknown.
func residentOf(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
