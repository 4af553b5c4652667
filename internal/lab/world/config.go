// Package world is the configuration of a modelled environment of nodes: peers,
// discovery, clients, the front that distributes client connections over the
// nodes, zones and the network between them. The subpackages implement the model.
// They use no clock other than a loop.Loop and no network other than a
// link.Fabric, and communicate with nodes over that network only.
package world

import "olivebridge/internal/lab/figure"

// Config describes one world with all random values already drawn. It is the file
// form of the configurations used by the subpackages.
type Config struct {
	Zones     []string          `toml:"zones"`
	Net       Net               `toml:"net"`
	Contract  Contract          `toml:"contract"`
	Discovery Discovery         `toml:"discovery"`
	Front     Front             `toml:"front"`
	Classes   []Class           `toml:"class"`
	Tenants   []Tenant          `toml:"tenant"`
	Nodes     []Node            `toml:"node"`
	Peers     []Peer            `toml:"peer"`
	Clients   []Clients         `toml:"clients"`
	Malformed []MalformedClient `toml:"rogue,omitempty"`
}

// Net describes the network between machines. Delays are one-way and without load.
type Net struct {
	Same   figure.Span `toml:"same"`             // within a zone
	Cross  figure.Span `toml:"cross"`            // between zones
	Client figure.Span `toml:"client"`           // between a client and any node
	Jitter float64     `toml:"jitter"`           // maximum random increase of a delay, as a share of it
	Rate   float64     `toml:"rate,omitempty"`   // bytes per second and connection; 0: unlimited
	Pieces float64     `toml:"pieces,omitempty"` // share of writes that are split at random positions
	// Window is the maximum number of bytes of one direction that may be in flight or unread; 0: 256 KiB.
	Window int `toml:"window,omitempty"`
	// SendBuffer is the number of bytes that the kernel of a client holds beyond the window. To the client, they are
	// sent; 0: it holds none.
	SendBuffer int `toml:"send_buffer,omitempty"`
}

// Contract holds the platform rules that are written into the settings of nodes.
type Contract struct {
	DrainGrace     figure.Span `toml:"drain_grace"`
	ColdShare      float64     `toml:"cold_share"` // share of its full capacity that a peer has when it has just started
	Cold           figure.Span `toml:"cold"`       // maximum time until a started peer is warm
	Overload       float64     `toml:"overload"`   // multiple of its capacity at which a cold peer crashes
	OverloadWindow figure.Span `toml:"fall"`       // time over which Overload is measured
	AskEvery       figure.Span `toml:"ask_every"`  // interval at which nodes poll discovery
	TryLimit       int         `toml:"try_limit"`  // maximum number of a node's attempts per call; 0: unlimited
	Probes         bool        `toml:"probes"`     // nodes may send health checks
	SecondCopies   bool        `toml:"second_copies"`
	RetryAfter     bool        `toml:"retry_after"`
	MaxRetryAfter  figure.Span `toml:"max_retry_after"`
	ConnectTimeout figure.Span `toml:"connect_timeout"`
	IdleClose      figure.Span `toml:"idle_close"` // idle time after which peers close a connection
	CrossPrice     float64     `toml:"cross_price"`
	ProbePrice     float64     `toml:"probe_price"`
	OverShareWorth float64     `toml:"over_share_worth"`
	DroppedStay    bool        `toml:"dropped_stay,omitempty"`
}

// Class is a class of requests.
type Class struct {
	Name         string      `toml:"name"`
	Safe         bool        `toml:"safe"`                // GET, may be repeated; otherwise POST, must not run twice
	Work         figure.Span `toml:"work"`                // mean work, in time on a core of speed 1
	Spread       float64     `toml:"spread"`              // coefficient of variation of the work
	Objective    figure.Span `toml:"aim"`                 // latency objective: a response within it earns the full weight
	Deadline     figure.Span `toml:"deadline"`            // time for which the client waits
	Weight       float64     `toml:"worth"`               // priority weight
	Body         int         `toml:"body,omitempty"`      // mean size of a POST body, in bytes
	ResponseBody int         `toml:"answer,omitempty"`    // mean size of a response body, in bytes
	LongShare    float64     `toml:"long,omitempty"`      // share of POST requests with a long body
	LongBody     int         `toml:"long_body,omitempty"` // mean size of a long POST body, in bytes
	LongFor      figure.Span `toml:"long_for,omitempty"`  // longest time for which a client writes a long body

	PartedShare float64     `toml:"parted,omitempty"`      // share of 200 responses that are long and sent in parts
	PartedBody  int         `toml:"parted_body,omitempty"` // mean size of the body of such a response, in bytes
	PartPause   figure.Span `toml:"part_pause,omitempty"`  // longest pause between two of its parts
}

// Tenant is a customer of the platform.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota"` // requests per second over all nodes; 0: no quota
}

// Node is one instance of the program under test.
type Node struct {
	Name     string `toml:"name"` // name of the node and of its host on the network
	Zone     string `toml:"zone"`
	MemoryMB int    `toml:"memory_mb"`
	Sockets  int    `toml:"sockets"`
	Stale    bool   `toml:"stale,omitempty"` // the node starts with an old server list, see package stage
}

