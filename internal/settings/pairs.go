package settings

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// maxItems is the maximum length of a list in the settings, and the maximum value of an integer.
const maxItems = 10000

// maxDuration is the maximum duration, in nanoseconds. It keeps the sum of a few durations from overflowing.
const maxDuration = math.MaxInt64 / 4

// pairReader reads values by their paths. After errors it keeps the first one.
type pairReader struct {
	pairs map[string]string // values by path
	err   error             // the first error; nil: there was none
}

// fail records an error of the value at path, unless there was an error before.
func (r *pairReader) fail(path, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("settings: %s: %s", path, fmt.Sprintf(format, args...))
	}
}

func (r *pairReader) has(path string) bool {
	_, ok := r.pairs[path]
	return ok
}

// text reads a mandatory value as it is written.
func (r *pairReader) text(path string) string {
	value, ok := r.pairs[path]
	if !ok {
		r.fail(path, "missing")
	}
	return value
}

// number reads a finite number that is not negative.
func (r *pairReader) number(path string) float64 {
	value, err := strconv.ParseFloat(r.text(path), 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		r.fail(path, "not a number: %q", r.pairs[path])
		return 0
	}
	return value
}

func (r *pairReader) optionalNumber(path string, defaultValue float64) float64 {
	if !r.has(path) {
		return defaultValue
	}
	return r.number(path)
}

// duration reads a duration in nanoseconds. A value above maxDuration is reduced to maxDuration.
func (r *pairReader) duration(path string) time.Duration {
	return time.Duration(min(r.number(path), maxDuration))
}

// positiveInteger reads an integer above zero. A value above maxItems is reduced to maxItems.
func (r *pairReader) positiveInteger(path string) int {
	value := r.number(path)
	if value < 1 || value != math.Trunc(value) {
		r.fail(path, "not a whole number above zero: %q", r.pairs[path])
	}
	return int(min(value, maxItems))
}

// position reads a position in a list of the given length; a missing value means 0, the first position.
func (r *pairReader) position(path string, length int) uint8 {
	value := r.optionalNumber(path, 0)
	if value != math.Trunc(value) || value >= float64(min(length, math.MaxUint8)) {
		r.fail(path, "not a position in a list of %d: %q", length, r.pairs[path])
	}
	return uint8(value)
}

func (r *pairReader) flag(path string) bool {
	value, err := strconv.ParseBool(r.text(path))
	if err != nil {
		r.fail(path, "neither true nor false: %q", r.pairs[path])
	}
	return value
}

// optionalFlag reads a flag; a missing value means false.
func (r *pairReader) optionalFlag(path string) bool {
	return r.has(path) && r.flag(path)
}

// optionalCount reads the length of a list, at most maxItems; a missing value means 0.
func (r *pairReader) optionalCount(path string) int {
	value := r.optionalNumber(path, 0)
	if value < 0 || value > maxItems || value != math.Trunc(value) {
		r.fail(path, "not a count: %q", r.pairs[path])
		return 0
	}
	return int(value)
}

// enumValue reads a value that must be one of the keys of words, and returns the entry of that key.
func enumValue[T any](r *pairReader, path string, words map[string]T) T {
	value, ok := words[r.text(path)]
	if !ok {
		r.fail(path, "unknown value %q", r.pairs[path])
	}
	return value
}
