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

// upProcess is a child process that runs the command up.
type upProcess struct {
	cmd    *exec.Cmd
	in     io.WriteCloser
	out    *bufio.Reader
	output strings.Builder
	pids   []int
	node   string // address of the last node listed
	curl   string
}

// startUp starts the command up as a child process and reads its output up to the line with the curl command.
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
	u.out = bufio.NewReader(io.TeeReader(out, &u.output))
	node := regexp.MustCompile(`^node n\d+ +http://(\S+)  pid (\d+) `)
	for u.curl == "" {
		line, err := u.out.ReadString('\n')
		if err != nil {
			t.Fatalf("reading the output of up: %v after %s", err, u.output.String())
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

// wait reads the output to its end and waits for the process. It returns the exit code and the whole output, and
// reports nodes that still run.
func (u *upProcess) wait(t *testing.T) (code int, output string) {
	t.Helper()
	io.Copy(io.Discard, u.out)
	u.cmd.Wait()
	for _, pid := range u.pids {
		if syscall.Kill(pid, 0) == nil {
			t.Errorf("node with pid %d still runs after up has ended", pid)
		}
	}
	return u.cmd.ProcessState.ExitCode(), u.output.String()
}

// Guards the command that new users run first: up builds the node, its curl line works unchanged, and it ends by itself
// after --for and leaves no process behind.
func TestUp(t *testing.T) {
	u := startUp(t, "--for", "2s", "--plain")
	u.in.Close() // the end of standard input does not end the run
	parts := regexp.MustCompile(`-H '([^:']+): ([^']+)'`).FindAllStringSubmatch(u.curl, -1)
	url := regexp.MustCompile(`'(http://[^']+)'`).FindStringSubmatch(u.curl)
	if len(parts) != 4 || url == nil || len(u.pids) != 2 {
		t.Fatalf("curl line %s has no 4 headers and URL, or nodes are not 2: %d", u.curl, len(u.pids))
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
		t.Errorf("%s: status %d with body %.80q and error %v, want 200 and call=try-1", u.curl, a.StatusCode, body, err)
	}
	code, output := u.wait(t)
	table := regexp.MustCompile(`(?m)^ +1s  asked \d+ served \d+ .* worth [\d.]+% .*n1 up.*peers: 6 up`)
	total := regexp.MustCompile(`\nin [23]s: asked \d\d+, served \d\d+ in time[^;\n]*\n$`)
	if code != 0 || !table.MatchString(output) || !total.MatchString(output) {
		t.Errorf("exit %d, want 0, or unexpected output: %s", code, output)
	}
}

func TestUpEndsOnRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(u *upProcess)
		output string
	}{
		{"quit", func(u *upProcess) { io.WriteString(u.in, "help\nkill p01\nkill p9\nquit\n") },
			`(?s)heal \[NAME\].*p01 is killed\nkill: no peer or node named "p9"\nending`},
		{"a signal after the end of its input", func(u *upProcess) {
			u.in.Close()
			for lines := 0; lines < 2; { // two more lines of the table show that the run continues
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
			if code, output := u.wait(t); code != 0 || !regexp.MustCompile(c.output).MatchString(output) {
				t.Errorf("exit %d, want 0, or unexpected output: %s", code, output)
			}
		})
	}
}

// Guards against nodes that outlive the program that started them: a node ends even if up is killed.
func TestNodesEndWhenUpIsKilled(t *testing.T) {
	u := startUp(t, "--nodes", "1")
	u.cmd.Process.Kill()
	u.cmd.Wait()
	for deadline := time.Now().Add(10 * time.Second); ; { // the read returns when the node closes the idle connection
		c, err := net.Dial("tcp", u.node)
		if err != nil {
			return
		}
		c.SetReadDeadline(deadline)
		c.Read(make([]byte, 1))
		if c.Close(); time.Now().After(deadline) {
			syscall.Kill(u.pids[0], syscall.SIGKILL)
			t.Fatal("the node still accepts connections 10s after up was killed")
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
			t.Errorf("up %s: exit %d with unexpected stderr %s", args, code, errs)
		}
	}
}
