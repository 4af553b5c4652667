package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// How a planned end goes; see Front.Drain.
const (
	drainAcceptIdle   = 500 * time.Millisecond // new connections keep coming for up to 0.4 s
	drainFullBudget   = 700 * time.Millisecond // calls that come by then are still owed an answer
	drainStopAccept   = 800 * time.Millisecond // longer, so that the last of them is accepted
	drainMargin       = 2 * time.Second        // beyond the longest deadline: no open call is ever cut off
	drainStreamMargin = time.Minute            // beyond that, for long messages that go on as they come
)

// How long a client may take. One that sends nothing usable is owed an error
// or a close within 3 s of connecting, and holds a descriptor for as long.
const (
	headTimeout    = 2600 * time.Millisecond // some take two seconds
	requestTimeout = bodyStallTimeout        // its body included, but for what its length allows it
	// Between requests. Clients may hold only so many connections to a node, and
	// some ask once and keep theirs: a longer time leaves the others none.
	idleTimeout  = 2100 * time.Millisecond
	writeTimeout = 30 * time.Second // of an answer
)

// shedRetryAfter is when a client turned away for want of descriptors should come back.
const shedRetryAfter = 500 * time.Millisecond

// connKey finds a request's client connection in its context.
type connKey struct{}

// Taker takes calls, once it is ready: routing's first stage.
type CallHandler interface {
	Take(ctx context.Context, c routing.Call) (a routing.Answer, ok bool)
	Ready() bool
}

// Front is the HTTP server that client connections reach.
type Frontend struct {
	names       atomic.Pointer[protocol.Names]
	handler     CallHandler
	log         *slog.Logger
	server      *http.Server
	clients     *clientConns
	adopted     *adoptedListener
	drain       drainState
	serveEnded  chan struct{}   // closed when nothing is accepted any more
	aborted     context.Context // ends with Abort
	abort       context.CancelFunc
	malformed   atomic.Int64     // requests answered with a plain 4xx
	shed        atomic.Int64     // requests turned away for want of descriptors
	buffers     bufferPool       // of the calls
	idempotency IdempotencyStore // nil: no call is kept beyond the loss of this node
}

// FrontendConfig is what a Frontend is made from.
type FrontendConfig struct {
	// Listener accepts the client connections. The frontend closes it when it shuts down.
	Listener net.Listener
	// Names are the wire names and request classes that calls are parsed by. SetNames changes them later.
	Names protocol.Names
	// Handler decides on each call and forwards it.
	Handler CallHandler
	// ClientLimits bound the client connections. SetClientLimits changes them later.
	ClientLimits ClientLimits
	// IdempotencyStore records calls with an idempotency key; nil: none is recorded.
	IdempotencyStore IdempotencyStore
	// Log gets one line for each connection that ends, and each fault.
	Log *slog.Logger
}

// NewFrontend makes a frontend, which serves nothing until Serve.
func NewFrontend(c FrontendConfig) *Frontend {
	f := &Frontend{
		handler:     c.Handler,
		log:         c.Log,
		clients:     newClientConns(c.Listener, c.ClientLimits, c.Log),
		serveEnded:  make(chan struct{}),
		idempotency: c.IdempotencyStore,
	}
	f.adopted = &adoptedListener{clients: f.clients, conns: make(chan net.Conn), closed: make(chan struct{})}
	f.SetNames(c.Names)
	f.aborted, f.abort = context.WithCancel(context.Background())
	f.server = &http.Server{
		Handler:   f,
		ConnState: f.clients.connState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ErrorLog:          slog.NewLogLogger(c.Log.Handler(), slog.LevelWarn),
		ReadHeaderTimeout: headTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    32 << 10,

		DisableGeneralOptionsHandler: true, // net/http would answer 200 to what no peer has seen
	}
	return f
}

// Serve serves until Drain or Abort.
func (f *Frontend) Serve() error {
	defer close(f.serveEnded)
	err := f.server.Serve(f.clients)
	if f.drain.isShuttingDown() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("front: %w", err)
}

// Learn changes the names that calls are read by.
func (f *Frontend) SetNames(names protocol.Names) { f.names.Store(&names) }

// Bound changes how many client connections there may be.
func (f *Frontend) SetClientLimits(b ClientLimits) { f.clients.setLimits(b) }

// Clients counts the client connections by what they do, as name=value.
func (f *Frontend) ClientStats() string { return f.clients.String() }

// Conns counts the client connections.
func (f *Frontend) ClientConns() int { return f.clients.count() }

// Shed counts the requests turned away for want of descriptors.
func (f *Frontend) Shed() int64 { return f.shed.Load() }

// Malformed counts the requests answered with a plain 4xx.
func (f *Frontend) Malformed() int64 { return f.malformed.Load() }