// Peer is one upstream server. Its host on the network is the host of its address.
type Peer struct {
	Name         string      `toml:"name"`           // id at discovery
	Host         string      `toml:"host,omitempty"` // machine; empty: Name. A peer may replace another on its host
	Zone         string      `toml:"zone"`
	Kind         string      `toml:"kind"`
	Weight       float64     `toml:"weight"` // weight in the server list
	Cell         int         `toml:"cell"`
	Cores        int         `toml:"cores"`
	Speed        float64     `toml:"speed"`          // work done per second by one core
	Slots        int         `toml:"slots"`          // maximum number of running requests, over all cores
	Queue        int         `toml:"queue"`          // maximum number of queued requests; further ones are rejected
	Late         bool        `toml:"late,omitempty"` // not started at the beginning of the run; a fault starts it
	CacheGain    float64     `toml:"cache_gain"`     // work saved for a cached key: 0.27 is 27% less work
	CacheFor     figure.Span `toml:"cache_for"`      // time for which a key stays cached
	CacheKeys    int         `toml:"cache_keys"`     // maximum number of cached keys
	PauseEach    figure.Span `toml:"pause_each"`     // mean time between pauses; 0: no pauses
	Pause        figure.Span `toml:"pause"`          // mean length of a pause
	Errors       float64     `toml:"errors"`         // share of requests that fail, mostly with a 500
	ColdShare    float64     `toml:"cold_share"`     // share of its full capacity when it has just started
	ColdFor      figure.Span `toml:"cold_for"`       // maximum time until the peer is warm
	ColdBy       int         `toml:"cold_by"`        // number of requests after which the peer is warm; 0: by time only
	CrashFactor  float64     `toml:"fall_at"`        // multiple of its capacity that crashes the cold peer; 0: never
	CrashWindow  figure.Span `toml:"fall_in"`        // time over which the received load is compared with that
	CongestionAt float64     `toml:"crowd_at"`       // requests per core above which the peer gets slower; 0: never
	MaxSlowdown  float64     `toml:"crowded"`        // maximum factor of that slowdown, reached at twice CongestionAt
	Conns        int         `toml:"conns"`          // maximum number of connections; further ones are reset
	Handshake    figure.Span `toml:"handshake"`
	IdleClose    figure.Span `toml:"idle_close"`
	DropsQueued  bool        `toml:"stops_work"` // drops queued requests whose connection closed or deadline passed
}

// Discovery is the service that lists the peers.
type Discovery struct {
	Addr     string      `toml:"addr"`
	Spare    string      `toml:"spare"`    // address to which the service can move
	Add      figure.Span `toml:"add"`      // maximum time until a peer's start is listed
	Notice   figure.Span `toml:"notice"`   // maximum time until a drain or a stop is listed
	Silent   figure.Span `toml:"silent"`   // maximum time until a silent machine is removed from the list
	Each     figure.Span `toml:"each"`     // time to serve one call; calls are served one at a time
	Patience figure.Span `toml:"patience"` // maximum time in the queue, after which a call fails; 0: unlimited
}

// Front describes the load balancer that distributes clients over the nodes of their zone.
type Front struct {
	Check  figure.Span `toml:"check"`  // interval between readiness checks of a node that is not admitted
	Notice figure.Span `toml:"notice"` // maximum time until a node's death is noticed
}

// Clients describes a group of identical clients.
type Clients struct {
	Name      string             `toml:"name"`
	Zone      string             `toml:"zone"`
	Tenant    string             `toml:"tenant"`
	Rate      float64            `toml:"rate"`          // first attempts per second
	Mix       map[string]float64 `toml:"mix"`           // share of requests by class
	Swing     float64            `toml:"swing"`         // relative amplitude of the rate's periodic variation; 0: constant
	Period    figure.Span        `toml:"period"`        // period of that variation
	Keys      int                `toml:"keys"`          // number of distinct keys; 0: no keys
	Zipf      float64            `toml:"zipf"`          // exponent of the Zipf distribution of key popularity
	Retries   int                `toml:"retries"`       // maximum number of client retries, only where harmless
	Backoff   figure.Span        `toml:"backoff"`       // mean delay before a retry
	Honour    float64            `toml:"honour"`        // share of retries that respect Retry-After
	Patience  float64            `toml:"patience"`      // share of the deadline for which a client waits; 0: all of it
	Leave     float64            `toml:"leave"`         // share of clients that leave before their deadline
	Linger    float64            `toml:"linger"`        // share of clients that wait beyond the stated deadline
	Fresh     float64            `toml:"fresh"`         // share of requests on a new connection, closed after the request
	Keep      float64            `toml:"keep"`          // share of connections that stay open unused after one request
	Pipelined float64            `toml:"pipelined"`     // share of requests on a connection with one in flight
	Conns     int                `toml:"conns"`         // maximum number of connections to one node; 0: unlimited
	Unusual   float64            `toml:"odd,omitempty"` // share of requests in valid but rare forms of HTTP/1.1
}

// MalformedClient describes a client that sends input which must not be served. The
// kinds are listed in package client.
type MalformedClient struct {
	Name string      `toml:"name"`
	Zone string      `toml:"zone"`
	Kind string      `toml:"kind"`
	Rate float64     `toml:"rate"` // attacks per second
	From figure.Span `toml:"from"`
	For  figure.Span `toml:"for"`
}
