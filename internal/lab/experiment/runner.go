package experiment

import (
	"context"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/sample"
)

// Runner plays a script and tells how it goes.
//
// What it owes, on whatever clock:
//
//   - Requests arrive as the script's crowds draw them, each at its own instant,
//     and none waits for another's answer. Of each first try whose instant came
//     it tells one sample.Request, once its outcome is known and before Run
//     returns: Due is the drawn instant, Begun when the tool got to it, Ended
//     when the outcome was known. Package client gives all three (Env.OnRequestEnd).
//   - A sample.Reading of all peers at least every half second, from the start
//     until the clients have their outcomes; on sockets with the processor time
//     and the resident bytes of each node's process, over all its lives.
//   - A sample.Event for each start and end of a peer's or node's process after
//     the beginning, each signal to a node, and each change that discovery shows.
//   - The script's faults at their instants. They need not be told: the report
//     takes them from the script.
//
// All times are since the instant from which the script's are counted. The Sink
// is told from one goroutine at a time, and no more once Run has returned.
type Runner interface {
	Run(ctx context.Context, s *fault.Script, to sample.Sink) (Played, error)
}

// Played is what a Runner says at the end. An error is for runs that did not
// take place, or were cut short.
type Played struct {
	Clock  string   // "virtual" or "sockets"
	Broken []string // rules that were broken, and crashes, one line each
}
