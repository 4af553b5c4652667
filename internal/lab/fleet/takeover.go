package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"olivebridge/internal/lab/fault"
)

// The calls of this scenario's clients. Their class is not idempotent, and each call has its own key.
const (
	clientCallRate  = 100.0            // calls per second
	clientCallClass = "order"          // a class of live.Sample
	clientCallTime  = 12 * time.Second // limit of all attempts: exceeds failure detection, an election and a sweep
	attemptTimeout  = 2 * time.Second  // time limit of one attempt
	retryPause      = 40 * time.Millisecond
	callRetention   = "10m"
)

// Takeover is the result of a run with stored calls.
type Takeover struct {
	Nodes         int         `json:"nodes"`
	Seconds       float64     `json:"seconds"`
	Calls         int         `json:"taken"` // the number of calls by clients
	Answered      int         `json:"answered"`
	Unknown       int         `json:"unknown"`
	Lost          int         `json:"lost"`       // calls without a final answer within clientCallTime
	RunTwice      int         `json:"twice"`      // calls that may have run more than once
	NotSent       int         `json:"not_out"`    // of Unknown, the calls of which no attempt arrived at a peer
	TakenOver     int         `json:"taken_over"` // calls answered after a first attempt that failed or was rejected
	TakeoverTime  Times       `json:"takeover_s"` // duration of those calls
	FirstAttempts Times       `json:"first_s"`    // duration of calls whose first attempt returned the outcome
	Kills         int         `json:"kills"`
	Copies        int         `json:"copies"`        // copies of open calls that clients sent
	CopyErrors    int         `json:"copies_failed"` // of Copies, those that got an error
	Broken        []Violation `json:"broken"`
}

// JudgeTakeover compares the attempts that ran at peers with the answers that clients received. It applies the rules of
// this scenario only if strict is set, that is, if the nodes store calls and clients retry.
func JudgeTakeover(a *Account, strict bool) *Takeover {
	t := &Takeover{
		Nodes:   len(a.Names),
		Seconds: (a.End - a.Begin).Seconds(),
		Calls:   len(a.ClientCalls),
		Broken:  []Violation{},
	}
	for _, broken := range a.Broken {
		t.Broken = append(t.Broken, Violation{Rule: "world", What: broken})
	}
	if a.RunError != nil {
		t.Broken = append(t.Broken, Violation{Rule: "rig", What: a.RunError.Error()})
	}
	report := newReporter(&t.Broken, a.Begin)
	t.CopyErrors, t.Copies = checkCopies(a, report)
	if !strict {
		report = func(string, time.Duration, string, ...any) {}
	}
	for _, e := range a.Events {
		if e.What == eventKilled {
			t.Kills++
		}
	}
	checkStepsMet(a, report)
	runs := runsByKey(a)
	for _, call := range a.ClientCalls {
		t.checkOutcome(call, runs[call.Key], report)
		t.measure(call)
	}
	t.TakeoverTime.summarize()
	t.FirstAttempts.summarize()
	if t.Calls == 0 {
		t.Broken = append(t.Broken, Violation{Rule: "use", At: a.End - a.Begin, What: "no client made a call"})
	}
	return t
}

// checkOutcome checks the answer to a client against the attempts that may have run.
func (t *Takeover) checkOutcome(call ClientCall, ran keyRuns, report reporter) {
	switch call.Status {
	case http.StatusOK:
		t.Answered++
		if !strings.Contains(call.Body, "call="+call.Key+".") {
			report("outcome", call.Ended, "%s got the outcome of another call: %.60q", call.Key, call.Body)
		}
		if ran.count == 0 {
			report("outcome", call.Ended, "%s got an outcome, but none of its attempts arrived at a peer", call.Key)
		}
	case 0:
		t.Lost++
		report("lost", call.Ended, "%s got no final answer within %.1fs and %d attempts; last answers: %s",
			call.Key, (call.Ended - call.Began).Seconds(), call.Attempts, call.LastAnswers)
	default:
		t.Unknown++
		if ran.count == 0 {
			t.NotSent++
		}
	}
	if ran.count > 1 {
		t.RunTwice++
		report("twice", ran.last, "%s had %d attempts at peers that may all have run", call.Key, ran.count)
	}
}

// measure measures the time that a client waited for its outcome.
func (t *Takeover) measure(call ClientCall) {
	if call.Status != http.StatusOK {
		return
	}
	if call.Attempts > 1 {
		t.TakenOver++
		t.TakeoverTime.add(call.Ended - call.Began)
	}
	if call.FirstAttempt > 0 {
		t.FirstAttempts.add(call.FirstAttempt)
	}
}

// keyRuns is the number of attempts under one key that may have run.
type keyRuns struct {
	count int
	last  time.Duration // time of the last arrival at a peer
}

// runsByKey returns, for each key, the number of attempts that arrived complete at peers, without those that peers
// reported as not run.
func runsByKey(a *Account) map[string]keyRuns {
	runs := map[string]keyRuns{}
	for _, arrival := range a.Arrivals {
		if !arrival.Done {
			key := keyOf(arrival.Call)
			runs[key] = keyRuns{count: runs[key].count + 1, last: arrival.At}
		}
	}
	for _, call := range a.NotRun {
		key := keyOf(call)
		runs[key] = keyRuns{count: runs[key].count - 1, last: runs[key].last}
	}
	return runs
}

// keyOf returns the key of a call, given the ID of one of its attempts.
func keyOf(call string) string {
	key, _, _ := strings.Cut(call, ".")
	return key
}

// Verdict returns the rules that the run broke.
func (t *Takeover) Verdict() []Violation { return t.Broken }

// Text returns the result for the command's output.
func (t *Takeover) Text(*Account) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d processes, %d kills, %.0f s: "+
		"clients made %d calls, got %d outcomes, %d unknown, %d without an answer\n",
		t.Nodes, t.Kills, t.Seconds, t.Calls, t.Answered, t.Unknown, t.Lost)
	fmt.Fprintf(&b, "ran twice %d; of the unknown, no attempt of %d arrived at a peer; "+
		"%d got their outcome from a later attempt, after %.2f s (median), %.2f s at worst\n",
		t.RunTwice, t.NotSent, t.TakenOver, t.TakeoverTime.Median, t.TakeoverTime.Worst)
	fmt.Fprintf(&b, "a first attempt took %.1f ms (median), %.1f ms at worst\n",
		1000*t.FirstAttempts.Median, 1000*t.FirstAttempts.Worst)
	fmt.Fprintf(&b, "other clients sent %d copies of open calls, of which %d got an error\n", t.Copies, t.CopyErrors)
	for _, one := range t.Broken {
		fmt.Fprintf(&b, "  %s\n", one)
	}
	return b.String()
}

// Line returns the result in one line.
func (t *Takeover) Line(s *fault.Script) string {
	return fmt.Sprintf(
		"seed %d: %s; taken %d, answered %d, unknown %d (%d not out), lost %d, twice %d, later %d, copies %d; %s",
		s.Seed, strings.Join(s.Kinds(), " "), t.Calls, t.Answered, t.Unknown, t.NotSent, t.Lost, t.RunTwice, t.TakenOver,
		t.Copies, verdict(t.Broken))
}
