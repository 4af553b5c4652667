package routing

import (
	"testing"
	"time"
)

// TestConfirmEndsWithAttempt: an attempt that asks decisions which do not answer waits no longer than until its time is
// up, it is cancelled, or the decisions end.
func TestConfirmEndsWithAttempt(t *testing.T) {
	for name, end := range map[string]func(*runningAttempt){
		"its time is up": func(a *runningAttempt) { a.ExpiresAt = time.Now() },
		"it is cancelled": func(a *runningAttempt) {
			time.AfterFunc(10*time.Millisecond, func() { a.cancel(ErrCancelled) })
		},
		"the decisions ended": func(a *runningAttempt) { close(a.router.stopped) },
	} {
		for _, waiting := range []int{0, queueLength} {
			attempt := &runningAttempt{
				router:  newRouter(nil, listed()),
				Attempt: Attempt{ExpiresAt: time.Now().Add(time.Hour)},
			}
			for range waiting {
				attempt.router.events <- &timerEvent{}
			}
			end(attempt)
			if attempt.confirm() {
				t.Errorf("%s, behind %d events: it may begin", name, waiting)
			}
		}
	}
}
