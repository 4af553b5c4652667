// Package fleetfile reads the file that configures the part of a node in its fleet. It accepts a file as a whole or
// rejects it with an error that names the file, the line and the key.
package fleetfile

import "time"

// File is the configuration of the part of a node in its fleet. The names of the types and fields of its tables appear
// in error texts of the TOML decoder, which operators know. They must not change.
type File struct {
	// Member configures the node's membership.
	Member Member `toml:"member"`
	// Book has the terms of budgets. It is not checked if there are no budgets.
	Book Book `toml:"book"`
	// Budgets are the quotas of the whole fleet.
	Budgets []Budget `toml:"budget"`
	// Choices configures the subsets of large upstream groups; zero: every node works with every server.
	Choices Choices `toml:"choices"`
	// Work selects the requests that survive the loss of a node; zero: none.
	Work Work `toml:"work"`
	// Operators configures commands of operators to the whole fleet; zero: the admin listener of each node controls that
	// node only.
	Operators Operators `toml:"operators"`
}

// Member configures the node's membership.
type Member struct {
	// Fleet is the fleet's name. Messages of other fleets are dropped.
	Fleet string `toml:"fleet"`
	// Listen is the node's local address, for UDP and TCP.
	Listen string `toml:"listen"`
	// Advertise is the address at which other nodes reach the node; "": Listen.
	Advertise string `toml:"advertise"`
	// Join has the addresses of other nodes. The node's own address is skipped.
	Join []string `toml:"join"`
	// Zone is the zone in which the node runs; it may be empty.
	Zone string `toml:"zone"`
	// Directory is an absolute path for data that is kept over restarts. No other node may use it.
	Directory string `toml:"directory"`
	// Record is the path of a file to which the node's views and events are written; "": none.
	Record string `toml:"record"`
}

// Book has the terms of budgets. It is the same on all nodes of a fleet.
type Book struct {
	// Voters are the names of the nodes that replicate the ledger of the budgets: one, three or five.
	Voters []string `toml:"keepers"`
	// Edition is the version of Voters. It has to grow with each change of Voters; missing: 1.
	Edition int `toml:"edition"`
	// Lease is the duration for which a grant may be used, as text.
	Lease string `toml:"lease"`
	// Reserve is the fraction of each quota that is never granted as a lease, from 0 to 0.5.
	Reserve float64 `toml:"reserve"`
	// Seats is the number of parts into which the reserve is divided, which is the maximum number of nodes.
	Seats int `toml:"seats"`

	// LeaseTime is the parsed Lease.
	LeaseTime time.Duration `toml:"-"`
}

// Budget is a quota that all nodes of the fleet share.
type Budget struct {
	// Name is the name of the budget, unique in the file.
	Name string `toml:"name"`
	// Tenant is the tenant whose requests the budget limits; "" if Use is set.
	Tenant string `toml:"tenant"`
	// Use selects attempts of all tenants that the budget limits: Retries or ColdPeers; "": the budget limits the requests
	// of one tenant.
	Use string `toml:"use"`
	// Kind is the kind of limit: "rate", "in-use" or "count"; "": "rate".
	Kind string `toml:"kind"`
	// Rate is the number of requests a second, for the kind rate.
	Rate float64 `toml:"rate"`
	// Burst is the number of requests allowed beyond Rate, for the kind rate. It is at least the number of seats plus one.
	Burst float64 `toml:"burst"`
	// Most is the maximum number of requests at one time, for the kind in-use.
	Most int `toml:"most"`
	// Count is the number of requests in a period, for the kind count.
	Count int `toml:"count"`
	// Period is the length of a period as text, for the kind count. Periods begin at 00:00 UTC of 1970.
	Period string `toml:"period"`

	// PeriodTime is the parsed Period.
	PeriodTime time.Duration `toml:"-"`
}

// The values of Budget.Use.
const (
	Retries   = "retries"    // all attempts of a request except the first
	ColdPeers = "cold-peers" // attempts to servers that have just started, limited per server
)

// The values of Budget.Kind.
const (
	kindRate  = "rate"
	kindInUse = "in-use"
	kindCount = "count"
)

// Choices configures the subset of a large upstream group's servers with which a node works. It is the same on all
// nodes of a fleet.
type Choices struct {
	// Copies is the number of nodes that work with each server; 0: all nodes.
	Copies int `toml:"copies"`
	// Least is the minimum number of servers with which a node works; missing: 64.
	Least int `toml:"least"`
	// Witnesses is the number of other nodes that have to report a server before this node avoids it for some time; 0:
	// nodes do not exchange reports about servers.
	Witnesses int `toml:"witnesses"`
}

// Work selects the requests that survive the loss of a node. It is the same on all nodes of a fleet.
type Work struct {
	// Classes are the names of the classes whose requests survive; none: no request does.
	Classes []string `toml:"classes"`
	// Voters are the names of the nodes that replicate the log of requests: one, three or five.
	Voters []string `toml:"keepers"`
	// Edition is the version of Voters. It has to grow with each change of Voters; missing: 1.
	Edition int `toml:"edition"`
	// Window is the duration for which a request is stored after its last change, as text; "": an hour.
	Window string `toml:"window"`
	// Most is the maximum number of requests stored at one time; 0: 100,000.
	Most int `toml:"most"`
	// Tries is the maximum number of nodes that may forward a request, each only if no earlier one has forwarded it; 0: 3.
	Tries int `toml:"tries"`

	// WindowTime is the parsed Window.
	WindowTime time.Duration `toml:"-"`
}

// Operators configures commands of operators to the whole fleet. It is the same on all nodes of a fleet.
type Operators struct {
	// Voters are the names of the nodes that replicate the log of commands: one, three or five; none: the admin listener
	// of each node controls that node only.
	Voters []string `toml:"keepers"`
	// Edition is the version of Voters. It has to grow with each change of Voters; missing: 1.
	Edition int `toml:"edition"`
}
