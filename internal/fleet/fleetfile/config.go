// Package fleetfile reads the file that configures a node's part in its fleet. A file is valid as a whole or rejected;
// what is wrong is reported by file, line and key.
package fleetfile

import "time"

// File is the configuration of a node's part in its fleet. The names of the types and fields of its tables show in the
// TOML decoder's error texts, which operators know: they stay.
type File struct {
	// Member is the node's membership.
	Member Member `toml:"member"`
	// Book is the terms of budgets; without budgets it is not checked.
	Book Book `toml:"book"`
	// Budgets are quotas of the whole fleet.
	Budgets []Budget `toml:"budget"`
	// Choices are the subsets of large upstream groups; zero: every node works with every server.
	Choices Choices `toml:"choices"`
	// Work is which requests survive the loss of a node; zero: none.
	Work Work `toml:"work"`
	// Operators is who keeps operators' work over the whole fleet; zero: each node's admin listener is for itself.
	Operators Operators `toml:"operators"`
}

// Member is the node's membership.
type Member struct {
	// Fleet is the fleet's name. Messages of other fleets are dropped.
	Fleet string `toml:"fleet"`
	// Listen is the node's own address, for UDP and TCP.
	Listen string `toml:"listen"`
	// Advertise is where others reach the node; "": at Listen.
	Advertise string `toml:"advertise"`
	// Join has the addresses of other nodes. The node's own is skipped.
	Join []string `toml:"join"`
	// Zone is where the node runs; it may be empty.
	Zone string `toml:"zone"`
	// Directory is an absolute path for what must last over restarts. No other node has it.
	Directory string `toml:"directory"`
	// Record is a file that is given what the process believes and does; "": none.
	Record string `toml:"record"`
}

// Book is the terms of budgets. All nodes of a fleet have the same.
type Book struct {
	// Voters are the names of the nodes that keep the ledger: one, three or five.
	Voters []string `toml:"keepers"`
	// Edition is the edition of Voters, greater by one with each change of them; missing: 1.
	Edition int `toml:"edition"`
	// Lease is for how long a grant may be used, as text.
	Lease string `toml:"lease"`
	// Reserve is the part of every quota that is never lent, from 0 to 0.5.
	Reserve float64 `toml:"reserve"`
	// Seats is into how many parts the reserve is divided: the most nodes that there will be.
	Seats int `toml:"seats"`

	// LeaseTime is Lease.
	LeaseTime time.Duration `toml:"-"`
}

// Budget is a quota that all nodes together may use.
type Budget struct {
	// Name is the budget's name, which no other has.
	Name string `toml:"name"`
	// Tenant is whose requests it limits; "" with Use.
	Tenant string `toml:"tenant"`
	// Use is what it limits of all tenants: Retries or ColdPeers; "": it limits one tenant's requests.
	Use string `toml:"use"`
	// Kind is what it counts: "rate", "in-use" or "count"; "": "rate".
	Kind string `toml:"kind"`
	// Rate is, of a rate, requests a second.
	Rate float64 `toml:"rate"`
	// Burst is, of a rate, requests beyond that, one more than there are seats at least.
	Burst float64 `toml:"burst"`
	// Most is, of in-use, requests at one time.
	Most int `toml:"most"`
	// Count is, of a count, requests in a period.
	Count int `toml:"count"`
	// Period is, of a count, the length of a period, as text. Periods begin at 00:00 UTC of 1970.
	Period string `toml:"period"`

	// PeriodTime is Period.
	PeriodTime time.Duration `toml:"-"`
}

// The values of Budget.Use.
const (
	Retries   = "retries"    // attempts that are not their request's first
	ColdPeers = "cold-peers" // attempts to each server that has just started
)

// The values of Budget.Kind.
const (
	kindRate  = "rate"
	kindInUse = "in-use"
	kindCount = "count"
)

// Choices says with how many servers of a large upstream group a node works. All nodes of a fleet have the same.
type Choices struct {
	// Copies is how many nodes work with each server; 0: all.
	Copies int `toml:"copies"`
	// Least is the least number of servers that a node works with; missing: 64.
	Least int `toml:"least"`
	// Witnesses is how many other nodes have to report a server for it to be avoided for a while; 0: nodes tell each
	// other nothing of servers.
	Witnesses int `toml:"witnesses"`
}

// Work says which requests survive the loss of a node. All nodes of a fleet have the same.
type Work struct {
	// Classes are the names of the classes of requests; none: no request does.
	Classes []string `toml:"classes"`
	// Voters are the names of the nodes that keep the log: one, three or five.
	Voters []string `toml:"keepers"`
	// Edition is the edition of Voters, greater by one with each change of them; missing: 1.
	Edition int `toml:"edition"`
	// Window is for how long a request is kept after its last change, as text; "": an hour.
	Window string `toml:"window"`
	// Most is how many requests are kept at one time; 0: 100,000.
	Most int `toml:"most"`
	// Tries is how many nodes may forward a request, where none of the earlier has; 0: 3.
	Tries int `toml:"tries"`

	// WindowTime is Window.
	WindowTime time.Duration `toml:"-"`
}

// Operators says who keeps operators' work over the whole fleet. All nodes of a fleet have the same.
type Operators struct {
	// Voters are the names of the nodes that keep the log: one, three or five; none: each node's admin listener is for
	// itself.
	Voters []string `toml:"keepers"`
	// Edition is the edition of Voters, greater by one with each change of them; missing: 1.
	Edition int `toml:"edition"`
}
