//go:build !linux

package live

import (
	"syscall"
	"time"
)

// apart keeps a terminal's signals from a child.
func apart() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

// usedBy cannot be told here before a process has ended.
func usedBy(int) time.Duration { return 0 }

// residentOf cannot be told here.
func residentOf(int) int64 { return 0 }