// Drain ends the front at a planned restart. Clients still arrive for a while,
// so it goes on accepting; then it closes client connections as they fall idle,
// stops accepting, and waits for what is open. Abort cuts it short.
func (f *Frontend) Drain(longest time.Duration) {
	f.drain.beginShutdown(false)
	f.drain.setCallTime(longest)
	ctx, most, stop := f.shutdownContexts(longest)
	defer stop()
	sleep(ctx, drainAcceptIdle)
	f.clients.startDraining()
	sleep(ctx, drainStopAccept-drainAcceptIdle)
	f.clients.Close()
	if left := f.clients.waitDrained(ctx, most); left > 0 && f.aborted.Err() == nil {
		f.log.Warn("client connections were open at the end", "left", left)
	}
	f.server.Close()
}

// times are the ends of the times that an end as planned gives to calls, and to long messages.
func (f *Frontend) shutdownContexts(longest time.Duration) (calls, most context.Context, stop func()) {
	most, stopMost := context.WithTimeout(f.aborted, longest+drainMargin+drainStreamMargin)
	calls, stopCalls := context.WithTimeout(most, longest+drainMargin)
	return calls, most, func() { stopCalls(); stopMost() }
}

// pause waits until the time is up or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()
	<-ctx.Done()
}

// Abort ends the front and all its client connections at once. Nothing further
// is read, and what is open gets no answer.
func (f *Frontend) Abort() {
	f.drain.beginShutdown(false)
	f.clients.abort()
	f.server.Close()
	f.abort()
}

// ServeHTTP implements http.Handler.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() { // a panic that reached net/http would end the connection without an answer: a lost call
		if p := recover(); p == http.ErrAbortHandler {
			panic(p)
		} else if p != nil {
			f.log.Error("panic", "in", "front", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
			w.WriteHeader(http.StatusInternalServerError)
		}
	}()
	target := originForm(r.RequestURI)
	k := r.Context().Value(connKey{}).(*clientConn)
	if path, _, _ := strings.Cut(target, "?"); path == protocol.PathReady {
		f.serveReadiness(w, r, k)
		return
	}
	if k.isClosing() {
		panic(http.ErrAbortHandler) // its client sees the end of the connection, and sends it again
	}
	call, status, err := f.parseRequest(r, k, target)
	if err != nil {
		f.writeError(w, r, status, err)
		return
	}
	up := call.Payload.(*requestMessage).upload
	if up == nil {
		// The request has come in time; net/http would take the end of that time for
		// the client's going.
		http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	// guards the descriptors: no try, and room for the next; and a planned end, in which a call would be cut off
	if f.clients.overloaded() || !f.drain.admits(call.Budget) {
		f.shed.Add(1)
		closeAfterResponse(w, k)
		f.writeAnswer(w, k, routing.Answer{Verdict: routing.Reject, RetryAfter: shedRetryAfter})
		return
	}
	if work, kept, err := f.keyedCall(r, call, target); err != nil {
		f.writeError(w, r, http.StatusBadRequest, err)
		return
	} else if kept {
		f.handleKeyed(w, r, k, call, work)
		return
	}
	if up != nil {
		k.startStreaming()
	}
	a, ok := f.handler.Take(r.Context(), call)
	if !ok { // nobody should read it, but net/http must not make it an empty 200
		a = routing.Answer{Verdict: routing.Failed}
	}
	if up != nil {
		f.writeUploadAnswer(w, r, call, a)
		return
	}
	call.Payload.(*requestMessage).release()
	f.writeAnswer(w, k, a)
}

// answerUpload answers a call whose body may still be coming.
func (f *Frontend) writeUploadAnswer(w http.ResponseWriter, r *http.Request, call routing.Call, a routing.Answer) {
	m := call.Payload.(*requestMessage)
	up := m.upload
	err := up.finish()
	m.release()
	up.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // net/http counts from the request's head
	switch {
	case err == errTooLarge:
		if d, ok := a.Reply.(routing.Dropper); ok { // it came ahead of the body's end
			d.Drop()
		}
		f.writeError(w, r, http.StatusRequestEntityTooLarge, errors.New("body: too large"))
		return
	case err != nil && a.Verdict != routing.Served:
		f.writeError(w, r, http.StatusBadRequest, fmt.Errorf("body: %w", err))
		return
	}
	if !up.bodySent.Load() && !discardRequestBody(r, up.conn) {
		w.Header().Set("Connection", "close")
	}
	f.writeAnswer(w, up.conn, a)
}

// ready says whether the node may be sent clients.
func (f *Frontend) serveReadiness(w http.ResponseWriter, r *http.Request, k *clientConn) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead: // guards a call's client: a 200 were its answer
		f.writeError(w, r, http.StatusMethodNotAllowed, &protocol.MethodError{Method: r.Method, Allow: http.MethodGet})
	case f.drain.rejectsClients() || !f.handler.Ready():
		f.closeIfDraining(w, k)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ambiguous is a fault in a request for which others may find its end elsewhere than the node does.
