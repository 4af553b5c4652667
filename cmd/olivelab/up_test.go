package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// upProcess is a call of up, as a process.
type upProcess struct {
	cmd  *exec.Cmd
	in   io.WriteCloser
	out  *bufio.Reader
	said strings.Builder
	pids []int
	node string // an address
	curl string
}

// startUp starts it and reads up to the line that tells how to try it.
func startUp(t *testing.T, args ...string) *upProcess {
	t.Helper()
	u := &upProcess{cmd: exec.CommandContext(t.Context(), os.Args[0], append([]string{"up"}, args...)...)}
	out, err := u.cmd.StdoutPipe()
	if err == nil {
		u.in, err = u.cmd.StdinPipe()
	}
	u.cmd.Stderr = os.Stderr
	if err == nil {
		err = u.cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	u.out = bufio.NewReader(io.TeeReader(out, &u.said))
	node := regexp.MustCompile(`^node n\d+ +http://(\S+)  pid (\d+) `)
	for u.curl == "" {
		line, err := u.out.ReadString('\n')
		if err != nil {
			t.Fatalf("%v after %s", err, u.said.String())
		}
		if m := node.FindStringSubmatch(line); m != nil {
			u.node = m[1]
			u.pids = append(u.pids, parsePID(m[2]))
		}
		if strings.HasPrefix(line, "curl ") {
			u.curl = line
		}
	}
	return u
}

func parsePID(s string) (n int) {
	for _, c := range s {
		n = 10*n + int(c-'0')
	}
	return n
}

// wait reads to the end, and returns the exit code and all that was said.
func (u *upProcess) wait(t *testing.T) (code int, said string) {
	t.Helper()
	io.Copy(io.Discard, u.out)
	u.cmd.Wait()
	for _, pid := range u.pids {
		if syscall.Kill(pid, 0) == nil {
			t.Errorf("node %d is still there", pid)
		}
	}
	return u.cmd.ProcessState.ExitCode(), u.said.String()
}

// Guards the first command that anybody gives: it builds its node, its curl line works as it stands, and it ends
// by itself with nothing left.
func TestUp(t *testing.T) {
	u := startUp(t, "--for", "2s", "--plain")
	u.in.Close() // its end cuts nothing short
	parts := regexp.MustCompile(`-H '([^:']+): ([^']+)'`).FindAllStringSubmatch(u.curl, -1)
	url := regexp.MustCompile(`'(http://[^']+)'`).FindStringSubmatch(u.curl)
	if len(parts) != 4 || url == nil || len(u.pids) != 2 {
		t.Fatalf("%s with %d nodes", u.curl, len(u.pids))
	}
	q, err := http.NewRequest("GET", url[1], nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range parts {
		q.Header.Set(p[1], p[2])
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(a.Body)
	a.Body.Close()
	if err != nil || a.StatusCode != 200 || !strings.Contains(string(body), "call=try-1 ") {
		t.Errorf("%s gave %d %.80q: %v", u.curl, a.StatusCode, body, err)
	}
	code, said := u.wait(t)
	table := regexp.MustCompile(`(?m)^ +1s  asked \d+ served \d+ .* worth [\d.]+% .*n1 up.*peers: 6 up`)
	total := regexp.MustCompile(`\nin [23]s: asked \d\d+, served \d\d+ in time[^;\n]*\n$`)
	if code != 0 || !table.MatchString(said) || !total.MatchString(said) {
		t.Errorf("exit %d after %s", code, said)
	}
}

func TestUpEndsOnRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(u *upProcess)
		said string
	}{
		{"quit", func(u *upProcess) { io.WriteString(u.in, "help\nkill p01\nkill p9\nquit\n") },
			`(?s)heal \[NAME\].*p01 is killed\nkill: no peer or node named "p9"\nending`},
		{"a signal after the end of its input", func(u *upProcess) {
			u.in.Close()
			for lines := 0; lines < 2; { // of the table: it goes on
				line, err := u.out.ReadString('\n')
				if err != nil {
					return
				}
				if strings.Contains(line, "asked") {
					lines++
				}
			}
			u.cmd.Process.Signal(syscall.SIGTERM)
		}, `(?s)asked.*\n.*ending`},
		{"an interrupt", func(u *upProcess) { u.cmd.Process.Signal(os.Interrupt) }, `ending`},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startUp(t, "--peers", "2", "--nodes", "1")
			c.do(u)
			if code, said := u.wait(t); code != 0 || !regexp.MustCompile(c.said).MatchString(said) {
				t.Errorf("exit %d after %s", code, said)
			}
		})
	}
}

// A node must not outlive whoever started it, whatever becomes of that.
func TestNodesEndWhenUpIsKilled(t *testing.T) {
	u := startUp(t, "--nodes", "1")
	u.cmd.Process.Kill()
	u.cmd.Wait()
	for deadline := time.Now().Add(10 * time.Second); ; { // a node closes a connection that says nothing
		c, err := net.Dial("tcp", u.node)
		if err != nil {
			return
		}
		c.SetReadDeadline(deadline)
		c.Read(make([]byte, 1))
		if c.Close(); time.Now().After(deadline) {
			syscall.Kill(u.pids[0], syscall.SIGKILL)
			t.Fatal("the node goes on")
		}
	}
}

func TestUpRejectsBadFlags(t *testing.T) {
	for args, want := range map[string]string{
		"--peers 0": "--peers 0: not from 1 to 200", "--nodes 999": "--nodes 999: not from 1 to 200",
		"--rate 0": "--rate 0: not from 1 to 20000", "--for -1s": "--for -1s: below 0",
		"--node no/where": "--node: no/where: no such file or directory", "--node .": "--node: .: not a program",
		"--nodes 1 --node /bin/false": "node n1 ended: exit status 1\n",
	} {
		code, _, errs := runTool(t, append([]string{"up"}, strings.Fields(args)...)...)
		if code != exitUsage || !strings.HasPrefix(errs, "olivelab: "+want) || strings.Count(errs, "\n") != 1 {
			t.Errorf("%s: exit %d, %s", args, code, errs)
		}
	}
}
