package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"olivebridge/internal/lab/fault"
)

// The calls of this scenario's clients: of a class that is not idempotent, each under a key.
const (
	clientCallRate  = 100.0            // a second
	clientCallClass = "order"          // of live.Sample
	clientCallTime  = 12 * time.Second // for which a client retries: beyond detection, an election and the sweep
	attemptTimeout  = 2 * time.Second  // of one attempt
	attemptPause    = 40 * time.Millisecond
	callRetention   = "10m"
)

// Takeover is what came of calls that were stored.
type Takeover struct {
	Nodes         int         `json:"nodes"`
	Seconds       float64     `json:"seconds"`
	Calls         int         `json:"taken"` // pieces of work that clients asked for
	Answered      int         `json:"answered"`
	Unknown       int         `json:"unknown"`
	Lost          int         `json:"lost"`       // clients kept asking, and got nothing by their time
	Twice         int         `json:"twice"`      // keys whose effect ran more than once
	NotSent       int         `json:"not_out"`    // of Unknown, those of which nothing had come to any peer
	TakenOver     int         `json:"taken_over"` // answered only after the first node was lost, or had refused
	TakeoverTime  Times       `json:"takeover_s"` // of those, from the beginning to the outcome
	FirstAttempts Times       `json:"first_s"`    // how long a first question took that brought the outcome
	Kills         int         `json:"kills"`
	Broken        []Violation `json:"broken"`
}

// JudgeTakeover counts what ran, by what came to peers, and what clients got. Rules are held against the run only if
// strict: the nodes store calls, and clients retry.
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
		t.Broken = append(t.Broken, Violation{Rule: "use", At: a.End - a.Begin, What: "nobody asked for work"})
	}
	return t
}

// checkOutcome holds what a client got against what ran.
func (t *Takeover) checkOutcome(call ClientCall, ran keyRuns, report reporter) {
	switch call.Status {
	case http.StatusOK:
		t.Answered++
		if !strings.Contains(call.Body, "call="+call.Key+".") {
			report("outcome", call.Ended, "%s got the outcome of other work: %.60q", call.Key, call.Body)
		}
		if ran.count == 0 {
			report("outcome", call.Ended, "%s got an outcome, and nothing of it came to any peer", call.Key)
		}
	case 0:
		t.Lost++
		report("lost", call.Ended, "%s got nothing in %.1fs, asked %d times, and heard last: %s",
			call.Key, (call.Ended - call.Began).Seconds(), call.Attempts, call.LastAnswers)
	default:
		t.Unknown++
		if ran.count == 0 {
			t.NotSent++
		}
	}
	if ran.count > 1 {
		t.Twice++
		report("twice", ran.last, "%s came to peers %d times that may all have run", call.Key, ran.count)
	}
}

// measure measures how long a client waited for its outcome.
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

// keyRuns is how often the call of a key may have run.
type keyRuns struct {
	count int
	last  time.Duration // when it came to a peer last
}

// runsByKey counts the attempts of each key that came complete to peers, but for those that peers say they did not run.
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

// keyOf is the key of one attempt's ID.
func keyOf(call string) string {
	key, _, _ := strings.Cut(call, ".")
	return key
}

// Verdict are the rules that did not hold.
func (t *Takeover) Verdict() []Violation { return t.Broken }

// Text is the result for people.
func (t *Takeover) Text(*Account) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d processes, %d kills, %.0f s: "+
		"clients asked for %d pieces of work, got %d outcomes, %d unknown, %d nothing\n",
		t.Nodes, t.Kills, t.Seconds, t.Calls, t.Answered, t.Unknown, t.Lost)
	fmt.Fprintf(&b, "ran twice %d; of the unknown nothing had come to a peer of %d; "+
		"%d had their outcome at a later question, after %.2f s (median), %.2f s at worst\n",
		t.Twice, t.NotSent, t.TakenOver, t.TakeoverTime.Median, t.TakeoverTime.Worst)
	fmt.Fprintf(&b, "a first question took %.1f ms (median), %.1f ms at worst\n",
		1000*t.FirstAttempts.Median, 1000*t.FirstAttempts.Worst)
	for _, one := range t.Broken {
		fmt.Fprintf(&b, "  %s\n", one)
	}
	return b.String()
}

// Line is the result in one line.
func (t *Takeover) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; taken %d, answered %d, unknown %d (%d not out), lost %d, twice %d, later %d; %s",
		s.Seed, strings.Join(s.Kinds(), " "), t.Calls, t.Answered, t.Unknown, t.NotSent, t.Lost, t.Twice, t.TakenOver,
		verdict(t.Broken))
}
