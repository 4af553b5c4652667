// Command rig2 plays the cases of the second review. Each has stand-ins for servers, discovery and clients on loopback
// addresses, and starts the nodes as processes with the command of the deploy file. It exits with 1 if the rule of the
// case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// testCase plays a case. broken has one line for each break of the rule.
type testCase func(s *stage) (broken []string, err error)

var cases = map[string]testCase{
	"upload-at-restart": uploadAtRestart,
	"many-at-once":      manyAtOnce,
	"ban-beside-hang":   banBesideHang,
	"ban-of-one-node":   banOfOneNode,
	"second-answer":     secondAnswer,
	"length-of-answer":  lengthOfAnswer,
	"copy-after-kill":   copyAfterKill,
	"length-of-request": lengthOfRequest,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE ROOT RECORD")
		os.Exit(exitUnable)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, root, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	s := &stage{root: root, dir: dir, record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.line("case %s, with the disruption: %v", name, s.trouble)
	s.endEarly()
	broken, err := cases[name](s)
	s.endAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitUnable
	case len(broken) > 0:
		for _, line := range broken {
			rec.line("BROKEN: %s", line)
		}
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	rec.line("the rule held")
	fmt.Println("held")
	return exitHeld
}

// timeLimit is the longest time for a case, with some time to end its processes.
const timeLimit = 110 * time.Second

// endEarly ends the case, with all processes that it started, at its time limit or when it is told to end.
func (s *stage) endEarly() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-told:
		case <-time.After(timeLimit):
		}
		s.record.line("could not run to its end")
		s.endAll()
		_ = os.RemoveAll(s.dir)
		os.Exit(exitUnable)
	}()
}

// constantWork is a work of the same duration for each request.
func constantWork(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}

// startServers starts a number of stand-in servers, s-1 and so on.
func (s *stage) startServers(count int, work func(*http.Request) time.Duration) ([]*server, error) {
	var servers []*server
	for i := range count {
		started, err := startServer(s.record, fmt.Sprintf("s-%d", i+1), work)
		if err != nil {
			return nil, err
		}
		servers = append(servers, started)
	}
	return servers, nil
}
