package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the tests start the program: this binary, told to be it.
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
"contract":{"ask_every":10000000000,"cold":20000000000,"cold_share":0.14,"drain_grace":2500000000,"fall":3000000000,"overload_factor":2.5},
"discovery":"subscribe","limits":{"cancel":true,"connect_timeout":75000000,"idle_close":10000000000,"max_retry_after":1500000000,
"probes":false,"retry_after":true,"second_copies":true,"try_limit":4},"n_instances":1,"kinds":["m1"],
"tenants":[{"name":"acme","share":1}],"weights":"nominal","worth_by":"request","zone":0,"zones":["a"]}}`

// process is a running program.
type process struct {
	cmd     *exec.Cmd
	addr    string
	log     io.Closer
	config  string   // the file's path
	known   []string // the peers' addresses
	env     []string
	limits  string      // a shell's words for small limits of its own; "": none
	halted  chan bool   // closed: nobody reads its log any more
	release chan bool   // closed: somebody does again
	lines   chan string // what it writes, closed at its end
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

// start runs a node before peers, of which each but the first has only just started.
func start(t *testing.T, discovery http.HandlerFunc, peers ...http.HandlerFunc) *process {
	t.Helper()
	return startAs(t, config, discovery, peers...)
}

// startAs does so with another configuration.
func startAs(t *testing.T, config string, discovery http.HandlerFunc, peers ...http.HandlerFunc) *process {
	t.Helper()
	n := prepare(t, config, discovery, peers...)
	n.launch(t)
	return n
}

// startUnder does so with small limits of the program's own.
func startUnder(t *testing.T, limits string, discovery http.HandlerFunc, peers ...http.HandlerFunc) *process {
	t.Helper()
	n := prepare(t, config, discovery, peers...)
	n.limits = limits
	n.launch(t)
	return n
}

// prepare has all there for a node but the node.
func prepare(t *testing.T, config string, discovery http.HandlerFunc, peers ...http.HandlerFunc) *process {
	t.Helper()
	list := httptest.NewServer(discovery)
	t.Cleanup(list.Close)
	var known, addrs []string
	started := int64(0)
	for i, peer := range peers {
		server := httptest.NewServer(peer)
		t.Cleanup(server.Close)
		addrs = append(addrs, server.Listener.Addr().String())
		known = append(known, fmt.Sprintf(`{"id":"s-%d","addr":%q,"zone":"a","kind":"m1","state":"Ready","started_ms":%d}`,
			i, server.Listener.Addr(), started))
		started = time.Now().UnixMilli()
	}
	env := environment(t, "127.0.0.1:0", list.Listener.Addr().String(), fmt.Sprintf(config, strings.Join(known, ",")))
	env = append(env, "TMPDIR="+t.TempDir())
	return &process{known: addrs, env: env, config: strings.TrimPrefix(env[3], "ROUTER_CONFIG=")}
}

// launch starts the program in its environment, and waits until it listens.
func (n *process) launch(t *testing.T) {
	t.Helper()
	n.launchQuietly(t)
	n.listening(t, n.until(t, "msg=started"))
}

// listening takes the node's address from a line of its log.
func (n *process) listening(t *testing.T, line string) {
	t.Helper()
	found := regexp.MustCompile(`listen=(\S+)`).FindStringSubmatch(line)
	if found == nil {
		t.Fatalf("it does not listen: %s", line)
	}
	n.addr = found[1]
}

// stick has nobody read the log any more until what it returns is closed.
func (n *process) stick() chan bool {
	close(n.halted)
	return n.release
}

// launchQuietly starts the program.
func (n *process) launchQuietly(t *testing.T) {
	t.Helper()
	n.lines, n.halted, n.release = make(chan string, 1000), make(chan bool), make(chan bool)
	n.cmd = executable(t, n.env...)
	under(n.cmd, n.limits)
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
			case <-n.halted:
				<-n.release
			}
		}
	}()
}

// unchanged is discovery that has nothing new to tell.
func unchanged(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// until waits for a line that holds text.
func (n *process) until(t *testing.T, text string) string {
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

// ids gives each request one of its own.
var ids atomic.Int64

func (n *process) ask(t *testing.T, method, target, class, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.addr+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, v := range map[string]string{"X-Call-Id": fmt.Sprint("9b1f-", ids.Add(1)), "X-Call-Class": class, "X-Caller": "acme", "X-Budget": "5"} {
		req.Header.Set(name, v)
	}
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

// TestProgram serves calls, tells its counters when asked, and gives what is
// open at SIGTERM its answer, as well as what comes shortly after.
func TestProgram(t *testing.T) {
	held, release := make(chan bool), make(chan bool)
	n := start(t, unchanged, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/held" {
			held <- true
			<-release
		}
		fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", r.Header.Get("X-Call-Id"), " ", string(body))
	})
	if status, _ := n.ask(t, "GET", "/health/ready", "", ""); status != 200 {
		t.Errorf("ready: %d", status)
	}
	if status, got := n.ask(t, "POST", "/api?user=%61b", "book", "paid"); status != 200 || got != fmt.Sprintf("POST /api?user=%%61b 9b1f-%d paid", ids.Load()) {
		t.Errorf("%d %q", status, got)
	}
	if status, _ := n.ask(t, "GET", "/api", "gift", ""); status != 400 {
		t.Errorf("unknown class: %d", status)
	}
	n.cmd.Process.Signal(syscall.SIGUSR1)
	if line := n.until(t, "when=asked"); !strings.Contains(line, `process="allocations=`) || !strings.Contains(line, "malformed=1") || !strings.Contains(line, "taken=1 served=1") {
		t.Error(line)
	}
	answers := make(chan int)
	go func() {
		status, _ := n.ask(t, "GET", "/held", "status", "")
		answers <- status
	}()
	<-held
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.until(t, "msg=draining")
	http.DefaultClient.CloseIdleConnections()
	if status, _ := n.ask(t, "GET", "/api", "status", ""); status != 200 { // on a new connection
		t.Errorf("just after SIGTERM: %d", status)
	}
	if status, _ := n.ask(t, "GET", "/health/ready", "", ""); status != 503 {
		t.Errorf("ready after SIGTERM: %d", status)
	}
	close(release)
	if status := <-answers; status != 200 {
		t.Errorf("the open call: %d", status)
	}
	if line := n.until(t, "when=exit"); !strings.Contains(line, "taken=3 served=3") {
		t.Error(line)
	}
	for range n.lines { // to its end
	}
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestNothingLostAtTheEnd: clients go on through a planned end until they are
// refused. What ran was answered, each once: a client whose connection closed
// under its request may send it again.
func TestNothingLostAtTheEnd(t *testing.T) {
	var ran, answered atomic.Int64
	n := start(t, unchanged, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
	var clients sync.WaitGroup
	serving := make(chan bool, 4)
	for range cap(serving) {
		clients.Go(func() {
			client := http.Client{Transport: &http.Transport{}}
			for i := range 20000 {
				req, err := http.NewRequest("POST", "http://"+n.addr+"/api", strings.NewReader("paid"))
				if err != nil {
					t.Error(err)
					return
				}
				req.Header = http.Header{"X-Call-Id": {fmt.Sprint(ids.Add(1))}, "X-Call-Class": {"book"}, "X-Caller": {"acme"}, "X-Budget": {"1.5"}}
				resp, err := client.Do(req)
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode == 200 {
						answered.Add(1)
					}
				}
				if i == 0 {
					serving <- true
				}
			}
		})
	}
	for range cap(serving) {
		<-serving
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	clients.Wait()
	n.until(t, "when=exit")
	if ran.Load() == 0 || ran.Load() != answered.Load() {
		t.Errorf("%d ran, %d were answered", ran.Load(), answered.Load())
	}
}

// TestDrainingPeer: once the upstream group says that a peer drains, it gets
// nothing, and the client is told when to come back.
func TestDrainingPeer(t *testing.T) {
	var calls, tries atomic.Int64
	told := make(chan bool)
	n := start(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			io.WriteString(w, `{"version":2,"full":false,"servers":[{"id":"s-0","addr":"127.0.0.1:1","state":"Terminating"}]}`)
			return
		}
		close(told) // the next call comes once the first answer was handed to the decisions
		<-r.Context().Done()
	}, func(http.ResponseWriter, *http.Request) { tries.Add(1) })
	<-told
	if status, _ := n.ask(t, "POST", "/api", "book", "x"); status != 503 || tries.Load() != 0 {
		t.Errorf("status %d after %d tries", status, tries.Load())
	}
}

