//go:build !linux

package live

import (
	"syscall"
	"time"
)

// processAttributes keeps a terminal's signals from a child.
func processAttributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

// cpuTimeOf cannot be told here before a process has ended.
func cpuTimeOf(int) time.Duration { return 0 }

// residentOf cannot be told here.
func residentOf(int) int64 { return 0 }
