package protocol

import (
	"testing"
	"time"
)

// TestParseTimeout: ParseTimeout accepts only digits with at most one decimal point, and FormatSeconds never returns
// zero.
func TestParseTimeout(t *testing.T) {
	const leadingSpace = " 1"
	for in, want := range map[string]time.Duration{
		"0.480": 480 * time.Millisecond, "1.5": 1500 * time.Millisecond, "2": 2 * time.Second,
		".25": 250 * time.Millisecond,
		"":    0, "0": 0, "-1": 0, "+1": 0, "1e3": 0, "NaN": 0, "Inf": 0, "0x1": 0, "1_0": 0, "1.2.3": 0, leadingSpace: 0,
		"99999999": 0, ".": 0,
	} {
		if got, err := ParseTimeout(in); got != want || (err == nil) != (want > 0) {
			t.Errorf("parsing %q: got %v, error %v, want %v", in, got, err, want)
		}
	}
	for in, want := range map[time.Duration]string{
		1250 * time.Millisecond: "1.250", 99*time.Millisecond + 400*time.Microsecond: "0.099",
		0: "0.001", -time.Second: "0.001",
	} {
		if got := FormatSeconds(in); got != want {
			t.Errorf("formatting %v: got %s, want %s", in, got, want)
		}
	}
}