// TestColdPeer: a peer that has only just started gets little at first. It
// guards the way of started_ms to the decisions, whose time is monotonic.
func TestColdPeer(t *testing.T) {
	var warm, cold atomic.Int64
	n := start(t, unchanged, func(http.ResponseWriter, *http.Request) { warm.Add(1) },
		func(http.ResponseWriter, *http.Request) { cold.Add(1) })
	const calls = 100
	for range calls {
		if status, _ := n.ask(t, "GET", "/api", "status", ""); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	if warm.Load()+cold.Load() != calls || cold.Load() > calls/5 {
		t.Errorf("%d to the warm peer, %d to the cold one", warm.Load(), cold.Load())
	}
}

// TestLogReaderGone: a log that nobody reads any more must not end the node.
func TestLogReaderGone(t *testing.T) {
	n := start(t, unchanged, func(http.ResponseWriter, *http.Request) {})
	n.log.Close()
	n.cmd.Process.Signal(syscall.SIGUSR1)
	if status, _ := n.ask(t, "GET", "/api", "status", ""); status != 200 {
		t.Errorf("status %d", status)
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestReload: at SIGHUP a good file moves the watch at once and keeps the open
// call; a bad one changes nothing and says so in one line.
func TestReload(t *testing.T) {
	held, release := make(chan bool), make(chan bool)
	n := start(t, unchanged, func(w http.ResponseWriter, r *http.Request) {
		held <- true
		<-release
	})
	asked := make(chan string, 10)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.RequestURI
		<-r.Context().Done()
	}))
	defer other.Close()
	status := make(chan int)
	go func() {
		got, _ := n.ask(t, "POST", "/api", "book", "paid")
		status <- got
	}()
	<-held
	hup := func(old, new string) {
		text := strings.Replace(fmt.Sprintf(config, ""), old, new, 1)
		if err := os.WriteFile(n.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		n.cmd.Process.Signal(syscall.SIGHUP)
	}
	moved := fmt.Sprintf(`{"discovery":%q,`, other.Listener.Addr())
	hup("{", `{"discovery":"nowhere",`)
	n.until(t, `msg="reload refused" reason="configuration: discovery: `)
	hup("{", "")
	n.until(t, `msg="reload refused" reason="configuration: `)
	hup(`{"name":"n0"`, moved+`"name":"n1"`)
	n.until(t, `msg="reload refused" reason="configuration: name `)
	if len(asked) != 0 {
		t.Error("a refused file moved the watch")
	}
	hup(`"name":"book"`, `"name":"gift"`)
	n.until(t, `msg="reload refused" reason="configuration: a name in settings.classes `)
	hup("{", moved)
	if uri := <-asked; uri != "/registry/instances" {
		t.Errorf("asked for %s: versions of another discovery do not compare", uri)
	}
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("the open call: %d", got)
	}
	hup(`"connect_timeout":75000000`, `"connect_timeout":1`) // settings take effect as well
	n.until(t, "msg=reloaded")
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.until(t, "msg=draining")
	n.cmd.Process.Signal(syscall.SIGHUP)
	n.until(t, "msg=reloaded")
	n.until(t, "when=exit")
}

