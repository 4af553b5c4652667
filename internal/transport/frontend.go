package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// How long a client may take. One that sends nothing usable must get an error or a close within 3 s of connecting,
// and holds a descriptor for as long.
const (
	// headTimeout is for a request's head. Some clients take two seconds.
	headTimeout = 2600 * time.Millisecond
	// requestTimeout is for a request with its body, beyond what the length of the body allows it.
	requestTimeout = bodyStallTimeout
	// idleTimeout is between two requests. Clients may hold only so many connections to a node, and some send one request
	// and keep theirs: a longer time leaves the others none.
	idleTimeout = 2100 * time.Millisecond
	// writeTimeout is for a response.
	writeTimeout = 30 * time.Second
)

// maxRequestHead bounds a request's head, in bytes.
const maxRequestHead = 32 << 10

// shedRetryAfter is when a client is to come back whose call was shed for want of descriptors.
const shedRetryAfter = 500 * time.Millisecond

// clientConnKey finds a request's client connection in its context.
type clientConnKey struct{}

// CallHandler decides on calls: routing's first stage.
type CallHandler interface {
	// Handle handles a call and returns its answer, from the goroutine of the client connection. ok is false if the
	// client left before there was one.
	Handle(ctx context.Context, c routing.Call) (a routing.Answer, ok bool)
	// Ready reports whether the node may be sent clients.
	Ready() bool
}

// FrontendConfig is what a Frontend is made from.
type FrontendConfig struct {
	// Listener accepts the client connections. The frontend closes it when it shuts down.
	Listener net.Listener
	// Names are the wire names and request classes that calls are parsed by. SetNames changes them later.
	Names protocol.NameIndex
	// Handler decides on each call and forwards it.
	Handler CallHandler
	// ClientLimits bound the client connections. SetClientLimits changes them later.
	ClientLimits ClientLimits
	// IdempotencyStore records calls with an idempotency key; nil: none is recorded.
	IdempotencyStore IdempotencyStore
	// Log gets one line for each connection that ends, and each fault.
	Log *slog.Logger
}

// Frontend is the HTTP server that client connections reach.
type Frontend struct {
	names       atomic.Pointer[protocol.NameIndex]
	handler     CallHandler
	idempotency IdempotencyStore // nil: no call is recorded
	log         *slog.Logger

	server  *http.Server
	clients *clientConns
	adopted *adoptedListener
	buffers bufferPool

	drain drainState
	// serveEnded is closed when nothing is accepted any more.
	serveEnded chan struct{}
	// aborted ends with Abort.
	aborted context.Context
	abort   context.CancelFunc

	// malformed counts the requests answered with a 4xx by the frontend itself.
	malformed atomic.Int64
	// shed counts the calls rejected for want of descriptors, or of time at the shutdown.
	shed atomic.Int64
}

// NewFrontend makes a Frontend, which serves nothing until Serve.
func NewFrontend(c FrontendConfig) *Frontend {
	f := &Frontend{
		handler:     c.Handler,
		idempotency: c.IdempotencyStore,
		log:         c.Log,
		clients:     newClientConns(c.Listener, c.ClientLimits, c.Log),
		serveEnded:  make(chan struct{}),
	}
	f.adopted = &adoptedListener{clients: f.clients, conns: make(chan net.Conn), closed: make(chan struct{})}
	f.SetNames(c.Names)
	f.aborted, f.abort = context.WithCancel(context.Background())
	f.server = &http.Server{
		Handler:   f,
		ConnState: f.clients.connState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, conn)
		},
		ErrorLog:          slog.NewLogLogger(c.Log.Handler(), slog.LevelWarn),
		ReadHeaderTimeout: headTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxRequestHead,
		// net/http would answer 200 to OPTIONS requests that no server has seen.
		DisableGeneralOptionsHandler: true,
	}
	return f
}

// Serve accepts client connections until Drain, HandOver or Abort. An error is one of the listener.
func (f *Frontend) Serve() error {
	defer close(f.serveEnded)
	err := f.server.Serve(f.clients)
	if f.drain.isShuttingDown() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("front: %w", err)
}

