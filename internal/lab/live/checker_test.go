package live

import (
	"strings"
	"testing"
	"time"

	"olivebridge/internal/lab/world/client"
)

// Each rule violation is found, and nothing that a node may do counts as a violation.
func TestCheckerRules(t *testing.T) {
	answer := func(j *checker, status int, body string) {
		j.checkResponse(client.Response{Call: "a", Status: status, Body: []byte(body)})
	}
	for _, c := range []struct {
		name  string
		do    func(j *checker)
		wants []string // in order
	}{
		{"served", func(j *checker) {
			j.AttemptReceived("p1", "a", false)
			j.AttemptAnswered("p1", "a", []byte("call=a 1"))
			answer(j, 200, "call=a 1")
		}, nil},
		{"retried after a rejection", func(j *checker) {
			j.AttemptReceived("p1", "a", false)
			j.AttemptRejected("p1", "a")
			j.AttemptReceived("p2", "a", false)
		}, nil},
		{"refused after a rejection", func(j *checker) {
			j.AttemptReceived("p1", "a", false)
			j.AttemptRejected("p1", "a")
			answer(j, 503, "")
		}, nil},
		{"a second copy of a safe call", func(j *checker) {
			j.AttemptReceived("p1", "a", true)
			j.AttemptReceived("p2", "a", true)
			j.AttemptAnswered("p1", "a", []byte("call=a 1"))
			j.AttemptAnswered("p2", "a", []byte("call=a 2"))
			answer(j, 200, "call=a 2")
		}, nil},
		{"failed", func(j *checker) {
			j.AttemptReceived("p1", "a", false)
			answer(j, 502, "")
		}, nil},
		{"unsafe call sent twice", func(j *checker) {
			j.AttemptReceived("p1", "a", false)
			j.AttemptReceived("p2", "a", false)
		}, []string{"effect at 1.000000s: call a comes to peer p2, though"}},
		{"refused without a rejection", func(j *checker) {
			j.AttemptReceived("p1", "a", false)
			answer(j, 503, "")
		}, []string{"effect at 1.000000s: call a is refused"}},
		{"too many tries", func(j *checker) {
			for range 4 {
				j.AttemptReceived("p1", "a", true)
			}
		}, []string{"effect at 1.000000s: call a comes to peer p1 as try 4 of 3"}},
		{"another call's body", func(j *checker) {
			j.AttemptReceived("p1", "a", true)
			answer(j, 200, "call=b 1")
		}, []string{"wrong answer at 1.000000s: call a gets what names another call"}},
		{"a truncated body", func(j *checker) {
			j.AttemptReceived("p1", "a", true)
			j.AttemptAnswered("p1", "a", []byte("call=a 1"))
			answer(j, 200, "call=a ")
		}, []string{"wrong answer at 1.000000s: call a gets a body that no peer made"}},
		{"a body that no peer sent", func(j *checker) { answer(j, 200, "call=a 1") }, []string{"wrong answer"}},
	} {
		j := newChecker(3, time.Minute, func() time.Duration { return time.Second })
		c.do(j)
		got := j.violationLines()
		ok := len(got) == len(c.wants)
		for i := range c.wants {
			ok = ok && strings.HasPrefix(got[i], c.wants[i])
		}
		if !ok {
			t.Errorf("%s: violations %q, want %q", c.name, got, c.wants)
		}
	}
}

// The checker drops old calls; otherwise its memory would grow with the length of the run.
func TestCheckerExpiresCalls(t *testing.T) {
	now := time.Duration(0)
	j := newChecker(3, time.Second, func() time.Duration { return now })
	for _, call := range []string{"a", "b", "c"} {
		j.AttemptReceived("p1", call, true)
		now += 2 * time.Second
	}
	if len(j.calls) != 1 || len(j.order) != 1 {
		t.Errorf("%d calls kept, %d in order; want 1 and 1", len(j.calls), len(j.order))
	}
}
