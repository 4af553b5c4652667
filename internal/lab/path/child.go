package path

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"olivebridge/internal/cost"
	"olivebridge/internal/protocol"
)

// memoryMB is the memory of the machine, in MB, in the node's configuration.
const memoryMB = 192

// nodeConfiguration is the configuration of the measured node. The latency objectives are so long that load on the
// machine changes no decision.
const nodeConfiguration = `{"name":"n0","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":%d,"sockets":2048},
"known":%s,
"settings":{"classes":[{"name":"read","aim":5000000000,"deadline":9000000000,"gain":2,"idempotency":"pure"},
{"name":"write","aim":5000000000,"deadline":9000000000,"gain":2,"idempotency":"side_effect"}],
"contract":{"ask_every":10000000000,"cold":20000000000,"cold_share":0.14,"drain_grace":2500000000,
"fall":3000000000,"overload_factor":2.5},
"discovery":"subscribe","limits":{"cancel":true,"connect_timeout":1000000000,"idle_close":60000000000,
"max_retry_after":1500000000,"probes":false,"retry_after":true,"second_copies":true,"try_limit":4},
"n_instances":1,"kinds":["m1"],"tenants":[{"name":"acme","share":1}],"weights":"nominal",
"worth_by":"request","zone":0,"zones":["a"]}}`

// child is a measured child process: a node, or the proxy that it is compared with.
type child struct {
	cmd        *exec.Cmd
	addr       string
	lines      chan string // lines of its log; closed when it ends
	otherLines []string    // first log lines that nobody waited for, for the error if it exits early
	endOnce    sync.Once
}

// startupTimeout is the time within which a child must write an expected log line, after its start or after a signal.
const startupTimeout = 20 * time.Second

// startNode starts a node in front of the servers with the given addresses. It writes the node's configuration to dir.
func startNode(ctx context.Context, program, dir string, peers []string, discovery string,
	env ...string) (*child, error) {
	file := filepath.Join(dir, "node.json")
	if err := os.WriteFile(file, fmt.Appendf(nil, nodeConfiguration, memoryMB, endpointList(peers)), 0o600); err != nil {
		return nil, fmt.Errorf("the node's configuration: %w", err)
	}
	cmd := exec.CommandContext(ctx, program)
	cmd.Env = append(os.Environ(), protocol.EnvName+"=n0", protocol.EnvListen+"=127.0.0.1:0",
		protocol.EnvDiscovery+"="+discovery, protocol.EnvConfig+"="+file)
	cmd.Env = append(cmd.Env, env...)
	return startChild(cmd)
}

// startProxy starts the proxy that the node is compared with: a command that calls ServeProxy. gc is its GOGC; 0 means
// the default of Go.
func startProxy(ctx context.Context, command, peers []string, gc int) (*child, error) {
	cmd := exec.CommandContext(ctx, command[0], slices.Concat(command[1:], peers)...)
	if cmd.Env = os.Environ(); gc > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("GOGC=%d", gc))
	}
	return startChild(cmd)
}

var startedPattern = regexp.MustCompile(`msg=started .*listen=(\S+)|msg=started listen=(\S+)`)

// startChild starts a child with GOMAXPROCS=1 and waits until it listens.
func startChild(cmd *exec.Cmd) (*child, error) {
	cmd.Env = append(cmd.Env, "GOMAXPROCS=1", "GOTRACEBACK=single")
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", cmd.Path, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", cmd.Path, err)
	}
	c := &child{cmd: cmd, lines: make(chan string, 64)}
	go c.readLog(out)
	m, err := c.waitForLine(startedPattern)
	if err != nil {
		c.kill()
		return nil, err
	}
	c.addr = m[1] + m[2]
	return c, nil
}

// readLog sends the lines of the child's log to c.lines, except those of ended connections, which would fill the
// channel.
func (c *child) readLog(out io.Reader) {
	defer close(c.lines)
	in := bufio.NewScanner(out)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		if line := in.Text(); !strings.Contains(line, "connection ended") {
			c.lines <- line
		}
	}
	_, _ = io.Copy(io.Discard, out)
}

// waitForLine waits for a log line of the child that matches pattern and returns its submatches.
func (c *child) waitForLine(pattern *regexp.Regexp) ([]string, error) {
	timeout := time.After(startupTimeout)
	for {
		select {
		case line, ok := <-c.lines:
			if !ok {
				return nil, fmt.Errorf("%s ended early: %s", filepath.Base(c.cmd.Path),
					strings.Join(c.otherLines, "; "))
			}
			if m := pattern.FindStringSubmatch(line); m != nil {
				return m, nil
			}
			if len(c.otherLines) < 5 {
				c.otherLines = append(c.otherLines, line)
			}
		case <-timeout:
			return nil, fmt.Errorf("%s: no line %q within %v", filepath.Base(c.cmd.Path), pattern, startupTimeout)
		}
	}
}

var countersPattern = regexp.MustCompile(`msg=counters when=asked process="([^"]*)"`)

// usage requests the child's counters and returns the resources that it has used since its start.
func (c *child) usage() (cost.Usage, error) {
	if err := c.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		return cost.Usage{}, fmt.Errorf("asking %s for its counters: %w", filepath.Base(c.cmd.Path), err)
	}
	m, err := c.waitForLine(countersPattern)
	if err != nil {
		return cost.Usage{}, err
	}
	return cost.Parse(m[1])
}

func (c *child) pid() int { return c.cmd.Process.Pid }

// kill kills the child, which has no state to save, and waits until it has ended.
func (c *child) kill() {
	c.endOnce.Do(func() {
		_ = c.cmd.Process.Kill()
		for range c.lines { // until the channel is closed
		}
		_ = c.cmd.Wait() // fails: the child was ended by a signal, or the tracer reaped it first
	})
}
