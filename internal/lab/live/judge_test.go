package live

import (
	"strings"
	"testing"
	"time"

	"olivebridge/internal/lab/world/client"
)

// Each rule is broken by just what breaks it, and by nothing that a node may do.
func TestJudge(t *testing.T) {
	answer := func(j *judge, status int, body string) {
		j.heard(client.Response{Call: "a", Status: status, Body: []byte(body)})
	}
	for _, c := range []struct {
		name  string
		do    func(j *judge)
		wants []string // in order
	}{
		{"served", func(j *judge) {
			j.AttemptReceived("p1", "a", false)
			j.AttemptAnswered("p1", "a", []byte("call=a 1"))
			answer(j, 200, "call=a 1")
		}, nil},
		{"tried again after a proof", func(j *judge) {
			j.AttemptReceived("p1", "a", false)
			j.AttemptRejected("p1", "a")
			j.AttemptReceived("p2", "a", false)
		}, nil},
		{"refused after a proof", func(j *judge) {
			j.AttemptReceived("p1", "a", false)
			j.AttemptRejected("p1", "a")
			answer(j, 503, "")
		}, nil},
		{"a second copy of a safe call", func(j *judge) {
			j.AttemptReceived("p1", "a", true)
			j.AttemptReceived("p2", "a", true)
			j.AttemptAnswered("p1", "a", []byte("call=a 1"))
			j.AttemptAnswered("p2", "a", []byte("call=a 2"))
			answer(j, 200, "call=a 2")
		}, nil},
		{"failed", func(j *judge) {
			j.AttemptReceived("p1", "a", false)
			answer(j, 502, "")
		}, nil},
		{"an unsafe call twice", func(j *judge) {
			j.AttemptReceived("p1", "a", false)
			j.AttemptReceived("p2", "a", false)
		}, []string{"effect at 1.000000s: call a comes to peer p2, though"}},
		{"refused without a proof", func(j *judge) {
			j.AttemptReceived("p1", "a", false)
			answer(j, 503, "")
		}, []string{"effect at 1.000000s: call a is refused"}},
		{"too many tries", func(j *judge) {
			for range 4 {
				j.AttemptReceived("p1", "a", true)
			}
		}, []string{"effect at 1.000000s: call a comes to peer p1 as try 4 of 3"}},
		{"another call's body", func(j *judge) {
			j.AttemptReceived("p1", "a", true)
			answer(j, 200, "call=b 1")
		}, []string{"wrong answer at 1.000000s: call a gets what names another call"}},
		{"a body that was cut", func(j *judge) {
			j.AttemptReceived("p1", "a", true)
			j.AttemptAnswered("p1", "a", []byte("call=a 1"))
			answer(j, 200, "call=a ")
		}, []string{"wrong answer at 1.000000s: call a gets a body that no peer made"}},
		{"a body of nobody's", func(j *judge) { answer(j, 200, "call=a 1") }, []string{"wrong answer"}},
	} {
		j := newJudge(3, time.Minute, func() time.Duration { return time.Second })
		c.do(j)
		got := j.all()
		ok := len(got) == len(c.wants)
		for i := range c.wants {
			ok = ok && strings.HasPrefix(got[i], c.wants[i])
		}
		if !ok {
			t.Errorf("%s: %q, want %q", c.name, got, c.wants)
		}
	}
}

// A long run must not be remembered whole.
func TestJudgeForgets(t *testing.T) {
	now := time.Duration(0)
	j := newJudge(3, time.Second, func() time.Duration { return now })
	for _, call := range []string{"a", "b", "c"} {
		j.AttemptReceived("p1", call, true)
		now += 2 * time.Second
	}
	if len(j.calls) != 1 || len(j.order) != 1 {
		t.Errorf("%d calls, %d in order", len(j.calls), len(j.order))
	}
}
