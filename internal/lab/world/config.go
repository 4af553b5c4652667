// Package world is a model of what a node serves and hangs on: peers,
// discovery, clients, the front that spreads them over the nodes, sites and the
// way between them. It knows no clock but a loop.Loop and no network but a
// link.Fabric; the nodes are met over the network alone.
package world

import "olivebridge/internal/lab/figure"

// Config is one world, every figure drawn. Its parts live in the packages that
// play them; this is their common file form.
type Config struct {
	Zones     []string  `toml:"zones"`
	Net       Net       `toml:"net"`
	Contract  Contract  `toml:"contract"`
	Discovery Discovery `toml:"discovery"`
	Front     Front     `toml:"front"`
	Classes   []Class   `toml:"class"`
	Tenants   []Tenant  `toml:"tenant"`
	Nodes     []Node    `toml:"node"`
	Peers     []Peer    `toml:"peer"`
	Clients   []Clients `toml:"clients"`
	Rogues    []Rogue   `toml:"rogue,omitempty"`
}

// Net is the way between machines: one way, without load.
type Net struct {
	Same   figure.Span `toml:"same"`             // within a zone
	Cross  figure.Span `toml:"cross"`            // between zones
	Client figure.Span `toml:"client"`           // between a client and any node
	Jitter float64     `toml:"jitter"`           // share by which a delay varies at most, upwards
	Rate   float64     `toml:"rate,omitempty"`   // bytes a second of one connection; 0: no bound
	Pieces float64     `toml:"pieces,omitempty"` // share of writes that arrive cut into pieces, at any place
}

// Contract is what the nodes are told of the rules, as the platform's settings have it.
type Contract struct {
	DrainGrace     figure.Span `toml:"drain_grace"`
	ColdShare      float64     `toml:"cold_share"`
	Cold           figure.Span `toml:"cold"`
	Overload       float64     `toml:"overload"`
	Fall           figure.Span `toml:"fall"`
	AskEvery       figure.Span `toml:"ask_every"`
	TryLimit       int         `toml:"try_limit"`
	Probes         bool        `toml:"probes"`
	SecondCopies   bool        `toml:"second_copies"`
	RetryAfter     bool        `toml:"retry_after"`
	MaxRetryAfter  figure.Span `toml:"max_retry_after"`
	ConnectTimeout figure.Span `toml:"connect_timeout"`
	IdleClose      figure.Span `toml:"idle_close"` // peers close a connection idle for this long
	CrossPrice     float64     `toml:"cross_price"`
	ProbePrice     float64     `toml:"probe_price"`
	OverShareWorth float64     `toml:"over_share_worth"`
	DroppedStay    bool        `toml:"dropped_stay,omitempty"`
}

// Class is one kind of request.
type Class struct {
	Name     string      `toml:"name"`
	Safe     bool        `toml:"safe"`     // GET, and repeats are harmless; else POST, and it must not run twice
	Work     figure.Span `toml:"work"`     // mean, on a core of speed 1
	Spread   float64     `toml:"spread"`   // coefficient of variation of it
	Aim      figure.Span `toml:"aim"`      // full worth is earned within this time
	Deadline figure.Span `toml:"deadline"` // the client's patience
	Worth    float64     `toml:"worth"`
	Body     int         `toml:"body,omitempty"`   // mean bytes of a POST's body
	Answer   int         `toml:"answer,omitempty"` // mean bytes of an answer's body
}

// Tenant is one customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota"` // requests a second over all nodes; 0: it has none
}

// Node is one instance of the program under test.
type Node struct {
	Name     string `toml:"name"` // also its host on the network
	Zone     string `toml:"zone"`
	MemoryMB int    `toml:"memory_mb"`
	Sockets  int    `toml:"sockets"`
	Stale    bool   `toml:"stale,omitempty"` // it starts with an old list: see stage
}

