package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxCaseTime ends a case that hangs.
const maxCaseTime = 115 * time.Second

// caseRun is one run of a case: its processes, its record and its folder for temporary files.
type caseRun struct {
	trouble bool   // false: the case runs without its disruption
	root    string // of the repository
	temp    string

	mu      sync.Mutex
	record  *os.File
	running []*process
	runs    map[string]int // how often servers have run each request, by its id
}

// process is a process that the case started.
type process struct {
	name  string
	cmd   *exec.Cmd
	stdin io.WriteCloser
	ended chan struct{}
}

// runCase runs a case and returns its exit code. The environment variables REVIEW_ROOT and REVIEW_RECORD have the root
// of the repository and the path of the record.
func runCase(run func(*caseRun) (bool, error)) int {
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", root: os.Getenv("REVIEW_ROOT"), runs: map[string]int{}}
	var err error
	if c.record, err = os.Create(os.Getenv("REVIEW_RECORD")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if c.temp, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	end := func() {
		c.stopAll()
		_ = os.RemoveAll(c.temp)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxCaseTime):
		}
		c.logf("the case was ended before it was complete")
		end()
		os.Exit(exitFailed)
	}()
	c.logf("trouble: %v", c.trouble)
	broken, err := run(c)
	end()
	switch {
	case err != nil:
		c.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken:
		c.logf("verdict: the rule was BROKEN")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	c.logf("verdict: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// logf writes a line with the time to the record.
func (c *caseRun) logf(format string, args ...any) {
	c.writeLine(clock(time.Now()) + " " + fmt.Sprintf(format, args...))
}

func (c *caseRun) writeLine(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintln(c.record, line)
	if _, rest, ok := strings.Cut(line, ": runs "); ok {
		id, _, _ := strings.Cut(rest, ",")
		c.runs[id]++
	}
}

// runsOf returns how often servers have run a request.
func (c *caseRun) runsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// start starts a process and copies its output to the record, each line after prefix.
func (c *caseRun) start(name, prefix string, cmd *exec.Cmd) (*process, error) {
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	var err error
	if p.stdin, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, write, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout = write
	cmd.Stderr = write
	cmd.Dir = c.root
	err = cmd.Start()
	_ = write.Close()
	if err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			c.writeLine(prefix + lines.Text())
		}
		_ = out.Close()
	}()
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	c.mu.Lock()
	c.running = append(c.running, p)
	c.mu.Unlock()
	return p, nil
}

// signal sends a signal to a process that the case started.
func (c *caseRun) signal(p *process, s syscall.Signal) error {
	c.logf("signal %v to %s (process %d)", s, p.name, p.cmd.Process.Pid)
	return p.cmd.Process.Signal(s)
}

// stopAll kills all processes that still run and waits for their end.
func (c *caseRun) stopAll() {
	c.mu.Lock()
	running := c.running
	c.running = nil
	c.mu.Unlock()
	for _, p := range slices.Backward(running) { // nodes before discovery
		_ = p.cmd.Process.Kill() // also ends a stopped process; an error means that it has ended
		<-p.ended
	}
}

// freeAddr returns a free loopback address.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// limits are the limits of a node.
type limits struct {
	memoryMB  int
	sockets   int
	operators bool // whether the node has an address for operators
}

// The limits of the scored days (DEPLOY), and half of them (DAYS, "Hard days").
var (
	usualLimits  = limits{memoryMB: 192, sockets: 1024}
	halvedLimits = limits{memoryMB: 96, sockets: 512}
)

// platform is a small deployment: discovery, servers and nodes.
type platform struct {
	run       *caseRun
	discovery *process
	registry  string // address of discovery
	servers   map[string]*process
	entries   []entry
	nodes     []*node
}

// node is a running node.
type node struct {
	*process
	addr  string
	admin string // the address for operators; "": there is none
	dir   string // its folder, with TMPDIR in it
	env   []string
}

