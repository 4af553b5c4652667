// Package budget divides quotas of a whole fleet among its nodes, so that what the nodes use at any time never adds up
// to more than the quota.
//
// A voter that the others elected is the leader: it lends each holder, which is a node's process, a grant of every
// quota for the time of a lease. A part of each quota is a reserve that is never lent but divided into seats, one a
// node, so that a node without a leader still has some. Counts over a period are given out for good by a ledger that
// the voters agree on. See docs/BUDGET-DESIGN.md.
//
// Holder, Leader, Divide, Bucket and the counts decide, and use no I/O, clock or goroutines: times are since an origin
// of the caller's, by a clock that never runs backwards. Service carries them out: leaderClient sends requests, Serve
// methods answer them, and replicatedLedger agrees on the ledger over raft.
package budget
