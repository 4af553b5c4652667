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
	// tokensUsedUntil represents the unused tokens: their number is the number of seconds from
	// tokensUsedUntil until now.
	tokensUsedUntil Time
}

// allow reports whether a line may be logged at now, and takes a token if so.
func (l *logLimiter) allow(now Time) bool {
	l.tokensUsedUntil = max(l.tokensUsedUntil, now-logBurst*Time(time.Second))
	if l.tokensUsedUntil >= now {
		return false
	}
	l.tokensUsedUntil += Time(time.Second)
	return true
}

// logf writes a log line for operators. It drops the line if the rate limit is exceeded.
func (b *Balancer) logf(format string, args ...any) {
	if b.logLimit.allow(b.now) {
		b.host.Log(fmt.Sprintf(format, args...))
	}
}
