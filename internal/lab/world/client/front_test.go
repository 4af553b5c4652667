package client

import (
	"testing"
	"time"

	"olivebridge/internal/lab/figure"
)

func TestFrontAdmitsAndRemovesNodesLate(t *testing.T) {
	withHarness(t, func(l *harness) {
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
				t.Errorf("%s: zone a gets node %s, zone b gets %s; want %s, %s", when, picks("a"), picks("b"), a, b)
			}
		}
		n1, n2 := l.nodes[0], l.nodes[1]
		check("both ready", "n1:9000", "n2:9000")
		n1.listener.Close()
		l.front.NodeDied("n1")
		l.runUntil(1900 * time.Millisecond)
		check("n1 dead, not noticed yet", "n1:9000", "n2:9000")
		l.runUntil(3100 * time.Millisecond)
		check("death of n1 noticed", "n2:9000", "n2:9000")
		n1.ready = false
		n1.listen()
		l.front.NodeStarted("n1")
		l.runUntil(4 * time.Second)
		check("n1 restarted, not ready", "n2:9000", "n2:9000")
		n1.ready = true
		l.runUntil(4300 * time.Millisecond)
		check("n1 ready", "n1:9000", "n2:9000")
		l.front.NodeTerminating("n2")
		n2.ready = false
		l.runUntil(4490 * time.Millisecond)
		check("n2 terminating", "n1:9000", "n2:9000")
		l.runUntil(4710 * time.Millisecond)
		check("n2 removed after its delay", "n1:9000", "n1:9000")
		l.front.NodeDied("n1")
		l.front.NodeStarted("n1") // before the front notices the death
		check("new process of n1 not checked yet", "none", "none")
		l.runUntil(5 * time.Second)
		check("new process of n1 ready", "n1:9000", "n1:9000")
		n1.onReadyCheck = func() { // the process is replaced while it answers, and the new one is never ready
			n1.onReadyCheck = nil
			l.front.NodeStarted("n1")
			l.loop.After(time.Millisecond, func() { n1.ready = false })
		}
		l.front.NodeStarted("n1")
		l.runUntil(6 * time.Second)
		check("response of the previous process ignored", "none", "none")
		l.front.Stop()
		l.runUntil(7 * time.Second)
		if l.loop.Pending() != 0 || l.net.OpenEnds != 0 {
			t.Errorf("%d events pending, %d connection ends open after Stop; want none", l.loop.Pending(), l.net.OpenEnds)
		}
	})
}
