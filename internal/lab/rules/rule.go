package rules

// The short names of the rules, each with what it demands and its source in the
// operators' pages: the wire's four rules ("1" to "4"), and what the protocol
// says of them on sockets. Config.Slack is added to every time limit. Where a
// page leaves a choice, the judge holds a node only to what it can be held to
// with certainty, and the choice is noted here.
const (
	// Lost (1; "The rules on sockets", "Figures"): an accepted request gets a
	// complete answer. A request is accepted when its last byte was sent on a
	// connection that is open at the node's machine. It is lost if the node ends
	// the connection itself after it has read the complete request, or if it has
	// no outcome at the end of a run.
	//
	// Nothing is owed to a client that left first, by a node that was killed,
	// where the network lost bytes or broke the connection, behind an answer that
	// announced the end of the connection, or if the node ended the connection
	// before it had read the complete request: its client sends it again. Neither
	// is it on a connection that also carries malformed input: nodes close on
	// that, whatever else waits there. An answer that breaks off because its
	// peer's did has failed and is not lost. A kill in a graceful shutdown (no
	// sooner after SIGTERM than the longest deadline and 0.7 s) excuses only
	// requests that arrived within 0.7 s of SIGTERM.
	Lost = "lost"
	// Late (1): the last byte of that answer leaves within the request's budget,
	// counted from the sending of the request's last byte. Half of the slack is
	// for the way to the node; what the way takes beyond that is the network's,
	// and is added. The way back is not counted. A request behind another one on
	// its connection counts from the answer to that one. As nothing is owed to a
	// client that has left, only one that stays for the slack as well can show it.
	Late = "late"
	// Twice (1): there is one answer to a request, and nothing behind it.
	Twice = "twice answered"
	// Wrong (1; "serves it with something no server made for it"): a 200 has,
	// byte for byte, the body of a 200 that a peer sent for an attempt of that
	// very call and that had reached the node. Only what answers the attempt
	// counts: what a peer sent before the attempt had reached it belongs to
	// another. An answer that cannot be parsed is a wrong one.
	Wrong = "wrong answer"
	// Effect (2): a retry of a call that is not idempotent, or its rejection (429,
	// 503, whoever worded it), needs the proof that no earlier attempt has run or
	// may run. An attempt counts once its last byte was written. Proof is a
	// complete 503 or 504 with X-Rejected: 1 that has reached the node. There are
	// at most TryLimit attempts of any call, and where SecondCopies is false
	// never two at a time: an earlier one must have been answered, or its
	// connection be over, within a millisecond, for what a node does at one
	// instant has no order.
	Effect = "effect"
	// Hidden ("Nodes to servers"): what is sent to a peer is a request that a
	// client sent to this node, accepted before, with its method, target and
	// body; or a health check, where those are allowed. No attempt is begun after
	// the call's answer or after the node has seen the client go: it closed the
	// connection, the reset arrived, or, by the slack later, the end of the
	// client's sending arrived.
	Hidden = "hidden"
	// Drain (3): the first byte of an attempt leaves within DrainGrace of the node
	// being notified that its peer is Terminating or Gone, and not Ready since.
	//
	// A node counts as notified by a complete answer of the discovery that it
	// follows; by a poll that reached discovery and got no answer that says
	// otherwise, of what was listed when it arrived, 2 s after its wait ends, or
	// 6 s after it arrived if it may not wait; by AskEvery (four times that after
	// a failed poll) without a poll, of what was listed that long ago; 4 s after
	// SIGHUP with another discovery, of what is listed then. A poll that ends in
	// an error or in what cannot be parsed, or breaks before discovery had sent a
	// complete answer, has failed and notifies of nothing: its node cannot know
	// more than before. Whatever else holds, and before all of it: 6 s after
	// discovery had a change and the node's polls to it were served. They are
	// served unless discovery is down, has moved to its other address, or breaks,
	// refuses, stalls or garbles any share of polls, or a partition lies between;
	// such a time begins the 6 s anew, as the first poll and SIGHUP with another
	// discovery do. Only an answer on the wire notifies of Ready.
	Drain = "drain"
	// Cold (4): over every window of Fall within a peer's warm-up, the work that
	// reaches it is at most Overload times its mean capacity then, and one mean
	// request of the most expensive class for chance. It is a violation only when
	// two thirds of that work came from nodes that had been notified of the start.
	Cold = "cold"
	// Bad ("Bad clients"): malformed input is not served: no 2xx, no attempt, and
	// within the time stated with it an error (4xx, 5xx) or a close.
	Bad = "bad"
	// Suspended ("Maintenance of servers"): from the yes to SUSPEND until RESTORE,
	// or the node's end, the first byte of nothing leaves for that peer, health
	// checks included, whatever discovery says; there is no grace.
	Suspended = "suspended"
	// Unused ("Maintenance of servers"): a peer that a node used in the second
	// before its suspension gets an attempt of some node within 5 s of RESTORE,
	// where it runs, is listed as ready, and calls arrive.
	Unused = "unused"
	// Paused ("Draining a node"): from the yes to PAUSE until RESUME, a readiness
	// check that came after it is not told that the node is ready; 4 s after it no
	// client connection is held idle.
	Paused = "paused"
	// Crash is reported by whoever runs the nodes: a node ended or panicked.
	Crash = "crash"
	// Rest is reported by whoever runs the nodes: something is left over after
	// the run has ended.
	Rest = "rest"
)

// Names returns the short names of all rules.
func Names() []string {
	return []string{
		Lost, Late, Twice, Wrong, Effect, Hidden, Drain, Cold, Bad, Suspended, Unused, Paused, Crash, Rest,
	}
}
