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

// Timeouts of client connections. A client that sends nothing usable must get an error or a close within 3 s of
// connecting, and holds a descriptor until then.
const (
	// headTimeout limits reading the head of a request. Some clients take two seconds.
	headTimeout = 2600 * time.Millisecond
	// requestTimeout limits reading a request with its body, in addition to the time that the length of the body allows.
	requestTimeout = bodyStallTimeout
	// idleTimeout limits the time between two requests. The number of connections that clients may hold to a node is
	// limited, and some clients send one request and keep their connection: a longer timeout would leave none to the
	// others.
	idleTimeout = 2100 * time.Millisecond
	// writeTimeout limits writing a response.
	writeTimeout = 30 * time.Second
)

// maxRequestHead is the maximum size of the head of a request, in bytes.
const maxRequestHead = 32 << 10

// shedRetryAfter is the Retry-After of calls that are shed.
const shedRetryAfter = 500 * time.Millisecond

// clientConnKey is the key of the client connection in the context of a request.
type clientConnKey struct{}

// CallHandler decides on calls and forwards them. It is the first stage of routing; routing.Router implements it.
type CallHandler interface {
	// Handle handles a call and returns its answer. The goroutine of the client connection calls it. ok is false if the
	// client disconnected before there was an answer.
	Handle(ctx context.Context, c routing.Call) (a routing.Answer, ok bool)
	// Ready reports whether the node is ready for clients.
	Ready() bool
}

// FrontendConfig is the configuration of a Frontend.
type FrontendConfig struct {
	// Listener accepts the client connections. The frontend closes it at shutdown.
	Listener net.Listener
	// Names contains the wire names and request classes for parsing calls. SetNames changes them later.
	Names protocol.NameIndex
	// Handler decides on each call and forwards it.
	Handler CallHandler
	// ClientLimits limits the client connections. SetClientLimits changes the limits later.
	ClientLimits ClientLimits
	// IdempotencyStore records calls with an idempotency key; if nil, no call is recorded.
	IdempotencyStore IdempotencyStore
	// Memory bounds the memory for requests and responses; nil: it is not bounded.
	Memory *MemoryBudget
	// Log receives one line for each connection that ends and for each fault.
	Log *slog.Logger
}

// Frontend is the HTTP server for client connections.
type Frontend struct {
	names       atomic.Pointer[protocol.NameIndex]
	handler     CallHandler
	idempotency IdempotencyStore // nil if no call is recorded
	log         *slog.Logger

	server  *http.Server
	clients *clientConns
	adopted *adoptedListener
	buffers bufferPool
	// readAhead bounds the memory for bodies whose servers do not take them.
	readAhead readAheadBudget

	drain drainState
	// serveEnded is closed when Serve has stopped accepting.
	serveEnded chan struct{}
	// aborted is a context that Abort cancels.
	aborted context.Context
	abort   context.CancelFunc

	// malformed is the number of requests that the frontend itself answered with a 4xx.
	malformed atomic.Int64
	// shed is the number of calls rejected because of too few descriptors or, at shutdown, too little time.
	shed atomic.Int64
}

// NewFrontend returns a Frontend that serves nothing until Serve is called.
func NewFrontend(c FrontendConfig) *Frontend {
	f := &Frontend{
		handler:     c.Handler,
		idempotency: c.IdempotencyStore,
		log:         c.Log,
		clients:     newClientConns(c.Listener, c.ClientLimits, c.Memory, c.Log),
		buffers:     bufferPool{budget: c.Memory},
		serveEnded:  make(chan struct{}),
	}
	f.adopted = &adoptedListener{clients: f.clients, conns: make(chan net.Conn), closed: make(chan struct{})}
	f.readAhead.limit.Store(c.ClientLimits.MaxReadAhead)
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
		// net/http would answer 200 to OPTIONS requests without a server seeing them.
		DisableGeneralOptionsHandler: true,
	}
	return f
}

// Serve accepts client connections until Drain, HandOver or Abort is called. An error is an error of the listener.
func (f *Frontend) Serve() error {
	defer close(f.serveEnded)
	err := f.server.Serve(f.clients)
	if f.drain.isShuttingDown() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("front: %w", err)
}

// SetNames changes the wire names and request classes for parsing calls.
func (f *Frontend) SetNames(names protocol.NameIndex) { f.names.Store(&names) }

