package rules

// The short names of the rules. Each comment states the requirement and, in
// parentheses, its source in the operators' pages: the number of one of the four
// rules of the wire protocol, or the title of a section of the protocol on
// sockets. Config.Slack is added to every time limit. Where a page allows several
// readings, the judge reports only what violates all of them, and the comment
// states the chosen reading.
const (
	// Lost (1; "The rules on sockets", "Figures"): an accepted request gets a
	// complete answer. A request is accepted when its last byte was sent on a
	// connection that is open at the node's machine. It is lost if the node ends
	// the connection after it has read the complete request, or if the request is
	// unanswered at the end of a run.
	//
	// No answer is required in these cases:
	//   - The client ended its sending or closed the connection first.
	//   - The node was killed. If the kill ends a graceful shutdown (at least the
	//     longest deadline and 0.7 s after SIGTERM), this excuses only requests that
	//     arrived within 0.7 s of SIGTERM.
	//   - The network lost bytes or broke the connection.
	//   - An earlier answer announced the close of the connection.
	//   - The node ended the connection before it had read the complete request; the
	//     client sends it again.
	//   - The connection also carries malformed input: nodes close such a connection
	//     even if other requests wait on it.
	//
	// An answer that is truncated because the peer's answer was truncated, or paused
	// for maxAnswerPause, counts as failed, not as lost. An answer over 64 KiB that a
	// peer sends in parts is passed on: a call is lost if it gets another status while
	// that answer has been arriving at the node for the slack.
	Lost = "lost"
	// Late (1): the last byte of the answer leaves the node within the request's
	// budget, counted from the sending of the request's last byte. The transit time
	// to the node counts up to half of the slack; any excess extends the limit. The
	// transit time of the answer does not count. For a request that waits for the
	// answer to an earlier one on its connection, the time starts with that answer.
	// Of an answer over 64 KiB that a peer sends in parts, the first bytes count.
	// Because a client that has left needs no answer, a violation shows only if the
	// client stays for its budget and the slack.
	Late = "late"
	// Twice (1): a request gets one answer, and no bytes follow that answer.
	Twice = "twice answered"
	// Wrong (1; "serves it with something no server made for it"): the body of an
	// answer with status 200 equals, byte for byte, that of an answer with status 200
	// which a peer sent for an attempt of the same call and which had reached the
	// node. Bytes that a peer sent before the attempt reached it do not count as its
	// answer. An answer that cannot be parsed violates the rule.
	Wrong = "wrong answer"
	// Effect (2): a retry or a rejection (429 or 503, with any text) of a call that
	// is not idempotent requires proof that no earlier attempt has run or may run. An
	// attempt counts once its last byte was written. Proof is a complete answer with
	// status 503 or 504 and X-Rejected: 1 that has reached the node.
	//
	// A call has at most TryLimit attempts. If SecondCopies is false, no two attempts
	// of a call may be in flight at the same time: an earlier attempt must be
	// answered, or its connection closed, no later than one millisecond after the
	// next one, because actions of a node at the same instant have no defined order.
	Effect = "effect"
	// Hidden ("Nodes to servers"): a node sends to a peer only health checks, where
	// those are allowed, and requests with the method, target and body of a request
	// that the node accepted from a client before. No attempt begins after the call's
	// answer, or after the node could observe that the client is gone: the node
	// closed the connection, a reset arrived, or the end of the client's sending
	// arrived and the slack has passed.
	Hidden = "hidden"
	// Drain (3): the first byte of an attempt is sent within DrainGrace after the
	// node was notified that the peer is Terminating or Gone, unless it was notified
	// of Ready since.
	//
	// A node counts as notified in these cases:
	//   - It received a complete answer of the discovery that it polls.
	//   - A poll reached discovery and got no answer that says otherwise: the node is
	//     notified of the list at the arrival of the poll, 2 s after the end of the
	//     poll's wait, or 6 s after its arrival if it must be answered immediately.
	//   - It has not polled for AskEvery (four times AskEvery after a failed poll):
	//     it is notified of the list as of that long ago.
	//   - 4 s have passed since SIGHUP with another discovery: it is notified of the
	//     list at that time.
	//   - 6 s have passed since a change of the list, and the node's polls were served
	//     during that time. This case takes precedence over all others. Polls are not
	//     served while discovery is down, has moved to its other address, or breaks,
	//     refuses, stalls or garbles any share of the polls, or while a partition
	//     separates it from the node. The end of such a period starts the 6 s again,
	//     as do the first poll and SIGHUP with another discovery.
	//
	// A poll has failed if it ends in an error or in an answer that cannot be parsed,
	// or if its connection breaks before discovery has sent a complete answer. It
	// notifies of nothing, because it gives the node no new information. Only an
	// answer on the wire notifies of Ready.
	Drain = "drain"
	// Cold (4): in every window of length Fall within a peer's warm-up, the work that
	// the peer receives is at most Overload times its mean capacity in that window,
	// plus one mean request of the most expensive class as a margin for chance. An
	// excess is a violation only if at least two thirds of the work came from nodes
	// that had been notified of the start.
	Cold = "cold"
	// Bad ("Bad clients"): malformed input is not served. It causes no 2xx answer and
	// no attempt, and within the time limit of the event the client gets an error (4xx
	// or 5xx) or a close.
	Bad = "bad"
	// Suspended ("Maintenance of servers"): from the SUCCESS to SUSPEND until RESTORE
	// or the end of the node, the node begins no request to the peer, including health
	// checks, whatever state discovery lists. There is no grace period.
	Suspended = "suspended"
	// Unused ("Maintenance of servers"): a peer that received an attempt in the second
	// before its suspension receives an attempt of any node within 5 s of RESTORE,
	// provided that it runs, is listed as ready, and enough requests arrive.
	Unused = "unused"
	// Paused ("Draining a node"): from the SUCCESS to PAUSE until RESUME, a node
	// answers no readiness check that arrives after PAUSE with status 200, and from
	// 4 s after PAUSE it keeps no idle client connection.
	Paused = "paused"
	// Crash is reported by the code that runs the nodes: a node exited or panicked.
	Crash = "crash"
	// Rest is reported by the code that runs the nodes: resources are left after the
	// run has ended.
	Rest = "rest"
)

// Names returns the short names of all rules.
func Names() []string {
	return []string{
		Lost, Late, Twice, Wrong, Effect, Hidden, Drain, Cold, Bad, Suspended, Unused, Paused, Crash, Rest,
	}
}