// SetNames changes the names that calls are parsed by.
func (f *Frontend) SetNames(names protocol.NameIndex) { f.names.Store(&names) }

// SetClientLimits changes the limits of client connections, and closes idle ones beyond them.
func (f *Frontend) SetClientLimits(limits ClientLimits) { f.clients.setLimits(limits) }

// ClientStats counts the client connections by what they do, as name=value on one line.
func (f *Frontend) ClientStats() string { return f.clients.String() }

// ClientConns counts the client connections.
func (f *Frontend) ClientConns() int { return f.clients.count() }

// Shed counts the calls rejected for want of descriptors, or of time at the shutdown.
func (f *Frontend) Shed() int64 { return f.shed.Load() }

// Malformed counts the requests answered with a 4xx by the frontend itself.
func (f *Frontend) Malformed() int64 { return f.malformed.Load() }

// ServeHTTP implements http.Handler.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer f.recoverPanic(w)
	target := originForm(r.RequestURI)
	c := r.Context().Value(clientConnKey{}).(*clientConn)
	if path, _, _ := strings.Cut(target, "?"); path == protocol.PathReady {
		f.serveReadiness(w, r, c)
		return
	}
	if c.isClosing() {
		panic(http.ErrAbortHandler) // its client sees the close, and sends the request again
	}
	call, status, err := f.parseRequest(r, c, target)
	if err != nil {
		f.writeError(w, r, status, err)
		return
	}
	f.serveCall(w, r, c, call, target)
}

// recoverPanic answers a call whose handling panicked: without an answer the connection would end, and the call be
// lost.
func (f *Frontend) recoverPanic(w http.ResponseWriter) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	f.log.Error("panic", "in", "front", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
	w.WriteHeader(http.StatusInternalServerError)
}

// serveCall has a call handled, and answers it.
func (f *Frontend) serveCall(w http.ResponseWriter, r *http.Request, c *clientConn, call routing.Call, target string) {
	m := call.Payload.(*requestMessage)
	if m.upload == nil {
		// The request has come in time. net/http would take the end of that time for a disconnect.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	// Guards the descriptors: no attempt, and room for the next call. Guards a shutdown, which would cut the call off.
	if f.clients.overloaded() || !f.drain.admits(call.Timeout) {
		f.shed.Add(1)
		closeAfterResponse(w, c)
		f.writeAnswer(w, c, routing.Answer{Verdict: routing.Rejected, RetryAfter: shedRetryAfter})
		return
	}
	keyed, err := f.parseKeyedCall(r, call, target)
	switch {
	case err != nil:
		f.writeError(w, r, http.StatusBadRequest, err)
	case keyed != nil:
		f.handleKeyed(w, r, c, call, *keyed)
	case m.upload != nil:
		c.startStreaming()
		f.writeUploadAnswer(w, r, m, f.handle(r.Context(), call))
	default:
		f.handleBuffered(w, r, c, call)
	}
}

// handleBuffered has a call handled of which all is here.
func (f *Frontend) handleBuffered(w http.ResponseWriter, r *http.Request, c *clientConn, call routing.Call) {
	a := f.handle(r.Context(), call)
	call.Payload.(*requestMessage).release()
	f.writeAnswer(w, c, a)
}

// handle has a call handled. One whose client left gets an answer, too: nobody should read it, but net/http must
// not make it an empty 200.
func (f *Frontend) handle(ctx context.Context, call routing.Call) routing.Answer {
	a, ok := f.handler.Handle(ctx, call)
	if !ok {
		return routing.Answer{Verdict: routing.Failed}
	}
	return a
}

// serveReadiness says whether the node may be sent clients.
func (f *Frontend) serveReadiness(w http.ResponseWriter, r *http.Request, c *clientConn) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead: // a 200 would pass for the answer to a call
		f.writeError(w, r, http.StatusMethodNotAllowed,
			&protocol.MethodError{Method: r.Method, Allow: http.MethodGet})
	case f.drain.rejectsClients() || !f.handler.Ready():
		f.closeIfRequired(w, c)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
