package balancer

import (
	"fmt"
	"time"
)

// logBurst is how many lines may be logged at once; then one each second.
const logBurst = 20

// logLimiter bounds the rate of log lines.
type logLimiter struct {
	// freeFrom is the instant from which one line is free for each second.
	freeFrom Time
}

// allow reports whether a line may be logged at now, and counts it.
func (l *logLimiter) allow(now Time) bool {
	l.freeFrom = max(l.freeFrom, now-logBurst*Time(time.Second))
	if l.freeFrom >= now {
		return false
	}
	l.freeFrom += Time(time.Second)
	return true
}

// logf writes a line for the operators, unless too many were written lately.
func (b *Balancer) logf(format string, args ...any) {
	if b.logLimit.allow(b.now) {
		b.host.Log(fmt.Sprintf(format, args...))
	}
}