// Peer is one server. Its host on the network is its address's.
type Peer struct {
	Name      string      `toml:"name"`           // its id at discovery
	Host      string      `toml:"host,omitempty"` // machine; empty: its name. One that replaces another may have its host
	Zone      string      `toml:"zone"`
	Kind      string      `toml:"kind"`
	Weight    float64     `toml:"weight"` // as listed
	Cell      int         `toml:"cell"`
	Cores     int         `toml:"cores"`
	Speed     float64     `toml:"speed"` // of a core: work done a second
	Slots     int         `toml:"slots"` // requests in work at a time, all cores together
	Queue     int         `toml:"queue"` // waiting room; beyond it requests are turned away
	Late      bool        `toml:"late,omitempty"`
	CacheGain float64     `toml:"cache_gain"` // less work for a key met lately: 0.27 is 27% less
	CacheFor  figure.Span `toml:"cache_for"`  // how long a key is remembered
	CacheKeys int         `toml:"cache_keys"` // how many
	PauseEach figure.Span `toml:"pause_each"` // mean time between pauses; 0: none
	Pause     figure.Span `toml:"pause"`      // their mean length
	Errors    float64     `toml:"errors"`     // share of requests that end in a 500
	ColdShare float64     `toml:"cold_share"` // of its capacity when it has just started
	ColdFor   figure.Span `toml:"cold_for"`   // until it is warm, if by time; and at the latest
	ColdBy    int         `toml:"cold_by"`    // requests until it is warm; 0: by time alone
	FallAt    float64     `toml:"fall_at"`    // sent this multiple of its cold capacity for FallIn, it falls over; 0: never
	FallIn    figure.Span `toml:"fall_in"`
	CrowdAt   float64     `toml:"crowd_at"` // requests held per core from which it gets slower; 0: never
	Crowded   float64     `toml:"crowded"`  // how many times slower it is at twice that many, and at most
	Conns     int         `toml:"conns"`    // connections it holds; further ones are reset
	Handshake figure.Span `toml:"handshake"`
	IdleClose figure.Span `toml:"idle_close"`
	StopsWork bool        `toml:"stops_work"` // a request whose connection closed is dropped from the queue
}

// Discovery is the one service that lists the peers.
type Discovery struct {
	Addr     string      `toml:"addr"`
	Spare    string      `toml:"spare"`    // where it moves to
	Add      figure.Span `toml:"add"`      // until a peer's start shows, at most
	Notice   figure.Span `toml:"notice"`   // until a drain or an end shows, at most
	Silent   figure.Span `toml:"silent"`   // until a machine that went silent is taken off, at most
	Each     figure.Span `toml:"each"`     // work for one call; calls are served in turn
	Patience figure.Span `toml:"patience"` // a call that waited longer for its turn fails
}

// Front spreads clients over the nodes of their zone.
type Front struct {
	Check  figure.Span `toml:"check"`  // how often it asks a node that is not admitted whether it is ready
	Notice figure.Span `toml:"notice"` // until a node's death is noticed
}

// Clients are a crowd of alike.
type Clients struct {
	Name      string             `toml:"name"`
	Zone      string             `toml:"zone"`
	Tenant    string             `toml:"tenant"`
	Rate      float64            `toml:"rate"`          // first tries a second
	Mix       map[string]float64 `toml:"mix"`           // share of each class
	Swing     float64            `toml:"swing"`         // share by which the rate waves; 0: steady
	Period    figure.Span        `toml:"period"`        // of a wave
	Keys      int                `toml:"keys"`          // distinct ones; 0: no keys
	Zipf      float64            `toml:"zipf"`          // exponent of their popularity
	Retries   int                `toml:"retries"`       // own, at most, where harmless
	Backoff   figure.Span        `toml:"backoff"`       // before a retry
	Honour    float64            `toml:"honour"`        // share of retries that wait as Retry-After says
	Patience  float64            `toml:"patience"`      // share of the class's deadline after which a try is given up
	Leave     float64            `toml:"leave"`         // share that leave before their time is up
	Linger    float64            `toml:"linger"`        // share that wait on after the time that they stated
	Fresh     float64            `toml:"fresh"`         // share of requests on a connection of their own, closed after it
	Keep      float64            `toml:"keep"`          // share of connections kept for good after one request
	Pipelined float64            `toml:"pipelined"`     // share of requests sent while another on the connection is open
	Conns     int                `toml:"conns"`         // connections at most to one node
	Odd       float64            `toml:"odd,omitempty"` // share of requests with extra headers and odd but lawful forms
}

// Rogue is a client that sends what cannot be served. Kinds are listed in
// package client.
type Rogue struct {
	Name string      `toml:"name"`
	Zone string      `toml:"zone"`
	Kind string      `toml:"kind"`
	Rate float64     `toml:"rate"` // a second
	From figure.Span `toml:"from"`
	For  figure.Span `toml:"for"`
}
