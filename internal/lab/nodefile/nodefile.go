// Package nodefile writes the configuration files of nodes in the platform's format.
package nodefile

import (
	"encoding/json"
	"fmt"
	"slices"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// object is a JSON object with the platform's keys.
type object = map[string]any

// NodeStart holds the part of a node's configuration that does not come from the world: it differs with each start.
type NodeStart struct {
	Listen        string // address that the node listens on
	Discovery     string // address of discovery, which serves the endpoint list
	LastEndpoints []byte // the last known endpoint list, in the format of discovery
	Seed          uint64 // seed of the node's random choices for this start
}

// Write returns the content of the configuration file of a node of a world.
func Write(config *world.Config, node world.Node, start NodeStart) ([]byte, error) {
	var quotas []object
	for _, t := range config.Tenants {
		quota := object{"name": t.Name, "share": t.Share}
		if t.Quota > 0 { // 0 means no quota; the node would enforce a quota of 0
			quota["quota_per_s"] = t.Quota
		}
		quotas = append(quotas, quota)
	}
	var classes []object
	for _, k := range config.Classes {
		classes = append(classes, classSettings(k))
	}
	var kinds []string
	for _, p := range config.Peers {
		if !slices.Contains(kinds, p.Kind) {
			kinds = append(kinds, p.Kind)
		}
	}
	slices.Sort(kinds)
	contract := config.Contract
	file := object{
		"name": node.Name, "listen": start.Listen, "discovery": start.Discovery,
		"seed":   fmt.Sprintf("%016x", start.Seed),
		"limits": object{"cores": 1.0, "memory_mb": node.MemoryMB, "sockets": node.Sockets},
		"known":  json.RawMessage(start.LastEndpoints),
		"settings": object{
			"n_instances": len(config.Nodes), "worth_by": "request", "over_share_worth": contract.OverShareWorth,
			"weights": "nominal", "discovery": "subscribe",
			"zones": config.Zones, "zone": max(slices.Index(config.Zones, node.Zone), 0), "kinds": kinds,
			"classes": classes, "tenants": quotas,
			"contract": object{
				"ask_every": nanoseconds(contract.AskEvery), "cold": nanoseconds(contract.Cold), "cold_share": contract.ColdShare,
				"drain_grace": nanoseconds(contract.DrainGrace), "fall": nanoseconds(contract.OverloadWindow),
				"overload_factor": contract.Overload, "dropped_stay_open": contract.DroppedStay,
			},
			"limits": object{
				"try_limit": contract.TryLimit, "probes": contract.Probes, "cancel": true, "second_copies": contract.SecondCopies,
				"retry_after": contract.RetryAfter, "max_retry_after": nanoseconds(contract.MaxRetryAfter),
				"connect_timeout": nanoseconds(contract.ConnectTimeout), "idle_close": nanoseconds(contract.IdleClose),
			},
			"prices": object{"cross_zone": contract.CrossPrice, "probe": contract.ProbePrice},
		},
	}
	data, err := json.Marshal(file)
	if err != nil {
		return nil, fmt.Errorf("configuration of %s: %w", node.Name, err)
	}
	return data, nil
}

// classSettings returns the settings of a class.
func classSettings(class world.Class) object {
	settings := object{
		"name": class.Name, "aim": nanoseconds(class.Objective), "deadline": nanoseconds(class.Deadline),
		"gain": class.Weight, "late_worth": 0.0,
		"idempotency": "side_effect", "stream": false,
	}
	if class.Safe {
		settings["idempotency"] = "pure"
	}
	return settings
}

// nanoseconds converts a span to the unit of the settings.
func nanoseconds(s figure.Span) int64 { return int64(s) }
