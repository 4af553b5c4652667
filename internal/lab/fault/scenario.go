package fault

import (
	_ "embed"
	"fmt"
	"reflect"
)

// Scenario holds the ranges from which scripts are drawn. A field's tag "of" names the key in limits that applies to
// both ends of its range.
type Scenario struct {
	Length    Spans           `toml:"length" of:"length"`
	Zones     []string        `toml:"zones"`
	Scale     Scale           `toml:"scale"`
	Load      LoadRanges      `toml:"load"`
	Net       NetRanges       `toml:"net"`
	Parts     PartRanges      `toml:"parts,omitempty"`
	Contract  ContractRanges  `toml:"contract"`
	Discovery DiscoveryRanges `toml:"discovery"`
	Front     FrontRanges     `toml:"front"`
	Node      NodeRanges      `toml:"node"`
	Peer      PeerRanges      `toml:"peer"`
	PeerKinds []PeerKind      `toml:"peer_kind"`
	Classes   []ClassRanges   `toml:"class"`
	Tenants   []TenantRanges  `toml:"tenant"`
	Clients   ClientRanges    `toml:"clients"`
	Rogues    RogueRanges     `toml:"rogue"`
	Faults    FaultPlan       `toml:"faults"`
	Kinds     []KindRanges    `toml:"kind"`
	Combos    []Combo         `toml:"combo"`
}

// Scale holds the ranges of the numbers of entities.
type Scale struct {
	Peers   Counts  `toml:"peers" of:"scenario.one_or_more"`
	Nodes   Counts  `toml:"nodes" of:"scenario.one_or_more"`
	OneZone float64 `toml:"one_zone" of:"scenario.chance"` // share of runs with a single zone
	OneNode float64 `toml:"one_node" of:"scenario.chance"` // share of runs with a single node
	// Pushed is the share of runs that stress the peers in several ways at once: many nodes, overload, short queues.
	Pushed float64 `toml:"pushed" of:"scenario.chance"`
	Many   Counts  `toml:"many" of:"scenario.one_or_more"` // number of nodes in the runs of Pushed
}

// LoadRanges holds the ranges of the request rate.
type LoadRanges struct {
	Usual    Range   `toml:"usual" of:"scenario.load"` // share of the capacity of the peers
	Over     Range   `toml:"over" of:"scenario.load"`
	Overload float64 `toml:"overload" of:"scenario.chance"` // share of runs that draw from Over
	MostRate Range   `toml:"most_rate" of:"scenario.rate"`  // per second; a run that would exceed it has fewer peers
	ZoneSkew Range   `toml:"zone_skew" of:"scenario.spread"`
}

// NetRanges draws world.Net.
type NetRanges struct {
	Same    Spans   `toml:"same" of:"world.net.same"`
	Cross   Spans   `toml:"cross" of:"world.net.cross"`
	Client  Spans   `toml:"client" of:"world.net.client"`
	Jitter  Range   `toml:"jitter" of:"world.net.jitter"`
	Bounded float64 `toml:"bounded" of:"scenario.chance"` // share of runs with a limited transfer rate
	Rate    Range   `toml:"rate" of:"world.net.rate"`
	Pieces  Range   `toml:"pieces" of:"world.net.pieces"`
	// Buffered is the share of runs with drawn buffers and long bodies; 0, the value if it is missing: none.
	Buffered   float64 `toml:"buffered,omitempty" of:"scenario.chance"`
	Window     Counts  `toml:"window,omitempty" of:"world.net.window"`
	SendBuffer Counts  `toml:"send_buffer,omitempty" of:"world.net.send_buffer"`
	// Long is the share of POST requests with a long body in the runs of Buffered.
	Long     Range  `toml:"long,omitempty" of:"world.class.long"`
	LongBody Counts `toml:"long_body,omitempty" of:"world.class.long_body"`
	LongFor  Spans  `toml:"long_for,omitempty" of:"world.class.long_for"`
}

