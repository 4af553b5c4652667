package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxTimeout bounds a timeout, so that sums with it cannot overflow.
const maxTimeout = time.Hour

// ParseTimeout parses the value of HeaderTimeout, a time above zero in seconds: digits and at most one point.
func ParseTimeout(text string) (time.Duration, error) {
	odd := strings.IndexFunc(text, func(c rune) bool { return (c < '0' || c > '9') && c != '.' })
	seconds, err := strconv.ParseFloat(text, 64)
	if odd >= 0 || err != nil || seconds <= 0 || seconds > maxTimeout.Seconds() {
		return 0, fmt.Errorf("%s: missing or malformed: %q", HeaderTimeout, text)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// FormatSeconds writes a time in seconds with three decimals, and never as less than a millisecond.
func FormatSeconds(d time.Duration) string { return string(AppendSeconds(nil, d)) }

// AppendSeconds appends what FormatSeconds writes.
func AppendSeconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, max(d, time.Millisecond).Seconds(), 'f', 3, 64)
}
