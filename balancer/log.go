package balancer

import (
	"fmt"
	"time"
)

// logBurst is the number of lines that may be logged at once; after such a burst, one line per
// second is allowed.
const logBurst = 20

// logLimiter limits the rate of log lines with a token bucket.
type logLimiter struct {
	// freeFrom is the time up to which the tokens are used: each second between freeFrom and now is
	// one token.
	freeFrom Time
}

// allow reports whether a line may be logged at now, and takes a token if so.
func (l *logLimiter) allow(now Time) bool {
	l.freeFrom = max(l.freeFrom, now-logBurst*Time(time.Second))
	if l.freeFrom >= now {
		return false
	}
	l.freeFrom += Time(time.Second)
	return true
}

// logf writes a log line for operators. It drops the line if the rate limit is exceeded.
func (b *Balancer) logf(format string, args ...any) {
	if b.logLimit.allow(b.now) {
		b.host.Log(fmt.Sprintf(format, args...))
	}
}
