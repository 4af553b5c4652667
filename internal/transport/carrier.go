package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"olivebridge/brain"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// CarrierConfig is what a Carrier is made from.
type CarrierConfig struct {
	ConnectTimeout time.Duration // a connection that comes later has not come
	IdleClose      time.Duration // peers close a connection idle for this long
	DrainGrace     time.Duration // first bytes to a leaving peer end within this time
	MaxConns       int           // connections to all peers together
	Log            *slog.Logger
}

// Carrier brings tries and probes to peers over pooled connections.
type Carrier struct {
	config    CarrierConfig
	transport *http.Transport
	conns     atomic.Int64
}

// errNoRoom says that this node may open no further connection.
var errNoRoom = errors.New("no descriptor left for a connection")

// NewCarrier makes a Carrier.
func NewCarrier(c CarrierConfig) *Carrier {
	k := &Carrier{config: c}
	k.transport = &http.Transport{
		// Proxy, TLS and HTTP/2 stay off: peers speak HTTP/1.1 over plain TCP.
		DialContext:            k.dial,
		DisableCompression:     true, // or it would ask for gzip and unpack the body
		MaxIdleConns:           max(c.MaxConns*3/4, 1),
		MaxIdleConnsPerHost:    max(c.MaxConns*3/4, 1),
		IdleConnTimeout:        c.IdleClose * 7 / 10, // safely before the peer closes: a request crossing that is reset
		MaxResponseHeaderBytes: 64 << 10,
		ReadBufferSize:         8 << 10,
		WriteBufferSize:        8 << 10,
	}
	return k
}

func (k *Carrier) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if k.conns.Add(1) > int64(k.config.MaxConns) {
		k.transport.CloseIdleConnections() // guards the descriptors; a handshake more beats a try less
		if k.conns.Load() > int64(k.config.MaxConns) {
			k.conns.Add(-1)
			return nil, errNoRoom
		}
	}
	d := net.Dialer{Timeout: k.config.ConnectTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		k.conns.Add(-1)
		return nil, err
	}
	p := &peerConn{Conn: conn}
	p.life = newLife(k.config.Log, "peer", addr, func() { k.conns.Add(-1) })
	return p, nil
}

// Close closes the connections that carry nothing.
func (k *Carrier) Close() { k.transport.CloseIdleConnections() }

// Try implements routing.Carrier.
func (k *Carrier) Try(ctx context.Context, t routing.Try) routing.TryResult {
	m, ok := t.Payload.(*message)
	if !ok {
		return routing.TryResult{Result: brain.Moot}
	}
	header := maps.Clone(m.header)
	header[protocol.HeaderBudget] = []string{protocol.FormatSeconds(time.Until(t.Until))}
	return k.exchange(ctx, t.Peer, m, header)
}

// Probe implements routing.Carrier.
func (k *Carrier) Probe(ctx context.Context, p *routing.Peer) brain.Result {
	ctx, stop := context.WithTimeoutCause(ctx, 4*k.config.ConnectTimeout, routing.ErrTimeUp)
	defer stop()
	m := &message{method: http.MethodGet, target: protocol.PathLive, host: p.Addr}
	return k.exchange(ctx, p, m, http.Header{}).Result
}

// exchange sends one message to a peer, at most once, and waits for the answer.
func (k *Carrier) exchange(ctx context.Context, p *routing.Peer, m *message, header http.Header) routing.TryResult {
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // none came, none goes on
	}
	w := &writing{ctx: ctx, peer: p, grace: k.config.DrainGrace}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*peerConn); ok {
			w.conn.Store(c)
			c.now.Store(w)
		}
	}})
	req := (&http.Request{
		Method: m.method, Host: m.host, Header: header, ContentLength: int64(len(m.body)),
		URL: &url.URL{Scheme: "http", Host: p.Addr, Opaque: m.target}, // Opaque goes out as it is
		// http.Transport sends a request again by itself when a reused connection breaks, which would be a
		// hidden second try, if its body is nil or can be had anew. So the body is never nil and has no GetBody.
		Body: io.NopCloser(bytes.NewReader(m.body)),
	}).WithContext(ctx)
	if len(m.body) == 0 && m.method != http.MethodGet {
		req.TransferEncoding = []string{"identity"} // an empty body must not go out chunked
	}
	resp, err := k.transport.RoundTrip(req)
	if err != nil {
		return routing.TryResult{Result: w.failed(err)}
	}
	defer resp.Body.Close()
	defer w.done()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		// such a body has no end, and a cancelled context would not give it one
		return routing.TryResult{Result: brain.Errored}
	}
	if resp.Close {
		w.because("peer-asked")
	}
	body, err := readBody(resp.Body, resp.ContentLength)
	res := protocol.ResultOf(resp.StatusCode, resp.Header.Get(protocol.HeaderRejected))
	switch {
	case res != brain.OK:
		return routing.TryResult{Result: res}
	case err != nil:
		return routing.TryResult{Result: w.failed(err)}
	case len(body) > protocol.MaxBody:
		w.because("oversize")
		return routing.TryResult{Result: brain.Errored}
	}
	return routing.TryResult{Result: brain.OK, Reply: &reply{header: endToEnd(resp.Header), body: body}}
}
