package client

import (
	"testing"
	"time"

	"olivebridge/internal/lab/figure"
)

func TestFrontAdmitsAndNoticesLate(t *testing.T) {
	run(t, func(l *lab) {
		draws := figure.Stream(1, "test")
		picks := func(zone string) string {
			addr, ok := l.front.Pick(zone, draws)
			if !ok {
				return "none"
			}
			return addr
		}
		check := func(when, a, b string) {
			t.Helper()
			if picks("a") != a || picks("b") != b {
				t.Errorf("%s: a goes to %s, b to %s; want %s, %s", when, picks("a"), picks("b"), a, b)
			}
		}
		n1, n2 := l.nodes[0], l.nodes[1]
		check("both ready", "n1:9000", "n2:9000")
		n1.listener.Close()
		l.front.Died("n1")
		l.until(1900 * time.Millisecond)
		check("not noticed yet", "n1:9000", "n2:9000")
		l.until(3100 * time.Millisecond)
		check("noticed", "n2:9000", "n2:9000")
		n1.ready = false
		n1.up()
		l.front.Born("n1")
		l.until(4 * time.Second)
		check("back, and not ready", "n2:9000", "n2:9000")
		n1.ready = true
		l.until(4300 * time.Millisecond)
		check("ready", "n1:9000", "n2:9000")
		l.front.Leaving("n2")
		n2.ready = false
		l.until(4490 * time.Millisecond)
		check("told to end", "n1:9000", "n2:9000")
		l.until(4710 * time.Millisecond)
		check("kept away", "n1:9000", "n1:9000")
		l.front.Died("n1")
		l.front.Born("n1") // before its death was noticed
		check("another process", "none", "none")
		l.until(5 * time.Second)
		check("which is ready", "n1:9000", "n1:9000")
		n1.asked = func() { // it dies as it answers, and the next one never is ready
			n1.asked = nil
			l.front.Born("n1")
			l.loop.After(time.Millisecond, func() { n1.ready = false })
		}
		l.front.Born("n1")
		l.until(6 * time.Second)
		check("ready a life ago", "none", "none")
		l.front.Stop()
		l.until(7 * time.Second)
		if l.loop.Pending() != 0 || l.net.OpenEnds != 0 {
			t.Errorf("%d events pending, %d ends open after the end", l.loop.Pending(), l.net.OpenEnds)
		}
	})
}
