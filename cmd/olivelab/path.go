package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/path"
	"olivebridge/internal/lab/plant"
)

// proxyCommand is the hidden command that path starts as a child.
const proxyCommand = "path-proxy"

func pathCommand() *cobra.Command {
	var o path.Options
	var file string
	c := &cobra.Command{
		Use:   "path",
		Short: "meters what a request on the plain path costs a node, next to httputil.ReverseProxy",
		Long: "Builds the node, starts it as a child before stand-in peers, and reports per request: allocations, " +
			"bytes, system calls, processor time next to httputil.ReverseProxy. " +
			"Run in the source tree, with go.",
		Args: cobra.NoArgs,
	}
	c.Flags().StringVar(&file, "json", "", "where the report goes as JSON")
	c.Flags().StringVar(&o.Node, "node", "", "a node `program` that is built already")
	c.Flags().StringVar(&o.Overlay, "overlay", "", "an overlay `file` for the build of the node")
	c.Flags().IntVar(&o.Pairs, "pairs", 3, "how often node and proxy are measured in turn")
	c.Flags().BoolVar(&o.Short, "short", false, "fewer requests: the counts hold, the times are rough")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if o.Pairs < 1 {
			return errors.New("--pairs: at least 1")
		}
		var err error
		if o.Root, err = plant.Root(); err != nil && o.Node == "" {
			return err
		}
		self, err := os.Executable()
		if err != nil {
			return fmt.Errorf("this program: %w", err)
		}
		out, err := create(file)
		if err != nil {
			return err
		}
		defer out.drop()
		o.Proxy, o.Progress = []string{self, proxyCommand}, c.ErrOrStderr()
		r, err := path.Measure(c.Context(), o)
		if err != nil {
			return err
		}
		r.Text(c.OutOrStdout())
		return out.write(r.JSON)
	}
	return c
}

// pathProxyCommand is how path starts this program to be measured against.
func pathProxyCommand() *cobra.Command {
	return &cobra.Command{
		Use: proxyCommand, Hidden: true, Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, peers []string) error {
			return path.ServeProxy(c.Context(), peers, c.ErrOrStderr())
		},
	}
}
