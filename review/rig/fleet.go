package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// This play is no case of its own (three at most): REPORT.md has its results.
func init() { cases["kept-call-after-changed-effect"] = keptCallAfterChangedEffect }

// fleetNodes is the number of nodes in the fleet; each is a voter.
const fleetNodes = 3

// keptCallAfterChangedEffect: three nodes keep order-confirm calls by their Idempotency-Key. At their start the settings
// give the class the effect pure; a new configuration corrects it to side_effect. Then a client sends an order-confirm,
// its node is killed, and the client asks another node with the same key until it gets an outcome. The order must not run
// twice. Without trouble no node is killed.
func keptCallAfterChangedEffect(c *caseRun) (broken bool, err error) {
	p, err := c.startFleet()
	if err != nil {
		return false, err
	}
	for i, n := range p.nodes {
		if err := p.writeConfig(n, i, fleetNodes, usualLimits, settings(fleetNodes)); err != nil {
			return false, err
		}
		if err := c.signal(n.process, syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second) // a leader is elected, and every node has read its configuration
	twice := 0
	for i, n := range p.nodes[:2] { // a third loss would leave no majority
		key := fmt.Sprintf("order-%d", i)
		r := newRequest("order-confirm", "user"+key, confirmBudget, []byte(heavyBody+" "+key))
		r.key = key
		ids := []string{r.id}
		cl, err := dial(n)
		if err != nil {
			return false, err
		}
		if _, err := cl.Write(r.bytes()); err != nil {
			return false, err
		}
		c.logf("client sends %s with key %s to %s", r.id, key, n.name)
		time.Sleep(150 * time.Millisecond)
		if c.trouble {
			if err := c.signal(n.process, syscall.SIGKILL); err != nil {
				return false, err
			}
		}
		a, err := cl.read(time.Now().Add(confirmBudget + answerSlack))
		c.logf("client: answer %d to %s, error %v", a.status, r.id, err)
		_ = cl.Close()
		other := p.nodes[fleetNodes-1]
		for end := time.Now().Add(15 * time.Second); a.status != 200 && a.status != 502 && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			r.id = newRequest("", "", 0, nil).id
			ids = append(ids, r.id)
			if cl, err = dial(other); err != nil {
				return false, err
			}
			last := a.status
			if a, err = cl.call(r); err != nil || a.status != last {
				c.logf("client asks %s with key %s as %s: answer %d, error %v", other.name, key, r.id, a.status, err)
			}
			_ = cl.Close()
		}
		runs := 0
		for _, id := range ids {
			runs += c.runsOf(id)
		}
		c.logf("the order with key %s was run %d times", key, runs)
		if runs > 1 {
			twice++
		}
		if c.trouble { // the majority must stay: the node starts again
			if n.process, err = p.startNode(n); err != nil {
				return false, err
			}
			if err := n.awaitReady(); err != nil {
				return false, err
			}
			time.Sleep(4 * time.Second)
		}
	}
	return twice > 0, nil
}

// startFleet starts a platform whose nodes belong to a fleet that keeps order-confirm calls. The class is pure.
func (c *caseRun) startFleet() (*platform, error) {
	p, err := c.startPlatform(5, 0, usualLimits)
	if err != nil {
		return nil, err
	}
	var addrs, names []string
	for i := range fleetNodes {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, fmt.Sprintf("%q", addr))
		names = append(names, fmt.Sprintf("\"n%d\"", i+1))
	}
	wrong := settings(fleetNodes)
	for _, class := range wrong["classes"].([]any) {
		class.(map[string]any)["idempotency"] = "pure"
	}
	for i := range fleetNodes {
		n, err := p.configureNode(i, fleetNodes, usualLimits)
		if err != nil {
			return nil, err
		}
		if err := p.writeConfig(n, i, fleetNodes, usualLimits, wrong); err != nil {
			return nil, err
		}
		file := fmt.Sprintf("[member]\nfleet = \"review\"\nlisten = %s\njoin = [%s]\nzone = \"tamworth\"\ndirectory = %q\n"+
			"[work]\nclasses = [\"order-confirm\"]\nkeepers = [%s]\n", addrs[i], strings.Join(addrs, ", "),
			filepath.Join(n.dir, "fleet"), strings.Join(names, ", "))
		path := filepath.Join(n.dir, "fleet.toml")
		if err := errors.Join(os.Mkdir(filepath.Join(n.dir, "fleet"), 0o700), os.WriteFile(path, []byte(file), 0o600)); err != nil {
			return nil, err
		}
		n.env = append(n.env, "ROUTER_FLEET="+path)
		if n.process, err = p.startNode(n); err != nil {
			return nil, err
		}
		p.nodes = append(p.nodes, n)
	}
	for _, n := range p.nodes {
		if err := n.awaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	return p, nil
}

// writeConfig writes the configuration file of a node.
func (p *platform) writeConfig(n *node, number, nodes int, limits limits, settings map[string]any) error {
	config := map[string]any{
		"name": filepath.Base(n.dir), "listen": n.addr, "discovery": p.registry,
		"seed":     fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(number)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": limits.memoryMB, "sockets": limits.sockets},
		"known":    list{Version: 0, Full: true, Servers: p.entries},
		"settings": settings,
	}
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(n.dir, "config.json"), data, 0o600)
}
