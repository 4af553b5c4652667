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

// TestMain lets the tests start the program: it is this binary, with a variable set.
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

// process is a running program.
type process struct {
	cmd         *exec.Cmd
	addr        string // where clients connect
	log         io.Closer
	config      string // the file's path
	serverAddrs []string
	env         []string
	limits      string      // a shell's words for limits of its own; "": none
	logBlocked  chan bool   // closed: nobody reads its log any more
	logReleased chan bool   // closed: somebody does again
	lines       chan string // of its log, closed at its end
}

func executable(t *testing.T, env ...string) *exec.Cmd {
	t.Helper()
	path := os.Args[0]
	if built := os.Getenv("OLIVEBRIDGE_PROGRAM"); built != "" { // as it is in service
		path = built
	}
	cmd := exec.CommandContext(t.Context(), path)
	cmd.Env = append(append(os.Environ(), "OLIVEBRIDGE_TEST_PROGRAM=1"), env...)
	return cmd
}

func environment(t *testing.T, listen, discovery, text string) []string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"ROUTER_NAME=n0", "ROUTER_LISTEN=" + listen, "ROUTER_DISCOVERY=" + discovery, "ROUTER_CONFIG=" + path}
}

// start runs a node with servers, of which each but the first has only just started.
func start(t *testing.T, discovery http.HandlerFunc, handlers ...http.HandlerFunc) *process {
	t.Helper()
	return startWithConfig(t, config, discovery, handlers...)
}

// startWithConfig does as start, with another configuration.
func startWithConfig(t *testing.T, config string, discovery http.HandlerFunc, handlers ...http.HandlerFunc) *process {
	t.Helper()
	n := prepare(t, config, discovery, handlers...)
	n.launch(t)
	return n
}

// startWithLimits does as start, with limits of the program's own.
func startWithLimits(t *testing.T, limits string, discovery http.HandlerFunc, handlers ...http.HandlerFunc) *process {
	t.Helper()
	n := prepare(t, config, discovery, handlers...)
	n.limits = limits
	n.launch(t)
	return n
}

// prepare starts all that a node needs, but not the node.
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

// sibling is another process of the same node, with variables of its own.
func (n *process) sibling(env ...string) *process {
	return &process{serverAddrs: n.serverAddrs, config: n.config, env: append(slices.Clone(n.env), env...)}
}

// launch starts the program in its environment, and waits until it listens.
func (n *process) launch(t *testing.T) {
	t.Helper()
	n.launchWithoutWaiting(t)
	n.readAddr(t, n.waitForLog(t, "msg=started"))
}

// launchWithoutWaiting starts the program.
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

// readAddr takes the node's address from a line of its log.
func (n *process) readAddr(t *testing.T, line string) {
	t.Helper()
	found := regexp.MustCompile(`listen=(\S+)`).FindStringSubmatch(line)
	if found == nil {
		t.Fatalf("it does not listen: %s", line)
	}
	n.addr = found[1]
}

// blockLog has nobody read the log any more until the returned channel is closed.
func (n *process) blockLog() chan bool {
	close(n.logBlocked)
	return n.logReleased
}

// withLimits runs the program under a shell's words for limits of its own; "": none.
func withLimits(cmd *exec.Cmd, limits string) {
	if limits != "" {
		cmd.Args = []string{"sh", "-c", limits + `; exec "$0"`, cmd.Path}
		cmd.Path = "/bin/sh"
	}
}

// waitForLog waits for a line of the log that contains text.
func (n *process) waitForLog(t *testing.T, text string) string {
	t.Helper()
	last := ""
	for last = range n.lines {
		if strings.Contains(last, text) {
			return last
		}
	}
	t.Fatalf("the program ended without %q; its last line: %s", text, last)
	return ""
}

// shutdown shuts a process down gracefully, and waits for that.
func (n *process) shutdown(t *testing.T) {
	t.Helper()
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitForLog(t, "when=exit")
	for range n.lines {
	}
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// replaceInConfig changes the configuration.
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

// reloadWith changes the configuration, and has the program reload it.
func (n *process) reloadWith(t *testing.T, old, new string) {
	t.Helper()
	n.replaceInConfig(t, old, new)
	n.cmd.Process.Signal(syscall.SIGHUP)
}

// markServersWarm has all servers listed as started long ago.
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

// unchanged is a discovery whose list never changes.
func unchanged(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// ids numbers the requests.
var ids atomic.Int64

// callHeader is that of a request of a class, with a timeout in seconds.
func callHeader(id, class, timeout string) http.Header {
	return http.Header{"X-Call-Id": {id}, "X-Call-Class": {class}, "X-Caller": {"acme"}, "X-Budget": {timeout}}
}

func (n *process) call(t *testing.T, method, target, class, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.addr+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	maps.Copy(req.Header, callHeader(fmt.Sprint("9b1f-", ids.Add(1)), class, "5"))
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

// send sends a request of a class; the caller closes the response's body.
func (n *process) send(t *testing.T, req *http.Request, class string) (int, io.ReadCloser) {
	t.Helper()
	maps.Copy(req.Header, callHeader(fmt.Sprint("9b1f-", ids.Add(1)), class, "5"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, http.NoBody
	}
	return resp.StatusCode, resp.Body
}
