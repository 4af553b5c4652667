package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// How a planned end goes; see Front.Drain.
const (
	drainKeep   = 500 * time.Millisecond // new connections keep coming for up to 0.4 s
	drainAccept = 800 * time.Millisecond // calls that come within 0.7 s are still owed an answer
	drainSpare  = 2 * time.Second        // beyond the longest deadline: no open call is ever cut off
)

// shedRetryAfter is when a client turned away for want of descriptors should come back.
const shedRetryAfter = 500 * time.Millisecond

// connKey finds a request's client connection in its context.
type connKey struct{}

// Taker takes calls, once it is ready: routing's first stage.
type Taker interface {
	Take(ctx context.Context, c routing.Call) (a routing.Answer, ok bool)
	Ready() bool
}

// Front is the HTTP server that client connections reach.
type Front struct {
	names   protocol.Names
	taker   Taker
	log     *slog.Logger
	server  *http.Server
	clients *clients
	leaving atomic.Bool
	badly   atomic.Int64 // requests answered with a plain 4xx
	shed    atomic.Int64 // requests turned away for want of descriptors
}

// NewFront makes a front for at most maxClients client connections on l.
func NewFront(l net.Listener, names protocol.Names, taker Taker, maxClients int, log *slog.Logger) *Front {
	f := &Front{names: names, taker: taker, log: log, clients: newClients(l, maxClients, log)}
	f.server = &http.Server{
		Handler:   f,
		ConnState: f.clients.state,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout:       20 * time.Second,
		WriteTimeout:      30 * time.Second,
		IdleTimeout:       5 * time.Minute,
		MaxHeaderBytes:    32 << 10,
	}
	return f
}

// Serve serves until Drain or Close.
func (f *Front) Serve() error {
	err := f.server.Serve(f.clients)
	if f.leaving.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("front: %w", err)
}

// Shed counts the requests turned away for want of descriptors.
func (f *Front) Shed() int64 { return f.shed.Load() }

// Malformed counts the requests answered with a plain 4xx.
func (f *Front) Malformed() int64 { return f.badly.Load() }

// Drain ends the front at a planned restart. Clients still arrive for a while,
// so it goes on accepting; then it closes client connections as they fall idle,
// stops accepting, and waits for what is open.
func (f *Front) Drain(longest time.Duration) {
	f.leaving.Store(true)
	ctx, stop := context.WithTimeout(context.Background(), longest+drainSpare)
	defer stop()
	time.Sleep(drainKeep)
	f.clients.leave()
	time.Sleep(drainAccept - drainKeep)
	f.clients.Close()
	if left := f.clients.drain(ctx); left > 0 {
		f.log.Warn("client connections were open at the end", "left", left)
	}
	f.server.Close()
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() { // a panic that reached net/http would end the connection without an answer: a lost call
		if p := recover(); p != nil {
			f.log.Error("panic", "in", "front", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
			w.WriteHeader(http.StatusInternalServerError)
		}
	}()
	if r.URL.Path == protocol.PathReady {
		if f.leaving.Load() || !f.taker.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	call, status, err := f.read(r)
	if err != nil {
		f.badly.Add(1)
		if status == http.StatusRequestEntityTooLarge {
			w.Header().Set("Connection", "close") // what is left of the body is not worth reading
		}
		http.Error(w, err.Error(), status)
		return
	}
	if f.clients.crowded() { // guards the descriptors: no try, and room for the next
		f.shed.Add(1)
		w.Header().Set("Connection", "close")
		f.answer(w, routing.Answer{Verdict: routing.Reject, RetryAfter: shedRetryAfter})
		return
	}
	a, ok := f.taker.Take(r.Context(), call)
	if !ok { // nobody should read it, but net/http must not make it an empty 200
		a = routing.Answer{Verdict: routing.Failed}
	}
	f.answer(w, a)
}

// read takes a call out of a request, or says which 4xx it deserves.
func (f *Front) read(r *http.Request) (routing.Call, int, error) {
	if strings.HasPrefix(r.RequestURI, "//") {
		// net/url would write such a target in another form than it came
		return routing.Call{}, http.StatusBadRequest, errors.New("target: begins with two slashes")
	}
	call, err := f.names.ParseCall(func(name string) []string { return r.Header[name] }, r.URL.RawQuery)
	if err != nil {
		return call, http.StatusBadRequest, err
	}
	if r.ContentLength > protocol.MaxBody {
		return call, http.StatusRequestEntityTooLarge, errors.New("body: too large")
	}
	body, err := readBody(r.Body, r.ContentLength)
	switch {
	case err != nil:
		return call, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	case len(body) > protocol.MaxBody:
		return call, http.StatusRequestEntityTooLarge, errors.New("body: too large")
	}
	call.Arrived = time.Now()
	if k, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		k.requestRead()
	}
	call.Payload = &message{
		method: r.Method, target: r.RequestURI, host: r.Host, header: endToEnd(r.Header), body: body,
	}
	return call, 0, nil
}

// answer writes the one final answer.
func (f *Front) answer(w http.ResponseWriter, a routing.Answer) {
	h := w.Header()
	if a.Verdict == routing.Served {
		maps.Copy(h, a.Reply.(*reply).header)
	}
	if f.clients.leaves() {
		h.Set("Connection", "close")
	}
	switch a.Verdict {
	case routing.Served:
		p := a.Reply.(*reply)
		h.Set("Content-Length", strconv.Itoa(len(p.body)))
		w.Write(p.body) // an error here is the client's going; its connection's line tells
		return
	case routing.Reject:
		if a.RetryAfter > 0 {
			h.Set("Retry-After", protocol.FormatSeconds(a.RetryAfter))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case routing.Overdue:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}
