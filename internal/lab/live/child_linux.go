package live

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// processAttributes keeps a terminal's signals from a child, and lets it die with its parent.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}

// cpuTimeOf is the processor time that a running process has used; 0 if that cannot be told.
func cpuTimeOf(pid int) time.Duration {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, text, _ := strings.Cut(string(data), ") ") // behind the name, which may hold anything
	fields := strings.Fields(text)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * (time.Second / 100)
}

// residentOf is how many bytes of memory a process holds; 0 if that cannot be told.
func residentOf(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
