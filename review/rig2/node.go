package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runCommand is the line run of the deploy file.
const runCommand = "exec bin/olivebridge"

const longestDeadline = 1500 * time.Millisecond

// killAfter is the time from SIGTERM to SIGKILL at a planned restart: the longest deadline and 0.7 s.
const killAfter = longestDeadline + 700*time.Millisecond

// stage is what one case runs on: the record, a temporary folder and the processes that were started.
type stage struct {
	root    string // of the repository
	dir     string // temporary folder
	record  *record
	trouble bool

	mu    sync.Mutex
	ended bool // endAll was called: nothing more is started
	nodes []*nodeProcess
}

// nodeConfig describes one process of a node.
type nodeConfig struct {
	name      string
	listen    string
	admin     string // "": no admin listener
	discovery *discovery
	nodes     int    // number of nodes, as the settings tell
	fleet     string // path of the fleet file; "": none
}

// nodeProcess is a running process of a node.
type nodeProcess struct {
	nodeConfig
	label string
	cmd   *exec.Cmd
	ended chan struct{}
}

// settings returns the settings of a small deployment, as the pages describe them.
func settings(nodes int) map[string]any {
	class := func(name, idempotency string, aim, deadline time.Duration, gain float64) map[string]any {
		return map[string]any{
			"name": name, "idempotency": idempotency, "aim": aim, "deadline": deadline, "gain": gain,
			"late_worth": 0.0, "stream": false, "key_scope": "all", "window": 5 * time.Second,
		}
	}
	return map[string]any{
		"n_instances": nodes, "worth_by": "request", "over_share_worth": 0.05, "weights": "nominal",
		"discovery": "subscribe", "zone": 0, "zones": []string{"tamworth", "derby"},
		"kinds": []string{"fast-single", "std-single", "slow-dual"}, "resolution": 2 * time.Millisecond,
		"classes": []any{
			class("job-status", "pure", 150*time.Millisecond, 300*time.Millisecond, 2),
			class("quote", "pure", 200*time.Millisecond, 600*time.Millisecond, 1),
			class("slot-book", "side_effect", 200*time.Millisecond, 600*time.Millisecond, 2),
			class("order-confirm", "side_effect", 300*time.Millisecond, longestDeadline, 10),
		},
		"tenants": []any{
			map[string]any{"name": "fernley-motors", "share": 0.37, "quota_per_s": 106.0},
			map[string]any{"name": "ashby-dental", "share": 0.33, "quota_per_s": 95.0},
			map[string]any{"name": "trentside-models", "share": 0.3, "quota_per_s": 86.0},
		},
		"contract": map[string]any{
			"answer_slack": 8 * time.Millisecond, "ask_every": 10 * time.Second, "cold": 23 * time.Second,
			"cold_share": 0.14, "drain_grace": 2500 * time.Millisecond, "fall": 3 * time.Second, "overload_factor": 2.5,
		},
		"limits": map[string]any{
			"cancel": true, "connect_timeout": 75 * time.Millisecond, "idle_close": 10 * time.Second,
			"max_retry_after": 1500 * time.Millisecond, "open_cap": 24261, "peer_messages": false, "probes": true,
			"retry_after": true, "second_copies": true, "streams_per_conn": 1, "try_limit": 4,
		},
		"prices":    map[string]any{"cross_zone": 0.17, "late_fail": 0.073, "probe": 0.0074, "waste": 0.02},
		"load_info": map[string]any{"how": "none", "names": []string{}},
		"clients":   map[string]any{"marks_retry": true},
		"tier":      0, "tiers": []string{"order-web"}, "workload": "proxy",
	}
}

// writeConfig writes the configuration file of a node and returns its path.
func (s *stage) writeConfig(c nodeConfig) (string, error) {
	data, err := json.MarshalIndent(map[string]any{
		"name": c.name, "listen": c.listen, "discovery": c.discovery.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  c.discovery.all(), "settings": settings(c.nodes),
	}, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.dir, c.name+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// startNode starts a process of a node with the command of the deploy file. Processes of one node share $TMPDIR.
func (s *stage) startNode(label string, c nodeConfig) (*nodeProcess, error) {
	path, err := s.writeConfig(c)
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(s.dir, "tmp-"+c.name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, label+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("/bin/sh", "-c", runCommand)
	cmd.Dir = s.root
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "ROUTER_NAME=" + c.name, "ROUTER_LISTEN=" + c.listen,
		"ROUTER_DISCOVERY=" + c.discovery.addr, "ROUTER_CONFIG=" + path,
	}
	if c.admin != "" {
		cmd.Env = append(cmd.Env, "ROUTER_ADMIN="+c.admin)
	}
	if c.fleet != "" {
		cmd.Env = append(cmd.Env, "ROUTER_FLEET="+c.fleet)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil, errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	n := &nodeProcess{nodeConfig: c, label: label, cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		s.record.line("%s has ended: %v", label, cmd.ProcessState)
		close(n.ended)
	}()
	s.nodes = append(s.nodes, n)
	s.record.line("%s is started, clients %s, operators %s", label, c.listen, c.admin)
	return n, nil
}

// signal sends a signal to the process.
func (s *stage) signal(n *nodeProcess, sig syscall.Signal) {
	s.record.line("%s gets %v", n.label, sig)
	_ = n.cmd.Process.Signal(sig)
}

// endAll ends all processes that were started.
func (s *stage) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, n := range s.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
	}
	for _, n := range s.nodes {
		<-n.ended
	}
}

// hasEnded reports whether the process has ended.
func (n *nodeProcess) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// awaitReady waits until the node says that it is ready for clients, or returns an error after 30 s.
func (s *stage) awaitReady(n *nodeProcess) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.hasEnded() {
			return fmt.Errorf("%s has ended at its start", n.label)
		}
		resp, err := client.Get("http://" + n.listen + "/health/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.label)
}

// tell makes an operator's call at a process and returns the answer.
func (s *stage) tell(n *nodeProcess, call string) string {
	answer, err := ask(n.admin, call)
	if err != nil {
		answer = err.Error()
	}
	if call != "STATUS" {
		s.record.line("%s is told %q and answers %q", n.label, call, answer)
	}
	return answer
}

func ask(addr, call string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(conn, "%s\n", call); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line), err
}

// awaitYes waits until a process answers STATUS with a yes, or returns an error after the limit.
func (s *stage) awaitYes(n *nodeProcess, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.hasEnded() {
			return fmt.Errorf("%s has ended at its start", n.label)
		}
		if answer := s.tell(n, "STATUS"); isYes(answer) {
			s.record.line("%s says yes: %s", n.label, answer)
			return nil
		}
	}
	return fmt.Errorf("%s said no yes within %v", n.label, limit)
}

func isYes(answer string) bool { return strings.HasPrefix(answer, "SUCCESS") }

// mustTell makes an operator's call that is owed a yes.
func (s *stage) mustTell(n *nodeProcess, call string) error {
	if answer := s.tell(n, call); !isYes(answer) {
		return errors.New(n.label + ", " + call + ": " + answer)
	}
	return nil
}

// freeAddr returns a loopback address that is free now.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
