package live

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// undo is an effect of Do that the heal command reverts.
type undo struct {
	name, what string
	heal       func()
}

// Timing of a peer's drain by the drain command: the delay until the peer rejects
// new requests, and until it exits.
const (
	drainRejectAfter = 1500 * time.Millisecond
	drainExitAfter   = 4 * time.Second
)

// Help lists the commands of Do.
const Help = `kill NAME          kill a peer or a node
slow PEER TIMES    let a peer take so many times longer
fail PEER SHARE    let a share of a peer's calls end in a 500
vanish PEER        let a peer's machine say nothing any more
drain PEER         let a peer complete what it holds, and end
restart NODE       SIGTERM, and a new process
heal [NAME]        undo all of that, or what was done to one`

// Do executes a command of Help on a peer or a node and returns a description of
// the effect. It returns errRunOver once the run has finished.
func (r *Run) Do(command string) (did string, err error) {
	if !r.runOnLoop(func() { did, err = r.do(strings.Fields(command)) }) {
		return "", errRunOver
	}
	return did, err
}

// do parses and executes a command. It must be called on the loop, as must doNode,
// doPeer and heal.
func (r *Run) do(words []string) (string, error) {
	if len(words) == 0 {
		return "", errors.New("do what?")
	}
	verb, args := words[0], words[1:]
	wants, known := map[string]int{
		"kill": 1, "slow": 2, "fail": 2, "vanish": 1, "drain": 1, "restart": 1, "heal": 0,
	}[verb]
	switch {
	case !known:
		return "", fmt.Errorf("%s: no such command", verb)
	case verb == "heal" && len(args) <= 1:
		return r.heal(strings.Join(args, ""))
	case len(args) != wants:
		return "", fmt.Errorf("%s: takes %s", verb, [...]string{"at most a name", "a name", "a peer and a figure"}[wants])
	}
	n, p := r.node(args[0]), r.peer(args[0])
	if p != nil && !p.started {
		p = nil
	}
	switch {
	case verb == "restart" && n == nil:
		return "", fmt.Errorf("restart: no node named %q", args[0])
	case verb == "kill" && n == nil && p == nil:
		return "", fmt.Errorf("kill: no peer or node named %q", args[0])
	case verb != "kill" && verb != "restart" && p == nil:
		return "", fmt.Errorf("%s: no peer named %q", verb, args[0])
	case verb == "restart" || verb == "kill" && n != nil:
		return r.doNode(verb, n)
	}
	return r.doPeer(verb, p, args[1:])
}

// doNode executes restart or kill on a node.
func (r *Run) doNode(verb string, n *instance) (string, error) {
	name := n.c.Name
	if verb == "restart" {
		if n.Down() {
			n.Start()
			return name + " starts", nil
		}
		n.restart = true
		n.Term()
		return name + " drains, and starts again", nil
	}
	n.restart = false
	n.Kill()
	r.undo = append(r.undo, undo{name, "killed", func() { n.Start() }})
	return name + " is killed", nil
}

// doPeer executes a command on a peer. figures has the factor of slow or the share
// of fail.
func (r *Run) doPeer(verb string, p *peerHost, figures []string) (string, error) {
	name := p.c.Name
	note := func(what string, heal func()) (string, error) {
		r.undo = append(r.undo, undo{name, what, heal})
		return name + " is " + what, nil
	}
	if p.Down() && verb != "vanish" {
		return "", fmt.Errorf("%s: %s is down; heal starts it", verb, name)
	}
	switch verb {
	case "kill":
		p.Kill()
		return note("killed", p.startAgain)
	case "drain":
		p.Drain(drainRejectAfter, drainExitAfter)
		return note("draining", p.startAgain)
	case "vanish":
		r.net.Vanish(hostOf(p.c))
		r.registry.Vanished(name)
		return note("off the network", func() {
			r.net.Return(hostOf(p.c))
			r.registry.Returned(name)
		})
	}
	v, err := strconv.ParseFloat(figures[0], 64)
	switch {
	case verb == "slow" && err == nil && v >= 1 && v <= 1000:
		return note("slow x"+figures[0], p.Slow(v))
	case verb == "slow":
		return "", fmt.Errorf("slow: not a number of times from 1 to 1000: %q", figures[0])
	case err == nil && v > 0 && v <= 1:
		return note("failing "+figures[0], p.Fail(v))
	}
	return "", fmt.Errorf("fail: not a share above 0 and up to 1: %q", figures[0])
}

// startAgain starts the peer's process. While the previous one drains, it polls
// every 100 ms until that has exited.
func (s *peerHost) startAgain() {
	switch {
	case s.Down():
		s.Start()
	case s.draining:
		s.run.loop.After(100*time.Millisecond, s.startAgain)
	}
}

// heal reverts the effects of Do on the named peer or node, or on all if name is
// empty. It then starts every one of them that is down, whatever the cause.
func (r *Run) heal(name string) (string, error) {
	if name != "" && r.node(name) == nil && r.peer(name) == nil {
		return "", fmt.Errorf("heal: no peer or node named %q", name)
	}
	done := r.undo
	r.undo = nil
	for _, u := range done {
		if name != "" && u.name != name {
			r.undo = append(r.undo, u)
			continue
		}
		u.heal()
	}
	for _, p := range r.peers {
		if p.started && p.Down() && (name == "" || name == p.c.Name) {
			p.Start()
		}
	}
	for _, n := range r.nodes {
		if n.Down() && (name == "" || name == n.c.Name) {
			n.Start()
		}
	}
	if name == "" {
		name = "all"
	}
	return name + " healed", nil
}

// effects returns the effects of Do on a peer or node that are still in force,
// separated by commas.
func (r *Run) effects(name string) string {
	var all []string
	for _, u := range r.undo {
		if u.name == name {
			all = append(all, u.what)
		}
	}
	return strings.Join(all, ", ")
}