// PartRanges draws the long answers that servers send in parts.
type PartRanges struct {
	Runs  float64 `toml:"runs,omitempty" of:"scenario.chance"` // share of runs with such answers; 0: none
	Share Range   `toml:"share,omitempty" of:"world.class.parted"`
	Body  Counts  `toml:"body,omitempty" of:"world.class.parted_body"`
	Pause Spans   `toml:"pause,omitempty" of:"world.class.part_pause"`
}

// ContractRanges draws world.Contract. For a permission, it holds the share of runs in which it is granted.
type ContractRanges struct {
	DrainGrace     Spans   `toml:"drain_grace" of:"world.contract.drain_grace"`
	ColdShare      Range   `toml:"cold_share" of:"world.contract.cold_share"`
	Cold           Spans   `toml:"cold" of:"world.contract.cold"`
	Overload       Range   `toml:"overload" of:"world.contract.overload"`
	Fall           Spans   `toml:"fall" of:"world.contract.fall"`
	AskEvery       Spans   `toml:"ask_every" of:"world.contract.ask_every"`
	TryLimit       Counts  `toml:"try_limit" of:"world.contract.try_limit"`
	Probes         float64 `toml:"probes" of:"scenario.chance"`
	SecondCopies   float64 `toml:"second_copies" of:"scenario.chance"`
	RetryAfter     float64 `toml:"retry_after" of:"scenario.chance"`
	MaxRetryAfter  Spans   `toml:"max_retry_after" of:"world.contract.max_retry_after"`
	ConnectTimeout Spans   `toml:"connect_timeout" of:"world.contract.connect_timeout"`
	IdleClose      Spans   `toml:"idle_close" of:"world.contract.idle_close"`
	CrossPrice     Range   `toml:"cross_price" of:"world.contract.cross_price"`
	ProbePrice     Range   `toml:"probe_price" of:"world.contract.probe_price"`
	OverShareWorth Range   `toml:"over_share_worth" of:"world.contract.over_share_worth"`
	DroppedStay    float64 `toml:"dropped_stay" of:"scenario.chance"`
}

// DiscoveryRanges draws world.Discovery.
type DiscoveryRanges struct {
	Addr     string `toml:"addr"`
	Spare    string `toml:"spare"`
	Add      Spans  `toml:"add" of:"world.discovery.add"`
	Notice   Spans  `toml:"notice" of:"world.discovery.notice"`
	Silent   Spans  `toml:"silent" of:"world.discovery.silent"`
	Each     Spans  `toml:"each" of:"world.discovery.each"`
	Patience Spans  `toml:"patience" of:"world.discovery.patience"`
}

// FrontRanges draws world.Front.
type FrontRanges struct {
	Check  Spans `toml:"check" of:"world.front.check"`
	Notice Spans `toml:"notice" of:"world.front.notice"`
}

// NodeRanges draws a world.Node.
type NodeRanges struct {
	MemoryMB Counts  `toml:"memory_mb" of:"world.node.memory_mb"`
	Sockets  Counts  `toml:"sockets" of:"world.node.sockets"`
	Stale    float64 `toml:"stale" of:"scenario.chance"` // share of nodes that start with an outdated endpoint list
}

