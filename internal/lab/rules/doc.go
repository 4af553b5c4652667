package rules

// The rules. Each stands with its source in the operators' pages: the wire's
// four rules ("1" to "4"), and what the protocol says of them on sockets. Every
// time limit is longer by Config.Slack. Where a page leaves a choice, the judge
// holds a node to what it can be held to with certainty, and the choice is
// noted here.
const (
	// Lost (1; "The rules on sockets", "Figures"): a request that was taken gets
	// a whole answer. Taken: its last byte was sent on a connection that is open
	// at the node's machine. It is lost if the node ends the connection itself
	// after it has read the request whole, or if nothing has become of it at the
	// end of a run.
	//
	// Nothing is owed to a client that left first, by a node that was killed,
	// where the network ate bytes or broke the connection, behind an answer that
	// announced the connection's end, or if the node ended the connection before
	// it had read the request whole: its client sends it again. Neither is it on
	// a connection that also carries what must not be served: nodes close on
	// that, whatever else waits there. An answer that breaks off because its
	// peer's did has failed and is not lost. A planned kill (no sooner after
	// SIGTERM than the longest deadline and 0.7 s) excuses only requests that
	// came within 0.7 s of SIGTERM.
	Lost = "lost"
	// Late (1): that answer's last byte leaves within the request's budget,
	// counted from the sending of its last byte. Half of the slack is for the way
	// to the node; what the way takes beyond that is the network's, and comes on
	// top. The way back is not counted. A request behind another one on its
	// connection counts from the answer to that one. As nothing is owed to a client
	// that has left, only one that stays for the slack as well can show it.
	Late = "late"
	// Twice (1): there is one answer to a request, and nothing behind it.
	Twice = "twice answered"
	// Wrong (1; "serves it with something no server made for it"): a 200 has,
	// byte for byte, the body of a 200 that a peer sent for a try of that very
	// call and that had come to the node. Only what answers the try counts: what
	// a peer sent before the try had reached it belongs to another. An answer
	// that cannot be read is a wrong one.
	Wrong = "wrong answer"
	// Effect (2): a further try of an unsafe call, or its refusal (429, 503,
	// whoever worded it), needs the proof that no earlier try has run or may run.
	// A try counts once its last byte was written. Proof is a whole 503 or 504
	// with X-Rejected: 1 that has come to the node. There are at most TryLimit
	// tries of any call, and where SecondCopies is false never two at a time: an
	// earlier one must have been answered, or its connection be over, within a
	// millisecond, for what a node does at one instant has no order.
	Effect = "effect"
	// Hidden ("Nodes to servers"): what is sent to a peer is a request that a
	// client sent to this node, taken before, with its method, target and body;
	// or a probe, where those are allowed. No try is begun after the call's
	// answer or after the node has seen the client go: it closed the
	// connection, the reset came, or, by the slack later, the end of the
	// client's sending came.
	Hidden = "hidden"
	// Drain (3): the first byte of a try leaves within DrainGrace of the node
	// being told that its peer is Terminating or Gone, and not Ready since.
	//
	// Told: by an answer of the discovery that the node follows, once it has come
	// whole; by a call that reached discovery and got no answer that says
	// otherwise, of what was listed as it came, 2 s after its wait ends, or 6 s
	// after it came if it may not wait; by AskEvery (four times that after a
	// failed call) without a call or a watch, of what was listed that long ago;
	// 4 s after SIGHUP with another discovery, of what is listed then. A call
	// that ends in an error or in what cannot be read, or breaks before discovery
	// had sent a whole answer, has failed and tells nothing: its node cannot know
	// more than before. Whatever else holds, and before all of it: 6 s after discovery had
	// a change and the node's calls to it were served. They are served unless
	// discovery is down, has gone to its other address, or breaks, refuses, stalls or
	// garbles any share of calls, or a partition lies between; such a time begins the
	// 6 s anew, as the first call and SIGHUP with another discovery do. Only an answer
	// on the wire tells of Ready.
	Drain = "drain"
	// Cold (4): over every window of Fall within a peer's cold time, the work
	// that reaches it is at most Overload times its mean capacity then, and one
	// mean request of the dearest class for chance. It is a break only when two
	// thirds of that work came from nodes that had been told of the start.
	Cold = "cold"
	// Bad ("Bad clients"): what must not be served is not: no 2xx, no try, and
	// within the time stated with it an error (4xx, 5xx) or a close.
	Bad = "bad"
	// Suspended ("Maintenance of servers"): from the yes to SUSPEND until the call
	// back, or the node's end, the first byte of nothing leaves for that peer,
	// probes included, whatever discovery says; there is no grace.
	Suspended = "suspended"
	// Unused ("Maintenance of servers"): a peer that a node used in the second
	// before its suspension gets a try of some node within 5 s of the call back, where it
	// runs, is listed as ready, and calls come.
	Unused = "unused"
	// Paused ("Draining a node"): from the yes to PAUSE until RESUME, a question
	// that came after it is not told that the node is ready; 4 s after it no
	// client connection is held idle.
	Paused = "paused"
	// Crash and Rest are judged by whoever plays the run: a node ends or panics;
	// something is left over once the world has come to rest.
	Crash = "crash"
	Rest  = "rest"
)

// Names are the rules' short names.
func Names() []string {
	return []string{Lost, Late, Twice, Wrong, Effect, Hidden, Drain, Cold, Bad, Suspended, Unused, Paused, Crash, Rest}
}
