//go:build !linux

package live

import (
	"syscall"
	"time"
)

// processAttributes puts a child into its own process group, so that signals of the
// terminal do not reach it.
func processAttributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

// cpuTimeOf returns 0: the time of a running process is not available on this system.
func cpuTimeOf(int) time.Duration { return 0 }

// residentOf returns 0: resident memory is not available on this system.
func residentOf(int) int64 { return 0 }
