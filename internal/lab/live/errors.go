package live

import (
	"cmp"
	"errors"
	"fmt"
)

// fail records an error of the run itself, which no node caused.
func (r *Run) fail(format string, args ...any) {
	err := fmt.Errorf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machineErr = cmp.Or(r.machineErr, err)
	r.recordError(err)
}

// recordError keeps the first error and writes err to Options.Log. The caller must
// hold r.mu.
func (r *Run) recordError(err error) {
	r.firstErr = cmp.Or(r.firstErr, err)
	if r.options.Log != nil {
		fmt.Fprintln(r.options.Log, err)
	}
}

// addViolation records a rule violation by a node's process.
func (r *Run) addViolation(rule, format string, args ...any) {
	err := fmt.Errorf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordError(err)
	r.violations = append(r.violations, fmt.Sprintf("%s at %.6fs: %v", rule, r.reporter.now().Seconds(), err))
}

// MachineErr returns the first error that no node caused.
func (r *Run) MachineErr() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machineErr
}

// Broken waits until the run has finished and returns the rule violations, one line
// each: those of the nodes' processes first.
func (r *Run) Broken() []string {
	<-r.finished
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(r.violations[:len(r.violations):len(r.violations)], r.checker.violationLines()...)
}

// Err returns the first error of the run or of a node's process, for example an
// unexpected exit or a lack of file descriptors.
func (r *Run) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstErr
}

// errRunOver is returned by Do once the run has finished.
var errRunOver = errors.New("the run is over")
