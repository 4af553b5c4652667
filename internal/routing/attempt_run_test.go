package routing

import (
	"testing"
	"time"
)

// TestConfirmEndsWithAttempt checks that confirm returns false when the attempt expires, the attempt is cancelled or
// the event loop stops, if the event loop does not respond.
func TestConfirmEndsWithAttempt(t *testing.T) {
	for name, end := range map[string]func(*runningAttempt){
		"the attempt expires": func(a *runningAttempt) { a.ExpiresAt = time.Now() },
		"the attempt is cancelled": func(a *runningAttempt) {
			time.AfterFunc(10*time.Millisecond, func() { a.cancel(ErrCancelled) })
		},
		"the event loop stops": func(a *runningAttempt) { close(a.router.stopped) },
	} {
		for _, waiting := range []int{0, queueLength} {
			attempt := &runningAttempt{
				router:  newRouter(nil, fullList()),
				Attempt: Attempt{ExpiresAt: time.Now().Add(time.Hour)},
			}
			for range waiting {
				attempt.router.events <- &timerEvent{}
			}
			end(attempt)
			if attempt.confirm() {
				t.Errorf("%s, with %d events queued: confirm returned true, want false", name, waiting)
			}
		}
	}
}
