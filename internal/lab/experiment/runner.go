package experiment

import (
	"context"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/sample"
)

// Runner plays a script and reports samples of the run to a sample.Sink.
//
// The contract holds for the virtual clock and for sockets:
//
//   - Requests arrive at the instants that the script's crowds draw, and no
//     request waits for the response to another. For each first try that came
//     due, the runner reports one sample.Request after its outcome is known and
//     before Run returns: ScheduledAt is the drawn instant, SentAt the instant at
//     which the runner sent the request, EndedAt the instant at which the outcome
//     was known. Package client supplies all three (Env.OnRequestEnd).
//   - The runner reports a sample.Reading of all peers at least every half second,
//     from the start until the outcome of every request is known; on sockets with
//     the processor time and the resident bytes of each node, summed over the
//     node's successive processes.
//   - The runner reports a sample.Event for each start and end of a peer's or
//     node's process after the beginning, each signal to a node, and each change
//     of the endpoint list of discovery.
//   - The runner injects the script's faults at their instants. It does not report
//     them: the report takes them from the script.
//
// All times are relative to the start of the script. The Sink is called from one
// goroutine at a time, and not after Run has returned.
type Runner interface {
	Run(ctx context.Context, s *fault.Script, to sample.Sink) (RunResult, error)
}

// RunResult is the result of a completed run. A run that could not start or was
// interrupted returns an error instead.
type RunResult struct {
	Clock  string   // "virtual" or "sockets"
	Broken []string // rule violations and crashes, one line each
}
