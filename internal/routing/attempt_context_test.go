package routing

import "testing"

// TestAttemptContextKeepsFirstCause checks that Done and Err of an attempt that was cancelled twice report its end with
// the first cause, even if Done is first called after the end.
func TestAttemptContextKeepsFirstCause(t *testing.T) {
	attempt := new(runningAttempt)
	attempt.cancel(ErrDeadlineExceeded)
	attempt.cancel(ErrCancelled)
	select {
	case <-attempt.Done():
	default:
		t.Error("Done of the cancelled attempt is not closed")
	}
	if !sameError(attempt.Err(), ErrDeadlineExceeded) || attempt.Value(nil) != nil {
		t.Error(attempt.Err())
	}
}
