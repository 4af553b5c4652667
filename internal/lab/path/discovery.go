package path

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"olivebridge/internal/protocol"
)

// discovery is a stub of the discovery service. It lists the stub servers and never reports a change.
type discovery struct {
	addr   string
	server *http.Server
	stop   context.CancelFunc
}

// endpointList returns the endpoint list of the servers with the given addresses, in the format of discovery.
func endpointList(addresses []string) string {
	var entries []string
	for i, addr := range addresses {
		entries = append(entries, fmt.Sprintf(
			`{"id":"p-%02d","addr":%q,"zone":"a","kind":"m1","state":"Ready","weight":1,"started_ms":0}`, i, addr))
	}
	return `{"version":1,"full":true,"servers":[` + strings.Join(entries, ",") + `]}`
}

func startDiscovery(addresses []string) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	life, stop := context.WithCancel(context.Background())
	list := endpointList(addresses)
	mux := http.NewServeMux()
	mux.HandleFunc(protocol.PathEndpoints, func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("after") == "" {
			_, _ = io.WriteString(w, list)
			return
		}
		wait, _ := strconv.Atoi(r.FormValue("wait_ms")) // an invalid value becomes 0: respond at once
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-life.Done():
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, `{"version":1,"full":false,"servers":[]}`)
	})
	d := &discovery{addr: l.Addr().String(), server: &http.Server{Handler: mux}, stop: stop}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

func (d *discovery) close() {
	d.stop()
	_ = d.server.Close()
}