type ambiguousRequest struct{ error }

// refuse answers a request that deserves no try. What was read along behind it is served, unless someone could find the
// end of this one elsewhere; whatever else waits on the connection is not worth reading.
func (f *Frontend) writeError(w http.ResponseWriter, r *http.Request, status int, err error) {
	f.malformed.Add(1)
	k := r.Context().Value(connKey{}).(*clientConn)
	if _, doubt := errors.AsType[ambiguousRequest](err); doubt || !discardRequestBody(r, k) {
		w.Header().Set("Connection", "close")
	}
	if m, ok := errors.AsType[*protocol.MethodError](err); ok {
		status = http.StatusMethodNotAllowed
		w.Header().Set("Allow", m.Allow)
	}
	http.Error(w, err.Error(), status)
}

// goesOn reports whether more was read behind a request, to be served though the request itself did not have to be read
// whole: the rest of it is here, and is read. None of it may leave a doubt where it ends: others read no body behind a
// GET, and a tunnel's bytes behind a method that the platform does not know.
func discardRequestBody(r *http.Request, k *clientConn) bool {
	plain := r.Method == http.MethodPost || r.Method == http.MethodGet && r.ContentLength == 0
	if !plain || !k.hasPipelinedRequest() {
		return false
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// read takes a call out of a request, or says which 4xx it deserves.
func (f *Frontend) parseRequest(r *http.Request, k *clientConn, target string) (routing.Call, int, error) {
	if !r.ProtoAtLeast(1, 1) { // net/http passes over a Transfer-Encoding there
		return routing.Call{}, http.StatusHTTPVersionNotSupported, ambiguousRequest{errors.New("version: below HTTP/1.1")}
	}
	if k.framingAmbiguous() { // guards the peers: the body may hide another request
		return routing.Call{}, http.StatusBadRequest,
			ambiguousRequest{errors.New("framing: two lengths, a folded line, or one that ends without a carriage return")}
	}
	if err := checkRequestHead(r, target); err != nil {
		return routing.Call{}, http.StatusBadRequest, ambiguousRequest{err}
	}
	header := func(name string) []string { return r.Header[name] }
	call, err := f.names.Load().ParseCall(r.Method, header, r.URL.RawQuery)
	if err != nil {
		return call, http.StatusBadRequest, err
	}
	m, err := f.readMessage(requestBody{Request: r, target: target, length: r.ContentLength, conn: k})
	switch {
	case err == errTooLarge:
		return call, http.StatusRequestEntityTooLarge, errors.New("body: too large")
	case err != nil:
		return call, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	case (len(m.body) > 0 || m.upload != nil) && r.Method == http.MethodGet: // a peer that reads none would take it for a request
		return call, http.StatusBadRequest, ambiguousRequest{errors.New("body: none belongs to a GET")}
	}
	call.Arrived, call.Slow = time.Now(), m.upload != nil
	if !call.Slow && !k.completeRequest() {
		m.release()
		panic(http.ErrAbortHandler) // its client sees the end of the connection, and sends it again
	}
	m.client, call.Payload = k, m
	if !k.wasPipelined() { // else its client may have left long ago
		m.arrived = call.Arrived
	}
	return call, 0, nil
}

// requestBody is a request whose body is still to be read.
type requestBody struct {
	*http.Request
	target string
	length int64 // -1: not announced
	conn   *clientConn
}

// mayEnd ends the connection with the answer at hand while the node empties itself, or for how the request's body came.
func (f *Frontend) closeIfDraining(w http.ResponseWriter, k *clientConn) {
	if f.clients.isDraining() || k.mustCloseAfterRequest() {
		closeAfterResponse(w, k)
	}
}

// endWith ends a connection with the answer at hand, or, since whatever was read is answered, with a later one.
func closeAfterResponse(w http.ResponseWriter, k *clientConn) {
	if !k.hasPipelinedRequest() {
		w.Header().Set("Connection", "close")
	}
}

// answer writes the one final answer.
func (f *Frontend) writeAnswer(w http.ResponseWriter, k *clientConn, a routing.Answer) {
	h := w.Header()
	if a.Verdict == routing.Served {
		a.Reply.(*response).copyHeader(h)
	}
	f.closeIfDraining(w, k)
	switch a.Verdict {
	case routing.Served:
		p := a.Reply.(*response)
		if p.stream != nil {
			f.streamResponse(w, k, p)
			return
		}
		w.Write(p.body) // an error here is the client's going; its connection's line tells
		p.freeBuffer()
		return
	case routing.Reject:
		if a.RetryAfter > 0 {
			h.Set("Retry-After", protocol.FormatSeconds(a.RetryAfter))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case routing.Twice:
		w.WriteHeader(http.StatusConflict)
	case routing.Overdue:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}
