package live

import (
	"fmt"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// Sample returns a script without faults: a small service in two zones. rate is the
// number of requests per second of all clients together.
func Sample(peers, nodes int, rate float64) *fault.Script {
	ms := func(n int) figure.Span { return figure.Span(time.Duration(n) * time.Millisecond) }
	zones := []string{"east", "west"}
	w := world.Config{
		Zones: zones,
		Contract: world.Contract{
			DrainGrace: ms(2500), ColdShare: 0.2, Cold: ms(10000), Overload: 2.5, OverloadWindow: ms(3000), AskEvery: ms(5000),
			TryLimit: 4, Probes: true, SecondCopies: true, RetryAfter: true, MaxRetryAfter: ms(1500),
			ConnectTimeout: ms(75), IdleClose: ms(10000), CrossPrice: 0.17, ProbePrice: 0.0074, OverShareWorth: 0.05,
		},
		Discovery: world.Discovery{
			Addr: "registry:8500", Spare: "registry-spare:8500", Add: ms(1000), Notice: ms(1000), Silent: ms(6000),
			Each: ms(1), Patience: ms(1000),
		},
		Front: world.Front{Check: ms(100), Notice: ms(2000)},
		Classes: []world.Class{
			{Name: "status", Safe: true, Work: ms(15), Spread: 0.5, Objective: ms(150), Deadline: ms(300),
				Weight: 2, ResponseBody: 400},
			{Name: "quote", Safe: true, Work: ms(20), Spread: 0.5, Objective: ms(200), Deadline: ms(600),
				Weight: 1, ResponseBody: 2000},
			{Name: "order", Work: ms(25), Spread: 0.3, Objective: ms(300), Deadline: ms(1500),
				Weight: 10, Body: 2000, ResponseBody: 300},
		},
		Tenants: []world.Tenant{
			{Name: "acme", Share: 0.6, Quota: max(rate*2, 100)}, {Name: "umbra", Share: 0.4, Quota: max(rate*2, 100)},
		},
	}
	for i := range nodes {
		w.Nodes = append(w.Nodes, world.Node{
			Name: fmt.Sprintf("n%d", i+1), Zone: zones[i%len(zones)], MemoryMB: 256, Sockets: 2048,
		})
	}
	for i := range peers {
		w.Peers = append(w.Peers, world.Peer{
			Name: fmt.Sprintf("p%02d", i+1), Zone: zones[i%len(zones)], Kind: "dual", Weight: 2, Cell: i % len(zones),
			Cores: 2, Speed: 1, Slots: 2, Queue: 100, CacheGain: 0.4, CacheFor: ms(8000), CacheKeys: 100,
			ColdShare: 0.2, ColdFor: ms(10000), CrashFactor: 2.5, CrashWindow: ms(3000), Conns: 1000, Handshake: ms(1),
			IdleClose: ms(10000), DropsQueued: true,
		})
	}
	for i, zone := range zones {
		t := w.Tenants[i]
		w.Clients = append(w.Clients, world.Clients{
			Name: t.Name + "-" + zone, Zone: zone, Tenant: t.Name, Rate: rate / float64(len(zones)),
			Mix: map[string]float64{"status": 0.45, "quote": 0.4, "order": 0.15}, Keys: 200, Zipf: 1,
			Retries: 1, Backoff: ms(50), Honour: 0.9, Patience: 1, Fresh: 0.05, Conns: 500,
		})
	}
	return &fault.Script{Seed: 1, Length: figure.Span(10 * time.Minute), World: w}
}