// startPlatform starts discovery, servers named s-1, s-2 and so on, and nodes named n1, n2 and so on, and waits until
// all nodes are ready.
func (c *caseRun) startPlatform(servers, nodes int, limits limits) (*platform, error) {
	p := &platform{run: c, servers: map[string]*process{}}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if p.registry, err = freeAddr(); err != nil {
		return nil, err
	}
	if p.discovery, err = c.start("discovery", "", exec.Command(self, "discovery", p.registry)); err != nil {
		return nil, err
	}
	for i := range servers {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("s-%d", i+1)
		if p.servers[name], err = c.start("server "+name, "", exec.Command(self, "server", name, addr)); err != nil {
			return nil, err
		}
		e := entry{ID: name, Addr: addr, Zone: "tamworth", Kind: "std-single", Cell: 1, State: "Ready", Weight: 1}
		p.entries = append(p.entries, e)
		if err := p.list(e); err != nil {
			return nil, err
		}
	}
	for i := range nodes {
		n, err := p.configureNode(i, nodes, limits)
		if err != nil {
			return nil, err
		}
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
	time.Sleep(time.Second) // the first lists and probes
	return p, nil
}

// list tells discovery of a server.
func (p *platform) list(e entry) error {
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(p.discovery.stdin, "%s\n", data)
	return err
}

// runLine is the command of the deploy file that starts a node.
var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// configureNode writes the configuration of a node.
func (p *platform) configureNode(number, nodes int, limits limits) (*node, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("n%d", number+1)
	n := &node{addr: addr, dir: filepath.Join(p.run.temp, name)}
	if err := os.MkdirAll(filepath.Join(n.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	if err := p.writeConfig(n, number, nodes, limits, settings(nodes)); err != nil {
		return nil, err
	}
	path := filepath.Join(n.dir, "config.json")
	n.env = append(os.Environ(), "ROUTER_NAME="+name, "ROUTER_LISTEN="+addr, "ROUTER_DISCOVERY="+p.registry,
		"ROUTER_CONFIG="+path, "TMPDIR="+filepath.Join(n.dir, "tmp"))
	if limits.operators {
		if n.admin, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// startNode starts a process of a node with the command of the deploy file.
func (p *platform) startNode(n *node) (*process, error) {
	deploy, err := os.ReadFile(filepath.Join(p.run.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	line := runLine.FindSubmatch(deploy)
	if line == nil {
		return nil, fmt.Errorf("deploy file: no run line")
	}
	cmd := exec.Command("/bin/sh", "-c", string(line[1]))
	cmd.Env = n.env
	if n.admin != "" {
		cmd.Env = append(slices.Clone(n.env), "ROUTER_ADMIN="+n.admin)
	}
	name := filepath.Base(n.dir)
	return p.run.start("node "+name, "    "+name+" log: ", cmd)
}

// awaitReady waits until a node answers its readiness check with 200.
func (n *node) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + n.addr + "/health/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready", n.addr)
}

// class returns the settings of a class of requests.
func class(name, effect string, aim, deadline time.Duration, gain float64) map[string]any {
	return map[string]any{
		"name": name, "idempotency": effect, "aim": aim, "deadline": deadline, "gain": gain, "late_worth": 0.0,
		"key_scope": "all", "window": 5 * time.Second, "stream": false,
	}
}

// settings returns the settings of the deployment calder-orders as the wire page shows them, for one zone.
func settings(nodes int) map[string]any {
	tenant := func(name string, share, quota float64) map[string]any {
		return map[string]any{"name": name, "share": share, "quota_per_s": quota}
	}
	return map[string]any{
		"n_instances": nodes, "worth_by": "request", "over_share_worth": 0.05, "weights": "nominal",
		"discovery": "subscribe", "zones": []string{"tamworth", "derby"}, "zone": 0,
		"kinds": []string{"fast-single", "std-single", "slow-dual"},
		"classes": []any{
			class("job-status", "pure", 150*time.Millisecond, 300*time.Millisecond, 2),
			class("quote", "pure", 200*time.Millisecond, 600*time.Millisecond, 1),
			class("slot-book", "side_effect", 200*time.Millisecond, 600*time.Millisecond, 2),
			class("order-confirm", "side_effect", 300*time.Millisecond, 1500*time.Millisecond, 10),
		},
		"tenants": []any{tenant("fernley-motors", 0.37, 106), tenant("ashby-dental", 0.33, 95), tenant("trentside-models", 0.3, 86)},
		"contract": map[string]any{
			"answer_slack": 8 * time.Millisecond, "ask_every": 10 * time.Second, "cold": 23 * time.Second, "cold_share": 0.14,
			"drain_grace": 2500 * time.Millisecond, "fall": 3 * time.Second, "overload_factor": 2.5,
		},
		"limits": map[string]any{
			"cancel": true, "connect_timeout": 75 * time.Millisecond, "idle_close": serverIdleTimeout,
			"max_retry_after": 1500 * time.Millisecond, "probes": true, "retry_after": true, "second_copies": true,
			"try_limit": 4, "open_cap": 24261, "streams_per_conn": 1,
		},
		"prices": map[string]any{"cross_zone": 0.17, "probe": 0.0074, "waste": 0.02, "late_fail": 0.073},
	}
}

// operator sends one line to the address for operators and returns the answer.
func (c *caseRun) operator(addr, line string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	answer = strings.TrimSpace(answer)
	c.logf("operator at %s: %s: %s", addr, line, answer)
	return answer, err
}

// startSuccessor starts a node's program once more with another address for operators, and waits until the new process
// says yes, for 6 s at most.
func (p *platform) startSuccessor(n *node) (*node, error) {
	next := *n
	var err error
	if next.admin, err = freeAddr(); err != nil {
		return nil, err
	}
	if next.process, err = p.startNode(&next); err != nil {
		return nil, err
	}
	next.name += " (new process)"
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if answer, err := p.run.operator(next.admin, "STATUS"); err == nil && strings.HasPrefix(answer, "SUCCESS") {
			return &next, nil
		}
	}
	return nil, errors.New("the new process did not say yes")
}
