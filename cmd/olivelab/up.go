package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/live"
)

// upOptions holds the flags of the command up.
type upOptions struct {
	peers, nodes int
	rate         float64
	length       time.Duration
	node         string
	plain        bool
}

// unlimited is the duration of a run without --for, longer than any real run.
const unlimited = 1000000 * time.Hour

func upCommand() *cobra.Command {
	var u upOptions
	c := &cobra.Command{
		Use:   "up",
		Short: "starts peers, discovery, nodes and a little load on loopback, in real time",
		Long: "Starts stand-in peers, discovery, nodes and a little load on loopback, in real time, and shows once a " +
			"second how it goes. Standard input takes commands: " + strings.Join(commandNames(), ", ") + ". It ends with " +
			"quit, Ctrl-C or SIGTERM, or after --for. The end of standard input cuts nothing short.",
		Args: cobra.NoArgs,
	}
	c.Flags().IntVar(&u.peers, "peers", 6, "how many peers")
	c.Flags().IntVar(&u.nodes, "nodes", 2, "how many nodes")
	c.Flags().Float64Var(&u.rate, "rate", 60, "requests a second, of all clients")
	c.Flags().DurationVar(&u.length, "for", 0, "for how long; 0: until it is told to end")
	c.Flags().StringVar(&u.node, "node", "", "the node's `program`; \"\": built from the source tree")
	c.Flags().BoolVar(&u.plain, "plain", false, "one line a second, on a terminal too")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := u.validate(); err != nil {
			return err
		}
		err := u.run(c)
		if c.Context().Err() != nil { // an interrupt is the regular way to end the command
			return nil
		}
		return err
	}
	return c
}

func (u *upOptions) validate() error {
	for _, f := range []struct {
		name     string
		n, least int
	}{{"peers", u.peers, 1}, {"nodes", u.nodes, 1}} {
		if f.n < f.least || f.n > 200 {
			return fmt.Errorf("--%s %d: not from %d to 200", f.name, f.n, f.least)
		}
	}
	if !(u.rate >= 1 && u.rate <= 20000) {
		return fmt.Errorf("--rate %g: not from 1 to 20000", u.rate)
	}
	if u.length < 0 {
		return fmt.Errorf("--for %v: below 0", u.length)
	}
	if u.node == "" {
		return nil
	}
	if err := live.CheckProgram(u.node); err != nil {
		return fmt.Errorf("--node: %w", shortPathError(err))
	}
	return nil
}

func (u *upOptions) run(c *cobra.Command) error {
	ctx, out, errs := c.Context(), c.OutOrStdout(), c.ErrOrStderr()
	dir, err := os.MkdirTemp("", "olivelab-up-")
	if err != nil {
		return shortPathError(err)
	}
	defer os.RemoveAll(dir)
	node := u.node
	if node == "" {
		fmt.Fprintln(errs, "building the node")
		node, err = live.Build(ctx, dir)
	} else {
		node, err = filepath.Abs(node)
	}
	if err != nil {
		return err
	}
	s := newScreen(out, u.plain)
	r, err := live.Start(ctx, live.Sample(u.peers, u.nodes, u.rate), live.Options{
		Node: node, Dir: dir, Length: cmp.Or(u.length, unlimited), Log: s,
	})
	if err != nil {
		return err
	}
	s.begin(introLines(r, dir), r.Table())
	stopRequested := u.watch(ctx, r, s, c.InOrStdin())
	s.end()
	fmt.Fprintln(out, "ending: clients leave, the nodes drain")
	if stopRequested {
		r.Stop()
	} else {
		r.Wait() // open requests are answered; errors have already been displayed
	}
	fmt.Fprintln(out, totalLine(r.Table()))
	return nil
}

// watch displays the run each second and executes the commands from in until the run ends. It returns true if a command
// or the cancellation of ctx requested the end, and false if the duration has elapsed or the run ended by itself.
func (u *upOptions) watch(ctx context.Context, r *live.Run, s *screen, in io.Reader) (stopRequested bool) {
	commands := make(chan string)
	go func() { // this goroutine lasts until the program exits, because a read from a terminal cannot be canceled
		lines := bufio.NewScanner(in)
		for lines.Scan() {
			commands <- strings.TrimSpace(lines.Text())
		}
		close(commands)
	}()
	each := time.NewTicker(time.Second)
	defer each.Stop()
	for {
		select {
		case <-each.C:
			t := r.Table()
			s.update(t)
			if u.length > 0 && t.At >= u.length {
				return false
			}
		case <-r.Done():
			return false
		case <-ctx.Done():
			return true
		case command, ok := <-commands:
			switch {
			case !ok: // end of standard input: no more commands, and the run continues
				commands = nil
			case command == "quit", command == "exit":
				return true
			case command == "help":
				s.printLine(live.Help + "\nquit               end")
			case command != "":
				answer, err := r.Do(command)
				if err != nil {
					answer = err.Error()
				}
				s.printLine(answer)
			}
		}
	}
}

// commandNames returns the names of the commands accepted on standard input.
func commandNames() []string {
	var all []string
	for line := range strings.SplitSeq(live.Help, "\n") {
		verb, _, _ := strings.Cut(line, " ")
		all = append(all, verb)
	}
	return append(all, "help", "quit")
}

// introLines returns the addresses of discovery, nodes and peers, a curl command for a first request, and the names of
// the commands.
func introLines(r *live.Run, dir string) []string {
	t := r.Table()
	lines := []string{"discovery   http://" + r.Resolve("registry:8500") + "/registry/instances"}
	for _, n := range t.Nodes {
		lines = append(lines, fmt.Sprintf("node %-6s http://%s  pid %d  log %s",
			n.Name, n.Addr, n.PID, filepath.Join(dir, n.Name+".log")))
	}
	var peers []string
	for _, p := range t.Peers {
		peers = append(peers, p.Name+" "+p.Addr)
	}
	for len(peers) > 0 {
		some := peers[:min(len(peers), 4)]
		peers = peers[len(some):]
		lines = append(lines, "peers       "+strings.Join(some, "  "))
	}
	return append(lines, "", fmt.Sprintf("curl -i -H 'X-Call-Id: try-1' -H 'X-Call-Class: quote' -H 'X-Caller: acme' "+
		"-H 'X-Budget: 0.600' 'http://%s/api?user=me'", t.Nodes[0].Addr), "",
		"commands: "+strings.Join(commandNames(), ", "))
}
