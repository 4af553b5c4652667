package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxTimeout is the maximum timeout of a call. It keeps sums of times from overflowing.
const maxTimeout = time.Hour

// ParseTimeout parses the value of HeaderTimeout: a number of seconds in digits, with at most one decimal point. Zero
// and values above maxTimeout are errors.
func ParseTimeout(text string) (time.Duration, error) {
	invalid := strings.IndexFunc(text, func(c rune) bool { return (c < '0' || c > '9') && c != '.' })
	seconds, err := strconv.ParseFloat(text, 64)
	if invalid >= 0 || err != nil || seconds <= 0 || seconds > maxTimeout.Seconds() {
		return 0, fmt.Errorf("%s: missing or malformed: %q", HeaderTimeout, text)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// FormatSeconds returns a duration in seconds with three decimals. A duration below 1 ms becomes "0.001".
func FormatSeconds(d time.Duration) string { return string(AppendSeconds(nil, d)) }

// AppendSeconds appends the text of FormatSeconds to b.
func AppendSeconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, max(d, time.Millisecond).Seconds(), 'f', 3, 64)
}