// TestBadStart: one clear line and a non-zero exit code.
func TestBadStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	good := environment(t, "127.0.0.1:0", "127.0.0.1:1", fmt.Sprintf(config, ""))
	for want, env := range map[string][]string{
		"variable ROUTER_NAME is missing": append(good[1:], "ROUTER_NAME="),
		"no such file":                    append(good[:3:3], "ROUTER_CONFIG=missing.json"),
		"configuration: ":                 environment(t, "127.0.0.1:0", "127.0.0.1:1", "{"),
		"variable ROUTER_LISTEN: ":        environment(t, "nowhere", "127.0.0.1:1", fmt.Sprintf(config, "")),
		"listening: listen tcp " + taken.Addr().String(): environment(t, taken.Addr().String(), "127.0.0.1:1",
			fmt.Sprintf(config, "")),
	} {
		out, err := executable(t, env...).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 ||
			!strings.Contains(string(out), want) {
			t.Errorf("want %q: %v, %q", want, err, out)
		}
	}
}

// TestAddressOfTheDyingProcess: a process that starts while the one before it still accepts, as it is told to, takes its
// place once that one has left the address.
func TestAddressOfTheDyingProcess(t *testing.T) {
	n := start(t, unchanged, func(http.ResponseWriter, *http.Request) {})
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.until(t, "msg=draining")
	next := &process{env: append(slices.Clone(n.env), "ROUTER_LISTEN="+n.addr), config: n.config}
	next.launch(t)
	if status, _ := next.ask(t, "GET", "/api", "status", ""); status != 200 || next.addr != n.addr {
		t.Errorf("status %d at %s, want 200 at %s", status, next.addr, n.addr)
	}
}
