// Package nodefile writes the configuration files of nodes, as the platform would.
package nodefile

import (
	"encoding/json"
	"fmt"
	"slices"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// object is a JSON object with the platform's names.
type object = map[string]any

// Start is what a node's file holds beside its world.
type Start struct {
	Listen    string // where it listens
	Discovery string // where it looks for its upstream group
	Known     []byte // the list that it had last, as discovery writes it
	Seed      uint64 // of this start
}

// Write writes the configuration file of a node of a world.
func Write(c *world.Config, n world.Node, s Start) ([]byte, error) {
	var quotas []object
	for _, t := range c.Tenants {
		quota := object{"name": t.Name, "share": t.Share}
		if t.Quota > 0 { // to a node a quota of nothing is one too
			quota["quota_per_s"] = t.Quota
		}
		quotas = append(quotas, quota)
	}
	var classes []object
	for _, k := range c.Classes {
		classes = append(classes, class(k))
	}
	var kinds []string
	for _, p := range c.Peers {
		if !slices.Contains(kinds, p.Kind) {
			kinds = append(kinds, p.Kind)
		}
	}
	slices.Sort(kinds)
	k := c.Contract
	file := object{
		"name": n.Name, "listen": s.Listen, "discovery": s.Discovery,
		"seed":   fmt.Sprintf("%016x", s.Seed),
		"limits": object{"cores": 1.0, "memory_mb": n.MemoryMB, "sockets": n.Sockets},
		"known":  json.RawMessage(s.Known),
		"settings": object{
			"n_instances": len(c.Nodes), "worth_by": "request", "over_share_worth": k.OverShareWorth,
			"weights": "nominal", "discovery": "subscribe",
			"zones": c.Zones, "zone": max(slices.Index(c.Zones, n.Zone), 0), "kinds": kinds,
			"classes": classes, "tenants": quotas,
			"contract": object{
				"ask_every": ns(k.AskEvery), "cold": ns(k.Cold), "cold_share": k.ColdShare,
				"drain_grace": ns(k.DrainGrace), "fall": ns(k.OverloadWindow), "overload_factor": k.Overload,
				"dropped_stay_open": k.DroppedStay,
			},
			"limits": object{
				"try_limit": k.TryLimit, "probes": k.Probes, "cancel": true, "second_copies": k.SecondCopies,
				"retry_after": k.RetryAfter, "max_retry_after": ns(k.MaxRetryAfter),
				"connect_timeout": ns(k.ConnectTimeout), "idle_close": ns(k.IdleClose),
			},
			"prices": object{"cross_zone": k.CrossPrice, "probe": k.ProbePrice},
		},
	}
	data, err := json.Marshal(file)
	if err != nil {
		return nil, fmt.Errorf("configuration of %s: %w", n.Name, err)
	}
	return data, nil
}

func class(k world.Class) object {
	o := object{
		"name": k.Name, "aim": ns(k.Objective), "deadline": ns(k.Deadline), "gain": k.Weight, "late_worth": 0.0,
		"idempotency": "side_effect", "stream": false,
	}
	if k.Safe {
		o["idempotency"] = "pure"
	}
	return o
}

// ns is a span as the settings write it.
func ns(s figure.Span) int64 { return int64(s) }
