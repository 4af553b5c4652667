package fault

import (
	"fmt"
	"math"
	"math/rand/v2"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// Draw generates the script of a seed. The same seed yields the same script. Each entity has its own random stream: a
// changed range of one entity does not change the draws of the others. The topmost bit of the seed is ignored, since
// a file cannot hold a seed above 2^63-1.
func Draw(seed uint64, sc *Scenario) *Script {
	seed &= math.MaxInt64
	d := &drawer{sc: sc, s: &Script{Seed: seed}}
	d.s.Length = sc.Length.draw(d.stream("length"))
	d.topology()
	d.contract()
	d.classes()
	d.peers()
	d.clients()
	d.faults()
	return d.s
}

type drawer struct {
	sc       *Scenario
	s        *Script
	mix      []float64 // share of each class of all requests
	meanWork float64   // mean work of a request, in seconds on a core of speed 1
	capacity float64   // requests per second that all peers together can serve
	cellSize int
	pushed   bool // the run stresses the peers, see Scale.Pushed
}

func (d *drawer) stream(name string) *rand.Rand { return figure.Stream(d.s.Seed, name) }

// topology draws zones, nodes, the network, discovery and the front.
func (d *drawer) topology() {
	sc, w := d.sc, &d.s.World
	g := d.stream("zones")
	w.Zones = append(w.Zones, sc.Zones...)
	if chance(g, sc.Scale.OneZone) {
		w.Zones = w.Zones[:1]
	}
	g = d.stream("nodes")
	n, first := sc.Scale.Nodes.draw(g), g.IntN(len(w.Zones))
	pushed := d.stream("pushed")
	d.pushed = chance(pushed, sc.Scale.Pushed)
	if many := sc.Scale.Many.draw(pushed); d.pushed {
		n = many
	} else if chance(g, sc.Scale.OneNode) {
		n = 1
	}
	for i := range n {
		name := fmt.Sprintf("n%d", i+1)
		g := d.stream("node " + name)
		w.Nodes = append(w.Nodes, world.Node{Name: name, Zone: w.Zones[(first+i)%len(w.Zones)],
			MemoryMB: sc.Node.MemoryMB.draw(g), Sockets: sc.Node.Sockets.draw(g), Stale: chance(g, sc.Node.Stale)})
	}
	g = d.stream("net")
	w.Net = world.Net{Same: sc.Net.Same.draw(g), Cross: sc.Net.Cross.draw(g), Client: sc.Net.Client.draw(g),
		Jitter: sc.Net.Jitter.draw(g), Pieces: sc.Net.Pieces.draw(g)}
	if chance(g, sc.Net.Bounded) {
		w.Net.Rate = sc.Net.Rate.draw(g)
	}
	g = d.stream("discovery")
	w.Discovery = world.Discovery{Addr: sc.Discovery.Addr, Spare: sc.Discovery.Spare,
		Add: sc.Discovery.Add.draw(g), Notice: sc.Discovery.Notice.draw(g),
		Silent: sc.Discovery.Silent.draw(g), Each: sc.Discovery.Each.draw(g),
		Patience: sc.Discovery.Patience.draw(g)}
	g = d.stream("front")
	w.Front = world.Front{Check: sc.Front.Check.draw(g), Notice: sc.Front.Notice.draw(g)}
}

func (d *drawer) contract() {
	c, g := &d.sc.Contract, d.stream("contract")
	d.s.World.Contract = world.Contract{
		DrainGrace: c.DrainGrace.draw(g), ColdShare: c.ColdShare.draw(g), Cold: c.Cold.draw(g),
		Overload: c.Overload.draw(g), OverloadWindow: c.Fall.draw(g), AskEvery: c.AskEvery.draw(g),
		TryLimit: c.TryLimit.draw(g), Probes: chance(g, c.Probes), SecondCopies: chance(g, c.SecondCopies),
		RetryAfter: chance(g, c.RetryAfter), MaxRetryAfter: c.MaxRetryAfter.draw(g),
		ConnectTimeout: c.ConnectTimeout.draw(g), IdleClose: c.IdleClose.draw(g), CrossPrice: c.CrossPrice.draw(g),
		ProbePrice: c.ProbePrice.draw(g), OverShareWorth: c.OverShareWorth.draw(g),
		DroppedStay: chance(g, c.DroppedStay)}
}

func (d *drawer) classes() {
	for i := range d.sc.Classes {
		k := &d.sc.Classes[i]
		g := d.stream("class " + k.Name)
		d.mix = append(d.mix, k.Share.draw(g))
		d.s.World.Classes = append(d.s.World.Classes, world.Class{Name: k.Name, Safe: k.Safe, Work: k.Work.draw(g),
			Spread: k.Spread.draw(g), Objective: k.Aim.draw(g), Deadline: k.Deadline.draw(g), Weight: k.Worth.draw(g),
			Body: k.Body.draw(g), ResponseBody: k.ResponseBody.draw(g)})
	}
	d.buffers()
	d.parts()
	d.mix = shares(d.mix)
	for i, k := range d.s.World.Classes {
		d.meanWork += d.mix[i] * k.Work.D().Seconds()
	}
}

// buffers draws, in some runs, the buffers of the network and the long bodies that fill them.
func (d *drawer) buffers() {
	n, w, g := &d.sc.Net, &d.s.World, d.stream("buffers")
	if !chance(g, n.Buffered) {
		return
	}
	w.Net.Window, w.Net.SendBuffer = n.Window.draw(g), n.SendBuffer.draw(g)
	for i := range w.Classes {
		if long, body := n.Long.draw(g), n.LongBody.draw(g); !w.Classes[i].Safe {
			w.Classes[i].LongShare, w.Classes[i].LongBody = long, body
			w.Classes[i].LongFor = n.LongFor.draw(d.stream("slow bodies of " + w.Classes[i].Name))
		}
	}
}

// parts draws, in some runs, long answers that servers send in parts.
func (d *drawer) parts() {
	parts, g := &d.sc.Parts, d.stream("answers in parts")
	if !chance(g, parts.Runs) {
		return
	}
	for i := range d.s.World.Classes {
		class := &d.s.World.Classes[i]
		class.PartedShare = parts.Share.draw(g)
		class.PartedBody = parts.Body.draw(g)
		class.PartPause = parts.Pause.draw(g)
	}
}

// shares scales numbers so that they add up to 1, and rounds each to three digits.
func shares(of []float64) []float64 {
	sum := 0.0
	for _, v := range of {
		sum += v
	}
	for i := range of {
		of[i] = figure.Round(of[i]/sum, 3)
	}
	return of
}

// peers draws the peers and adds up their capacity; clients removes peers that exceed the request rate.
func (d *drawer) peers() {
	sc, w := d.sc, &d.s.World
	g := d.stream("peers")
	n := sc.Scale.Peers.draw(g)
	d.cellSize = sc.Peer.CellSize.draw(g)
	falls, crowds := chance(g, sc.Peer.Falls), chance(g, sc.Peer.Crowds)
	rooms := d.stream("waiting rooms")
	tight, room := chance(rooms, sc.Peer.Tight) || d.pushed, sc.Peer.TightRoom.draw(rooms)
	for i := range n {
		p := d.peer(i)
		if falls {
			p.CrashFactor, p.CrashWindow = w.Contract.Overload, w.Contract.OverloadWindow
		}
		if !crowds {
			p.CongestionAt, p.MaxSlowdown = 0, 0
		}
		if tight { // a peer that rejects a call at once receives the next one at once
			p.Queue = p.Cores * room
		}
		w.Peers = append(w.Peers, p)
		d.capacity += float64(p.Cores) * p.Speed / d.meanWork
	}
}

func (d *drawer) peer(i int) world.Peer {
	sc, w := &d.sc.Peer, &d.s.World
	name := fmt.Sprintf("p%02d", i+1)
	g := d.stream("peer " + name)
	var weights []float64
	for _, k := range d.sc.PeerKinds {
		weights = append(weights, k.Share.draw(g))
	}
	k := &d.sc.PeerKinds[weighted(g, weights)]
	zone := w.Zones[g.IntN(len(w.Zones))]
	if i < len(w.Zones) {
		zone = w.Zones[i] // each zone has at least one peer
	}
	cores := k.Cores.draw(g)
	p := world.Peer{Name: name, Zone: zone, Kind: k.Name, Cores: cores, Speed: k.Speed.draw(g),
		Weight: figure.Round(float64(cores)*(k.Speed.Lo+k.Speed.Hi)/2, 3),
		Cell:   (i/len(w.Zones)/d.cellSize)*len(w.Zones) + indexOf(w.Zones, zone),
		Slots:  cores * k.Slots.draw(g), Queue: cores * k.Queue.draw(g),
		CacheGain: sc.CacheGain.draw(g), CacheFor: sc.CacheFor.draw(g), CacheKeys: cores * sc.CacheKeys.draw(g),
		PauseEach: k.PauseEach.draw(g), Pause: k.Pause.draw(g), Errors: k.Errors.draw(g),
		ColdShare: max(k.ColdShare.draw(g), w.Contract.ColdShare), ColdFor: min(k.ColdFor.draw(g), w.Contract.Cold),
		CongestionAt: sc.CrowdAt.draw(g), MaxSlowdown: sc.Crowded.draw(g), Conns: cores * sc.Conns.draw(g),
		Handshake: sc.Handshake.draw(g), IdleClose: w.Contract.IdleClose}
	if by := sc.ColdBy.draw(g); chance(g, sc.ByCount) {
		p.ColdBy = by
	}
	p.DropsQueued = chance(g, sc.StopsWork)
	return p
}

// clients draws the clients. While their request rate is too high for a short run, it first removes peers, on whose
// capacity the rate depends.
func (d *drawer) clients() {
	sc, w := d.sc, &d.s.World
	g := d.stream("load")
	load, over, most := sc.Load.Usual.draw(g), sc.Load.Over.draw(g), sc.Load.MostRate.draw(g)
	if chance(g, sc.Load.Overload) || d.pushed {
		load = over
	}
	skew := sc.Load.ZoneSkew.draw(g)
	if chance(g, 0.5) {
		skew = -skew
	}
	waves := chance(g, sc.Clients.Waves)
	for load*d.capacity > most && len(w.Peers) > max(sc.Scale.Peers.Lo, len(w.Zones)) {
		p := w.Peers[len(w.Peers)-1]
		d.capacity -= float64(p.Cores) * p.Speed / d.meanWork
		w.Peers = w.Peers[:len(w.Peers)-1]
	}
	usage := make([]float64, len(sc.Tenants))
	total := 0.0
	for i := range sc.Tenants {
		t := &sc.Tenants[i]
		g := d.stream("tenant " + t.Name)
		share, quota := t.Share.draw(g), t.Quota.draw(g)
		w.Tenants = append(w.Tenants, world.Tenant{Name: t.Name, Share: share,
			Quota: figure.Round(max(quota*share*d.capacity, 0.1), 3)})
		usage[i] = share * t.Usage.draw(g)
		total += usage[i]
	}
	for i, t := range w.Tenants {
		for n, zone := range w.Zones {
			part := 1 / float64(len(w.Zones))
			if len(w.Zones) > 1 {
				part *= 1 + skew*float64(1-2*(n%2)) // with two zones, the total rate stays the same
			}
			rate := load * d.capacity * usage[i] / total * part
			w.Clients = append(w.Clients, d.crowd(t.Name, zone, rate, waves))
		}
	}
}

func (d *drawer) crowd(tenant, zone string, rate float64, waves bool) world.Clients {
	sc := &d.sc.Clients
	name := tenant + "-" + zone
	g := d.stream("clients " + name)
	mix := make([]float64, len(d.mix))
	for i, share := range d.mix {
		mix[i] = share * (1 + sc.MixSwing.draw(g)*(2*g.Float64()-1))
	}
	c := world.Clients{Name: name, Zone: zone, Tenant: tenant, Rate: max(figure.Round(rate, 3), 0.01),
		Mix:   map[string]float64{},
		Swing: sc.Swing.draw(g), Period: sc.Period.draw(g), Keys: sc.Keys.draw(g), Zipf: sc.Zipf.draw(g),
		Retries: sc.Retries.draw(g), Backoff: sc.Backoff.draw(g), Honour: sc.Honour.draw(g),
		Patience: sc.Patience.draw(g), Leave: sc.Leave.draw(g), Fresh: sc.Fresh.draw(g), Keep: sc.Keep.draw(g),
		Pipelined: sc.Pipelined.draw(g), Conns: sc.Conns.draw(g), Unusual: sc.Odd.draw(g),
		Linger: sc.Linger.draw(d.stream("linger " + name))}
	for i, share := range shares(mix) {
		c.Mix[d.s.World.Classes[i].Name] = share
	}
	if !waves {
		c.Swing, c.Period = 0, 0
	}
	if chance(g, sc.Keyless) {
		c.Keys = 0
	}
	if !chance(g, sc.Pipelines) {
		c.Pipelined = 0
	}
	return c
}

// weighted draws an index with a probability proportional to its weight.
func weighted(g *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	v := g.Float64() * sum
	last := 0
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		if last = i; v < w {
			break
		}
		v -= w
	}
	return last
}

func indexOf(list []string, what string) int {
	for i, v := range list {
		if v == what {
			return i
		}
	}
	return 0
}