// PeerRanges draws the properties that do not depend on a peer's kind.
type PeerRanges struct {
	CellSize  Counts  `toml:"cell_size" of:"scenario.one_or_more"` // drawn once per run
	CacheGain Range   `toml:"cache_gain" of:"world.peer.cache_gain"`
	CacheFor  Spans   `toml:"cache_for" of:"world.peer.cache_for"`
	CacheKeys Counts  `toml:"cache_keys" of:"scenario.per_core"` // per core
	ByCount   float64 `toml:"by_count" of:"scenario.chance"`     // share of peers that warm up by requests served
	ColdBy    Counts  `toml:"cold_by" of:"world.peer.cold_by"`
	Falls     float64 `toml:"falls" of:"scenario.chance"`  // share of runs in which overloaded peers crash
	Crowds    float64 `toml:"crowds" of:"scenario.chance"` // share of runs in which crowded peers slow down
	CrowdAt   Range   `toml:"crowd_at" of:"world.peer.crowd_at"`
	Crowded   Range   `toml:"crowded" of:"world.peer.crowded"`
	Conns     Counts  `toml:"conns" of:"world.peer.conns"` // per core
	Handshake Spans   `toml:"handshake" of:"world.peer.handshake"`
	Tight     float64 `toml:"tight" of:"scenario.chance"`        // share of runs whose peers have short queues
	TightRoom Counts  `toml:"tight_room" of:"scenario.per_core"` // queue length per core in the runs of Tight
	StopsWork float64 `toml:"stops_work" of:"scenario.chance"`
}

// PeerKind draws the properties of peers of a kind.
type PeerKind struct {
	Name      string `toml:"name"`
	Share     Range  `toml:"share" of:"scenario.weight"`
	Cores     Counts `toml:"cores" of:"world.peer.cores"`
	Speed     Range  `toml:"speed" of:"world.peer.speed"`
	Slots     Counts `toml:"slots" of:"world.peer.slots"` // per core
	Queue     Counts `toml:"queue" of:"scenario.per_core"`
	PauseEach Spans  `toml:"pause_each" of:"world.peer.pause_each"`
	Pause     Spans  `toml:"pause" of:"world.peer.pause"`
	Errors    Range  `toml:"errors" of:"world.peer.errors"`
	ColdShare Range  `toml:"cold_share" of:"world.peer.cold_share"`
	ColdFor   Spans  `toml:"cold_for" of:"world.peer.cold_for"`
}

// ClassRanges draws a world.Class.
type ClassRanges struct {
	Name         string `toml:"name"`
	Safe         bool   `toml:"safe"`
	Share        Range  `toml:"share" of:"scenario.weight"` // share of requests, before all are scaled to a sum of 1
	Work         Spans  `toml:"work" of:"world.class.work"`
	Spread       Range  `toml:"spread" of:"world.class.spread"`
	Aim          Spans  `toml:"aim" of:"world.class.aim"`
	Deadline     Spans  `toml:"deadline" of:"world.class.deadline"`
	Worth        Range  `toml:"worth" of:"world.class.worth"`
	Body         Counts `toml:"body" of:"world.class.body"`
	ResponseBody Counts `toml:"answer" of:"world.class.answer"`
}

// TenantRanges draws a world.Tenant.
type TenantRanges struct {
	Name  string `toml:"name"`
	Share Range  `toml:"share" of:"world.tenant.share"`
	Usage Range  `toml:"usage" of:"scenario.usage"` // share of the tenant's share that it uses
	Quota Range  `toml:"quota" of:"scenario.load"`  // of the capacity of the peers times the tenant's share
}

// ClientRanges draws a world.Clients for each zone and tenant.
type ClientRanges struct {
	MixSwing  Range   `toml:"mix_swing" of:"scenario.spread"` // maximum relative deviation of a crowd's share of a class
	Waves     float64 `toml:"waves" of:"scenario.chance"`     // share of runs with a varying request rate
	Swing     Range   `toml:"swing" of:"world.clients.swing"`
	Period    Spans   `toml:"period" of:"world.clients.period"`
	Keyless   float64 `toml:"keyless" of:"scenario.chance"` // share of crowds without keys
	Keys      Counts  `toml:"keys" of:"world.clients.keys"`
	Zipf      Range   `toml:"zipf" of:"world.clients.zipf"`
	Retries   Counts  `toml:"retries" of:"world.clients.retries"`
	Backoff   Spans   `toml:"backoff" of:"world.clients.backoff"`
	Honour    Range   `toml:"honour" of:"world.clients.honour"`
	Patience  Range   `toml:"patience" of:"world.clients.patience"`
	Leave     Range   `toml:"leave" of:"world.clients.leave"`
	Fresh     Range   `toml:"fresh" of:"world.clients.fresh"`
	Keep      Range   `toml:"keep" of:"world.clients.keep"`
	Pipelines float64 `toml:"pipelines" of:"scenario.chance"` // share of crowds that pipeline
	Pipelined Range   `toml:"pipelined" of:"world.clients.pipelined"`
	Conns     Counts  `toml:"conns" of:"world.clients.conns"`
	Odd       Range   `toml:"odd" of:"world.clients.odd"`
	Linger    Range   `toml:"linger" of:"world.clients.linger"`
}

