package routing

import "testing"

// TestAttemptContextKeepsFirstCause: whoever asks for the end of an attempt that has ended finds it, with its first
// cause.
func TestAttemptContextKeepsFirstCause(t *testing.T) {
	attempt := new(runningAttempt)
	attempt.cancel(ErrDeadlineExceeded)
	attempt.cancel(ErrCancelled)
	select {
	case <-attempt.Done():
	default:
		t.Error("it does not seem to have ended")
	}
	if !sameError(attempt.Err(), ErrDeadlineExceeded) || attempt.Value(nil) != nil {
		t.Error(attempt.Err())
	}
}
