package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the program instead of the tests if OLIVEBRIDGE_TEST_PROGRAM is set: the tests start their own binary
// with that variable.
func TestMain(m *testing.M) {
	if os.Getenv("OLIVEBRIDGE_TEST_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const config = `{"name":"n0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":256},
"known":{"version":1,"full":true,"servers":[%s]},
"settings":{"classes":[{"name":"status","aim":5000000000,"deadline":9000000000,"gain":2,"idempotency":"pure"},
{"name":"book","aim":1000000000,"deadline":1500000000,"gain":2,"idempotency":"side_effect"}],
"contract":{"ask_every":10000000000,"cold":20000000000,"cold_share":0.14,"drain_grace":2500000000,
"fall":3000000000,"overload_factor":2.5},
"discovery":"subscribe","limits":{"cancel":true,"connect_timeout":75000000,"idle_close":10000000000,
"max_retry_after":1500000000,
"probes":false,"retry_after":true,"second_copies":true,"try_limit":4},"n_instances":1,"kinds":["m1"],
"tenants":[{"name":"acme","share":1}],"weights":"nominal","worth_by":"request","zone":0,"zones":["a"]}}`

// process is one process of the program, with its configuration.
type process struct {
	cmd         *exec.Cmd
	addr        string // the address on which it listens for clients
	log         io.Closer
	config      string   // path of the configuration file
	serverAddrs []string // addresses of the servers in the configuration, in order
	env         []string
	limits      string      // shell commands that limit the process's resources; "": no limits
	logBlocked  chan bool   // closed when the test stops reading the log
	logReleased chan bool   // closed when the test reads the log again
	lines       chan string // lines of the log; closed when the log ends
}

// executable returns a command that runs the program with additional variables.
func executable(t *testing.T, env ...string) *exec.Cmd {
	t.Helper()
	path := os.Args[0]
	if built := os.Getenv("OLIVEBRIDGE_PROGRAM"); built != "" { // the production binary
		path = built
	}
	cmd := exec.CommandContext(t.Context(), path)
	cmd.Env = append(append(os.Environ(), "OLIVEBRIDGE_TEST_PROGRAM=1"), env...)
	return cmd
}

// environment writes a configuration file with the given text and returns the variables of a node that reads it.
func environment(t *testing.T, listen, discovery, text string) []string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"ROUTER_NAME=n0", "ROUTER_LISTEN=" + listen, "ROUTER_DISCOVERY=" + discovery, "ROUTER_CONFIG=" + path}
}

// start starts a node with one server for each handler. The first server started long ago; the others are in slow
// start.
func start(t *testing.T, discovery http.HandlerFunc, handlers ...http.HandlerFunc) *process {
	t.Helper()
	return startWithConfig(t, config, discovery, handlers...)
}

// startWithConfig is like start, with the given configuration.
func startWithConfig(t *testing.T, config string, discovery http.HandlerFunc, handlers ...http.HandlerFunc) *process {
	t.Helper()
	n := prepare(t, config, discovery, handlers...)
	n.launch(t)
	return n
}

// startWithLimits is like start, with limits on the program's resources.
func startWithLimits(t *testing.T, limits string, discovery http.HandlerFunc, handlers ...http.HandlerFunc) *process {
	t.Helper()
	n := prepare(t, config, discovery, handlers...)
	n.limits = limits
	n.launch(t)
	return n
}

// prepare starts discovery and the servers of a node and writes its configuration, but does not start the node.
func prepare(t *testing.T, config string, discovery http.HandlerFunc, handlers ...http.HandlerFunc) *process {
	t.Helper()
	list := httptest.NewServer(discovery)
	t.Cleanup(list.Close)
	var known, addrs []string
	started := int64(0)
	for i, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addrs = append(addrs, server.Listener.Addr().String())
		known = append(known, fmt.Sprintf(`{"id":"s-%d","addr":%q,"zone":"a","kind":"m1","state":"Ready","started_ms":%d}`,
			i, server.Listener.Addr(), started))
		started = time.Now().UnixMilli()
	}
	env := environment(t, "127.0.0.1:0", list.Listener.Addr().String(), fmt.Sprintf(config, strings.Join(known, ",")))
	env = append(env, "TMPDIR="+t.TempDir())
	return &process{serverAddrs: addrs, env: env, config: strings.TrimPrefix(env[3], "ROUTER_CONFIG=")}
}

// newProcess returns another process of the same node, which is not started yet, with additional variables.
func (n *process) newProcess(env ...string) *process {
	return &process{serverAddrs: n.serverAddrs, config: n.config, env: append(slices.Clone(n.env), env...)}
}

// launch starts the program and waits until it listens.
func (n *process) launch(t *testing.T) {
	t.Helper()
	n.launchWithoutWaiting(t)
	n.readAddr(t, n.waitForLog(t, "msg=started"))
}

// launchWithoutWaiting starts the program and begins to read its log.
func (n *process) launchWithoutWaiting(t *testing.T) {
	t.Helper()
	n.lines, n.logBlocked, n.logReleased = make(chan string, 1000), make(chan bool), make(chan bool)
	n.cmd = executable(t, n.env...)
	withLimits(n.cmd, n.limits)
	out, err := n.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	n.log = out
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(n.lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			select {
			case n.lines <- s.Text():
			case <-n.logBlocked:
				<-n.logReleased
			}
		}
	}()
}

// readAddr sets n.addr to the address in a line of the node's log.
func (n *process) readAddr(t *testing.T, line string) {
	t.Helper()
	found := regexp.MustCompile(`listen=(\S+)`).FindStringSubmatch(line)
	if found == nil {
		t.Fatalf("log line has no listen address: %s", line)
	}
	n.addr = found[1]
}

// blockLog stops reading the log until the returned channel is closed.
func (n *process) blockLog() chan bool {
	close(n.logBlocked)
	return n.logReleased
}

// withLimits makes cmd run in a shell that executes the commands in limits first; "": no limits.
func withLimits(cmd *exec.Cmd, limits string) {
	if limits != "" {
		cmd.Args = []string{"sh", "-c", limits + `; exec "$0"`, cmd.Path}
		cmd.Path = "/bin/sh"
	}
}

// waitForLog returns the next line of the log that contains text. The test fails if the log ends first.
func (n *process) waitForLog(t *testing.T, text string) string {
	t.Helper()
	last := ""
	for last = range n.lines {
		if strings.Contains(last, text) {
			return last
		}
	}
	t.Fatalf("the log ended without a line that contains %q; its last line: %s", text, last)
	return ""
}

// shutdown shuts the process down gracefully and waits until it has exited.
func (n *process) shutdown(t *testing.T) {
	t.Helper()
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitForLog(t, "when=exit")
	for range n.lines {
	}
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("process did not exit with code 0: %v", err)
	}
}

// replaceInConfig replaces the first occurrence of old in the configuration file by new.
func (n *process) replaceInConfig(t *testing.T, old, new string) {
	t.Helper()
	text, err := os.ReadFile(n.config)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.config, bytes.Replace(text, []byte(old), []byte(new), 1), 0o600); err != nil {
		t.Fatal(err)
	}
}

// reloadWith is like replaceInConfig, and then makes the process reload its configuration.
func (n *process) reloadWith(t *testing.T, old, new string) {
	t.Helper()
	n.replaceInConfig(t, old, new)
	n.cmd.Process.Signal(syscall.SIGHUP)
}

// markServersWarm changes the configuration file so that all servers started long ago.
func (n *process) markServersWarm(t *testing.T) {
	t.Helper()
	text, err := os.ReadFile(n.config)
	if err != nil {
		t.Fatal(err)
	}
	text = regexp.MustCompile(`"started_ms":\d+`).ReplaceAll(text, []byte(`"started_ms":0`))
	if err := os.WriteFile(n.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// unchangedList is a handler for discovery whose list never changes: it leaves each poll unanswered.
func unchangedList(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// lastCallID is the number of call IDs that the tests have used.
var lastCallID atomic.Int64

// callHeader returns the header of a request. The timeout is in seconds.
func callHeader(id, class, timeout string) http.Header {
	return http.Header{"X-Call-Id": {id}, "X-Call-Class": {class}, "X-Caller": {"acme"}, "X-Budget": {timeout}}
}

// call sends a request with a timeout of 5 s and returns the status and body of the response.
func (n *process) call(t *testing.T, method, target, class, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.addr+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	maps.Copy(req.Header, callHeader(fmt.Sprint("9b1f-", lastCallID.Add(1)), class, "5"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, string(data)
}

// send adds the header of a call to req and sends it. The caller must close the response body.
func (n *process) send(t *testing.T, req *http.Request, class string) (int, io.ReadCloser) {
	t.Helper()
	maps.Copy(req.Header, callHeader(fmt.Sprint("9b1f-", lastCallID.Add(1)), class, "5"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, http.NoBody
	}
	return resp.StatusCode, resp.Body
}
