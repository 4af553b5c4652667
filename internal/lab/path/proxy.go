package path

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"olivebridge/internal/cost"
)

// ServeProxy runs the proxy with which a node's processor time is compared: httputil.ReverseProxy with http.Transport,
// which sends requests to the peers in turn. Its settings are the defaults, except that it keeps up to 256 idle
// connections per peer, does not request compression and has server timeouts. On SIGUSR1 it logs its counters in the
// format of a node. It serves until ctx ends.
func ServeProxy(ctx context.Context, peers []string, out io.Writer) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	asked := make(chan os.Signal, 4)
	signal.Notify(asked, syscall.SIGUSR1)
	defer signal.Stop(asked)
	var next atomic.Uint64
	server := &http.Server{
		ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 10 * time.Second, WriteTimeout: 30 * time.Second,
		ErrorLog: log.New(out, "", 0),
		Handler: &httputil.ReverseProxy{
			Rewrite: func(r *httputil.ProxyRequest) {
				r.Out.URL.Scheme, r.Out.URL.Host = "http", peers[next.Add(1)%uint64(len(peers))]
			},
			Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
			ErrorLog:  log.New(out, "", 0),
		},
	}
	_, _ = fmt.Fprintf(out, "msg=started listen=%s\n", l.Addr())
	go func() {
		for {
			select {
			case <-asked:
				_, _ = fmt.Fprintf(out, "msg=counters when=asked process=%q\n", cost.Read())
			case <-ctx.Done():
				_ = server.Close()
				return
			}
		}
	}()
	if err := server.Serve(l); ctx.Err() == nil {
		return fmt.Errorf("proxy: %w", err)
	}
	return nil
}