// SetClientLimits changes the limits of client connections. It closes idle connections that exceed them, and those of
// stalled requests that exceed the memory budget.
func (f *Frontend) SetClientLimits(limits ClientLimits) {
	f.readAhead.limit.Store(limits.MaxReadAhead)
	f.clients.setLimits(limits)
	f.clients.evictBeyondBudget()
}

// ClientStats returns the number of client connections in each state, as name=value pairs on one line.
func (f *Frontend) ClientStats() string { return f.clients.String() }

// PausedConns returns the number of pauses of client connections that sent more requests than one may which the node
// answers by itself.
func (f *Frontend) PausedConns() int64 { return f.clients.paused.Load() }

// ClientConns returns the number of open client connections.
func (f *Frontend) ClientConns() int { return f.clients.count() }

// Shed returns the number of calls rejected because of too few descriptors or, at shutdown, too little time.
func (f *Frontend) Shed() int64 { return f.shed.Load() }

// Malformed returns the number of requests that the frontend itself answered with a 4xx.
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
		panic(http.ErrAbortHandler) // the client notices the close and sends the request again
	}
	call, status, err := f.parseRequest(r, c, target)
	if errors.Is(err, errNoMemory) {
		f.rejectUnread(w, c)
		return
	}
	if err != nil {
		f.writeError(w, r, status, err)
		return
	}
	f.serveCall(w, r, c, call, target)
}

// recoverPanic answers a call whose handling panicked. Without an answer the connection would end and the call be lost.
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

// rejectUnread rejects a request whose body is not read for lack of memory.
func (f *Frontend) rejectUnread(w http.ResponseWriter, c *clientConn) {
	f.shed.Add(1)
	c.log.setReason(reasonNoMemory)
	w.Header().Set("Connection", "close")
	f.writeAnswer(w, c, routing.Answer{Verdict: routing.Rejected, RetryAfter: shedRetryAfter})
}

// serveCall passes a call to the handler and writes its answer.
func (f *Frontend) serveCall(w http.ResponseWriter, r *http.Request, c *clientConn, call routing.Call, target string) {
	m := call.Payload.(*requestMessage)
	if m.upload == nil {
		// The request has arrived in time. net/http would treat an expired read deadline as a disconnect.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	// Rejecting the call saves descriptors: it needs no attempt and makes room for the next call. During a shutdown, a
	// call that began too late would be cut off.
	if f.clients.overloaded() || !f.drain.admits(time.Now(), call.Timeout) {
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
		f.handleUpload(w, r, m, call)
	default:
		f.handleBuffered(w, r, c, call)
	}
}

// handleBuffered passes a call whose request has been read completely to the handler and writes the answer.
func (f *Frontend) handleBuffered(w http.ResponseWriter, r *http.Request, c *clientConn, call routing.Call) {
	a := f.handle(r.Context(), call)
	call.Payload.(*requestMessage).release()
	f.writeAnswer(w, c, a)
}

// handleUpload passes a call whose body is streamed to the handler and writes the answer.
func (f *Frontend) handleUpload(w http.ResponseWriter, r *http.Request, m *requestMessage, call routing.Call) {
	m.upload.conn.startStreaming()
	ctx, leave := context.WithCancel(r.Context())
	defer leave()
	defer m.upload.watch(call.Timeout, leave)()
	f.writeUploadAnswer(w, r, m, f.handle(ctx, call))
}

// handle passes a call to the handler. It also returns an answer if the client has disconnected: nobody is expected to
// read it, but without one net/http would send an empty 200.
func (f *Frontend) handle(ctx context.Context, call routing.Call) routing.Answer {
	a, ok := f.handler.Handle(ctx, call)
	if !ok {
		return routing.Answer{Verdict: routing.Failed}
	}
	return a
}

// serveReadiness answers a readiness check.
func (f *Frontend) serveReadiness(w http.ResponseWriter, r *http.Request, c *clientConn) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead: // a 200 could be mistaken for the answer to a call
		f.writeError(w, r, http.StatusMethodNotAllowed,
			&protocol.MethodError{Method: r.Method, Allow: http.MethodGet})
	case f.drain.rejectsClients() || !f.handler.Ready():
		f.closeIfRequired(w, c)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
