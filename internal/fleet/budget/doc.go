// Package budget divides fleet-wide quotas among the nodes, so that the amounts in use on all nodes never add up to
// more than the quota.
//
// The voters elect a leader by raft. The leader lends each holder, which is the process of a node, a grant of every
// quota for the duration of a lease. A part of each quota is a reserve, which is never lent: it is divided into equal
// seats, one per node, so that a node which reaches no leader can still admit some units. Quotas of the kind Count are
// not leased: a ledger that the voters replicate grants their units permanently. See docs/BUDGET-DESIGN.md.
//
// Holder, Leader, Divide, Bucket, stock and countLedger are the decision logic and use no I/O, clocks or goroutines:
// times are passed in as durations since an origin chosen by the caller, from a clock that never runs backwards.
// Service connects them to the network: leaderClient sends the requests, the Serve methods answer them, and
// replicatedLedger replicates the ledger by raft.
package budget