// RogueRanges draws the world.Rogues of one fault of the kind "rogues".
type RogueRanges struct {
	Kinds []string `toml:"kinds"` // from rogueKinds
	Crowd Counts   `toml:"crowd" of:"scenario.one_or_more"`
	Rate  Range    `toml:"rate" of:"world.rogue.rate"`
}

// FaultPlan holds the ranges that determine the number, kinds and times of a run's faults.
type FaultPlan struct {
	Calm    float64 `toml:"calm" of:"scenario.chance"` // share of runs without faults
	Count   Counts  `toml:"count" of:"scenario.many"`
	Lead    Spans   `toml:"lead" of:"scenario.lead"`      // time before the first fault
	Tail    Spans   `toml:"tail" of:"scenario.lead"`      // time after a fault in which the recovery is observed
	Overlap float64 `toml:"overlap" of:"scenario.chance"` // share of single faults that are active at the common instant
	Combos  float64 `toml:"combos" of:"scenario.chance"`  // share of runs with a combination
}

// KindRanges draws a Fault of a kind. It sets the parameters of the kind. Part is the share of the peers, nodes or
// crowds that the fault affects.
type KindRanges struct {
	Name     string  `toml:"name"`
	Weight   float64 `toml:"weight" of:"scenario.weight"`
	Part     Range   `toml:"part,omitempty"`
	For      Spans   `toml:"for,omitempty"`
	Share    Range   `toml:"share,omitempty"`
	Factor   Range   `toml:"factor,omitempty"`
	Pause    Spans   `toml:"pause,omitempty"`
	TurnAway Spans   `toml:"turn_away,omitempty"`
	Back     Spans   `toml:"back,omitempty"`
}

// Combo is a combination of kinds that are active at the same time.
type Combo struct {
	Name   string   `toml:"name"`
	Weight float64  `toml:"weight" of:"scenario.weight"`
	Kinds  []string `toml:"kinds"`
}

//go:embed scenario.toml
var defaultScenario []byte

// Default returns the scenario that is embedded in the lab.
func Default() (*Scenario, error) { return parseScenario("scenario.toml", defaultScenario) }

// LoadScenario reads a scenario from a file and checks it. The file must set every number; there are no defaults.
func LoadScenario(path string) (*Scenario, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return parseScenario(path, data)
}

func parseScenario(name string, data []byte) (*Scenario, error) {
	t, err := readTree(name, data)
	if err != nil {
		return nil, err
	}
	sc := &Scenario{}
	if err := decode(t, sc); err != nil {
		return nil, err
	}
	c := &scenarioChecker{sc: sc, limits: limits()}
	c.ranges("", t.root, reflect.ValueOf(*sc), "")
	c.lists()
	c.rogues()
	table := kinds()
	for i := range sc.Kinds {
		c.kind(fmt.Sprintf("kind[%d]", i), t, i, table)
	}
	c.combos(table)
	if err := c.in(t); err != nil {
		return nil, err
	}
	// Detects names that collide only in a script, such as those of crowds.
	if err := Draw(1, sc).Check(); err != nil {
		return nil, &Error{File: name, Line: 1, Reason: "script drawn from the scenario is invalid: " + err.Error()}
	}
	return sc, nil
}
