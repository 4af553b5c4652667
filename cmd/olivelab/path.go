package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/mutant"
	"olivebridge/internal/lab/path"
)

// proxyCommand is the name of the hidden command that path starts as a child process to serve the reference proxy.
const proxyCommand = "path-proxy"

func pathCommand() *cobra.Command {
	var o path.Options
	var file, tolerances string
	var check, accept bool
	c := &cobra.Command{
		Use:   "path",
		Short: "meters what a request on the plain path costs a node, next to httputil.ReverseProxy",
		Long: "Builds the node, starts it as a child before stand-in peers, and reports per request: allocations, " +
			"system calls, bytes copied, and processor time next to httputil.ReverseProxy. " +
			"Run in the source tree, with go. With --check, exit 1 if a count has risen beyond its tolerance.",
		Args: cobra.NoArgs,
	}
	c.Flags().StringVar(&file, "json", "", "where the report goes as JSON")
	c.Flags().StringVar(&o.Node, "node", "", "a node `program` that is built already, best with the tag meter")
	c.Flags().StringVar(&o.Overlay, "overlay", "", "an overlay `file` for the build of the node")
	c.Flags().StringSliceVar(&o.Loads, "load", nil, "the loads' `names`, of get,single,upload,answer; none: all")
	c.Flags().IntVar(&o.Pairs, "pairs", 3, "how often node and proxy are measured in turn")
	c.Flags().IntVar(&o.ProxyGC, "proxy-gc", 0, "GOGC of the proxy, 400 as in a node say; 0: Go's own")
	c.Flags().BoolVar(&o.Short, "short", false, "fewer requests and one pair: the counts hold, the times are rough")
	c.Flags().BoolVar(&check, "check", false, "compare the counts with the tolerances")
	c.Flags().BoolVar(&accept, "accept", false, "write the counts into the tolerances")
	c.Flags().StringVar(&tolerances, "tolerances", "", "the `directory` of the tolerances; \"\": the source tree's")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if o.Pairs < 1 {
			return errors.New("--pairs: at least 1")
		}
		if check && accept {
			return errors.New("--check and --accept: only one of them")
		}
		if o.Short {
			o.Pairs = 1
		}
		var err error
		if o.Root, err = mutant.Root(); err != nil && (o.Node == "" || (check || accept) && tolerances == "") {
			return err
		}
		if tolerances == "" {
			tolerances = filepath.Join(o.Root, filepath.FromSlash(path.TolerancesDir))
		}
		var t *path.Tolerances
		if check || accept {
			if t, err = path.ReadTolerances(tolerances); err != nil {
				return err
			}
		}
		self, err := os.Executable()
		if err != nil {
			return fmt.Errorf("path of the running program: %w", err)
		}
		out, err := createOutput(file)
		if err != nil {
			return err
		}
		defer out.discard()
		if o.Progress = c.ErrOrStderr(); file != "" || !check && !accept { // without a report, the check needs no times
			o.Proxy = []string{self, proxyCommand}
		}
		r, err := path.Measure(c.Context(), o)
		if err != nil {
			return err
		}
		if err := out.write(r.JSON); err != nil {
			return err
		}
		switch {
		case check:
			return checkPath(c.OutOrStdout(), r, t)
		case accept:
			for _, why := range r.NotCounted {
				fmt.Fprintln(c.OutOrStdout(), "not counted: "+why)
			}
			return t.Accept(r, tolerances)
		}
		r.Text(c.OutOrStdout())
		return nil
	}
	return c
}

// checkPath compares a report with the tolerances and prints the differences. It returns errFailed if a count has risen
// beyond its tolerance.
func checkPath(w io.Writer, r *path.Report, t *path.Tolerances) error {
	result := r.CheckAgainst(t)
	for _, line := range result.Risen {
		fmt.Fprintln(w, "risen: "+line)
	}
	for _, line := range result.Fallen {
		fmt.Fprintln(w, "fallen, accept it: "+line)
	}
	for _, line := range result.NotChecked {
		fmt.Fprintln(w, "not checked: "+line)
	}
	for _, why := range r.NotCounted {
		fmt.Fprintln(w, "not counted: "+why)
	}
	fmt.Fprintf(w, "%d counts hold, %d have risen, %d have fallen, %d were not checked\n",
		result.Held, len(result.Risen), len(result.Fallen), len(result.NotChecked))
	if len(result.Risen) == 0 {
		return nil
	}
	if t.Go != r.Go {
		fmt.Fprintf(w, "the tolerances are of %s, this is %s\n", t.Go, r.Go)
	}
	return errFailed
}

// pathProxyCommand returns the hidden command that serves the httputil.ReverseProxy with which path compares the node.
func pathProxyCommand() *cobra.Command {
	return &cobra.Command{
		Use: proxyCommand, Hidden: true, Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, peers []string) error {
			return path.ServeProxy(c.Context(), peers, c.ErrOrStderr())
		},
	}
}
