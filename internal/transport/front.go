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
	drainKeep   = 500 * time.Millisecond // new connections keep coming for up to 0.4 s
	drainOwed   = 700 * time.Millisecond // calls that come by then are still owed an answer
	drainAccept = 800 * time.Millisecond // longer, so that the last of them is accepted
	drainSpare  = 2 * time.Second        // beyond the longest deadline: no open call is ever cut off
	drainLong   = time.Minute            // beyond that, for long messages that go on as they come
)

// How long a client may take. One that sends nothing usable is owed an error
// or a close within 3 s of connecting, and holds a descriptor for as long.
const (
	headTimeout    = 2600 * time.Millisecond // some take two seconds
	requestTimeout = bodyAllowance           // its body included, but for what its length allows it
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
	Handle(ctx context.Context, c routing.Call) (a routing.Answer, ok bool)
	Ready() bool
}

// Front is the HTTP server that client connections reach.
type Frontend struct {
	names   atomic.Pointer[protocol.NameIndex]
	taker   CallHandler
	log     *slog.Logger
	server  *http.Server
	clients *clients
	adopted *adopted
	leaving leaving
	served  chan struct{}   // closed when nothing is accepted any more
	life    context.Context // ends with Abort
	end     context.CancelFunc
	badly   atomic.Int64     // requests answered with a plain 4xx
	shed    atomic.Int64     // requests turned away for want of descriptors
	buffers buffers          // of the calls
	keeper  IdempotencyStore // nil: no call is kept beyond the loss of this node
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

// NewFrontend makes a frontend, which serves nothing until Serve.
func NewFrontend(c FrontendConfig) *Frontend {
	f := &Frontend{
		taker:   c.Handler,
		log:     c.Log,
		clients: newClients(c.Listener, c.ClientLimits, c.Log),
		served:  make(chan struct{}),
		keeper:  c.IdempotencyStore,
	}
	f.adopted = &adopted{clients: f.clients, conns: make(chan net.Conn), closed: make(chan struct{})}
	f.SetNames(c.Names)
	f.life, f.end = context.WithCancel(context.Background())
	f.server = &http.Server{
		Handler:   f,
		ConnState: f.clients.state,
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
	defer close(f.served)
	err := f.server.Serve(f.clients)
	if f.leaving.ending() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("front: %w", err)
}

// Learn changes the names that calls are read by.
func (f *Frontend) SetNames(names protocol.NameIndex) { f.names.Store(&names) }

// Bound changes how many client connections there may be.
func (f *Frontend) SetClientLimits(b ClientLimits) { f.clients.bound(b) }

// Clients counts the client connections by what they do, as name=value.
func (f *Frontend) ClientStats() string { return f.clients.String() }

// Conns counts the client connections.
func (f *Frontend) ClientConns() int { return f.clients.count() }

// Shed counts the requests turned away for want of descriptors.
func (f *Frontend) Shed() int64 { return f.shed.Load() }

// Malformed counts the requests answered with a plain 4xx.
func (f *Frontend) Malformed() int64 { return f.badly.Load() }

// Drain ends the front at a planned restart. Clients still arrive for a while,
// so it goes on accepting; then it closes client connections as they fall idle,
// stops accepting, and waits for what is open. Abort cuts it short.
func (f *Frontend) Drain(longest time.Duration) {
	f.leaving.end(false)
	f.leaving.within(longest)
	ctx, most, stop := f.times(longest)
	defer stop()
	pause(ctx, drainKeep)
	f.clients.leave()
	pause(ctx, drainAccept-drainKeep)
	f.clients.Close()
	if left := f.clients.drain(ctx, most); left > 0 && f.life.Err() == nil {
		f.log.Warn("client connections were open at the end", "left", left)
	}
	f.server.Close()
}

// times are the ends of the times that an end as planned gives to calls, and to long messages.
func (f *Frontend) times(longest time.Duration) (calls, most context.Context, stop func()) {
	most, stopMost := context.WithTimeout(f.life, longest+drainSpare+drainLong)
	calls, stopCalls := context.WithTimeout(most, longest+drainSpare)
	return calls, most, func() { stopCalls(); stopMost() }
}

// pause waits until the time is up or ctx ends.
func pause(ctx context.Context, d time.Duration) {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()
	<-ctx.Done()
}

// Abort ends the front and all its client connections at once. Nothing further
// is read, and what is open gets no answer.
func (f *Frontend) Abort() {
	f.leaving.end(false)
	f.clients.abort()
	f.server.Close()
	f.end()
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
		f.ready(w, r, k)
		return
	}
	if k.isGone() {
		panic(http.ErrAbortHandler) // its client sees the end of the connection, and sends it again
	}
	call, status, err := f.read(r, k, target)
	if err != nil {
		f.refuse(w, r, status, err)
		return
	}
	up := call.Payload.(*message).up
	if up == nil {
		// The request has come in time; net/http would take the end of that time for
		// the client's going.
		http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	// guards the descriptors: no try, and room for the next; and a planned end, in which a call would be cut off
	if f.clients.crowded() || !f.leaving.lets(call.Timeout) {
		f.shed.Add(1)
		endWith(w, k)
		f.answer(w, k, routing.Answer{Verdict: routing.Rejected, RetryAfter: shedRetryAfter})
		return
	}
	if work, kept, err := f.keptAs(r, call, target); err != nil {
		f.refuse(w, r, http.StatusBadRequest, err)
		return
	} else if kept {
		f.takeKept(w, r, k, call, work)
		return
	}
	if up != nil {
		k.goesOn()
	}
	a, ok := f.taker.Handle(r.Context(), call)
	if !ok { // nobody should read it, but net/http must not make it an empty 200
		a = routing.Answer{Verdict: routing.Failed}
	}
	if up != nil {
		f.answerUpload(w, r, call, a)
		return
	}
	call.Payload.(*message).release()
	f.answer(w, k, a)
}

// answerUpload answers a call whose body may still be coming.
func (f *Frontend) answerUpload(w http.ResponseWriter, r *http.Request, call routing.Call, a routing.Answer) {
	m := call.Payload.(*message)
	up := m.up
	err := up.end()
	m.release()
	up.k.SetWriteDeadline(time.Now().Add(writeTimeout)) // net/http counts from the request's head
	switch {
	case err == errTooLarge:
		if d, ok := a.Reply.(routing.Releaser); ok { // it came ahead of the body's end
			d.Release()
		}
		f.refuse(w, r, http.StatusRequestEntityTooLarge, errors.New("body: too large"))
		return
	case err != nil && a.Verdict != routing.Served:
		f.refuse(w, r, http.StatusBadRequest, fmt.Errorf("body: %w", err))
		return
	}
	if !up.whole.Load() && !goesOn(r, up.k) {
		w.Header().Set("Connection", "close")
	}
	f.answer(w, up.k, a)
}

// ready says whether the node may be sent clients.
func (f *Frontend) ready(w http.ResponseWriter, r *http.Request, k *clientConn) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead: // guards a call's client: a 200 were its answer
		f.refuse(w, r, http.StatusMethodNotAllowed, &protocol.MethodError{Method: r.Method, Allow: http.MethodGet})
	case f.leaving.now() || !f.taker.Ready():
		f.mayEnd(w, k)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ambiguous is a fault in a request for which others may find its end elsewhere than the node does.
type ambiguous struct{ error }

// refuse answers a request that deserves no try. What was read along behind it is served, unless someone could find the
// end of this one elsewhere; whatever else waits on the connection is not worth reading.
func (f *Frontend) refuse(w http.ResponseWriter, r *http.Request, status int, err error) {
	f.badly.Add(1)
	k := r.Context().Value(connKey{}).(*clientConn)
	if _, doubt := errors.AsType[ambiguous](err); doubt || !goesOn(r, k) {
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
func goesOn(r *http.Request, k *clientConn) bool {
	plain := r.Method == http.MethodPost || r.Method == http.MethodGet && r.ContentLength == 0
	if !plain || !k.owesMore() {
		return false
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// read takes a call out of a request, or says which 4xx it deserves.
func (f *Frontend) read(r *http.Request, k *clientConn, target string) (routing.Call, int, error) {
	if !r.ProtoAtLeast(1, 1) { // net/http passes over a Transfer-Encoding there
		return routing.Call{}, http.StatusHTTPVersionNotSupported, ambiguous{errors.New("version: below HTTP/1.1")}
	}
	if k.torn() { // guards the peers: the body may hide another request
		return routing.Call{}, http.StatusBadRequest,
			ambiguous{errors.New("framing: two lengths, a folded line, or one that ends without a carriage return")}
	}
	if err := checkHead(r, target); err != nil {
		return routing.Call{}, http.StatusBadRequest, ambiguous{err}
	}
	header := func(name string) []string { return r.Header[name] }
	call, err := f.names.Load().ParseCall(r.Method, header, r.URL.RawQuery)
	if err != nil {
		return call, http.StatusBadRequest, err
	}
	m, err := f.takeBody(requestBody{Request: r, target: target, length: r.ContentLength, k: k})
	switch {
	case err == errTooLarge:
		return call, http.StatusRequestEntityTooLarge, errors.New("body: too large")
	case err != nil:
		return call, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	case (len(m.body) > 0 || m.up != nil) && r.Method == http.MethodGet: // a peer that reads none would take it for a request
		return call, http.StatusBadRequest, ambiguous{errors.New("body: none belongs to a GET")}
	}
	call.ReceivedAt, call.StreamsBody = time.Now(), m.up != nil
	if !call.StreamsBody && !k.requestRead() {
		m.release()
		panic(http.ErrAbortHandler) // its client sees the end of the connection, and sends it again
	}
	m.from, call.Payload = k, m
	if !k.pipelined() { // else its client may have left long ago
		m.arrived = call.ReceivedAt
	}
	return call, 0, nil
}

// requestBody is a request whose body is still to be read.
type requestBody struct {
	*http.Request
	target string
	length int64 // -1: not announced
	k      *clientConn
}

// mayEnd ends the connection with the answer at hand while the node empties itself, or for how the request's body came.
func (f *Frontend) mayEnd(w http.ResponseWriter, k *clientConn) {
	if f.clients.leaves() || k.isLast() {
		endWith(w, k)
	}
}

// endWith ends a connection with the answer at hand, or, since whatever was read is answered, with a later one.
func endWith(w http.ResponseWriter, k *clientConn) {
	if !k.owesMore() {
		w.Header().Set("Connection", "close")
	}
}

// answer writes the one final answer.
func (f *Frontend) answer(w http.ResponseWriter, k *clientConn, a routing.Answer) {
	h := w.Header()
	if a.Verdict == routing.Served {
		a.Reply.(*reply).putInto(h)
	}
	f.mayEnd(w, k)
	switch a.Verdict {
	case routing.Served:
		p := a.Reply.(*reply)
		if p.rest != nil {
			f.stream(w, k, p)
			return
		}
		w.Write(p.body) // an error here is the client's going; its connection's line tells
		p.free()
		return
	case routing.Rejected:
		if a.RetryAfter > 0 {
			h.Set("Retry-After", protocol.FormatSeconds(a.RetryAfter))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case routing.Duplicate:
		w.WriteHeader(http.StatusConflict)
	case routing.DeadlineExceeded:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}
