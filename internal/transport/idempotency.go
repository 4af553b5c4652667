package transport

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

const (
	// headerIdempotencyKey is the field of the IETF draft on the Idempotency-Key header.
	headerIdempotencyKey = "Idempotency-Key"
	// headerCallState reports the state of a keyed call that this node did not run, in particular if it has no response to
	// return.
	headerCallState = "Work-State"
)

const (
	// maxKeyLen is the maximum length of a client's key, in bytes.
	maxKeyLen = 255
	// maxStoredBody is the maximum size of a response body that is stored, in bytes.
	maxStoredBody = 16 << 10
	// fingerprintSize is the number of bytes of a request's hash that form its fingerprint.
	fingerprintSize = 16
	// storeRetryAfter is the delay after which a client may ask again for a call that another node runs, or whose state
	// the store cannot tell.
	storeRetryAfter = 100 * time.Millisecond
)

// IdempotencyStore records keyed calls so that the records survive the loss of this node. Each call is run at most
// once, no matter which nodes receive it. The goroutines of client connections use the store concurrently.
type IdempotencyStore interface {
	// Covers reports whether calls of a class are recorded if their clients send an idempotency key.
	Covers(class int) bool
	// Begin asks whether this node may run a call. It returns without delay if the store is unavailable.
	Begin(ctx context.Context, call KeyedCall) CallClaim
}

// KeyedCall identifies a call for which the client has sent an idempotency key.
type KeyedCall struct {
	// Key is the tenant's name and the key that the tenant's client sent.
	Key string
	// Fingerprint identifies the request; a different request with the same key is rejected.
	Fingerprint string
	// Class is the index of the call's class.
	Class int
}

// CallState is the state of a keyed call.
type CallState uint8

const (
	// CallGranted means that this node, and no other, may run the call.
	CallGranted CallState = iota
	// CallRunning means that another node runs the call.
	CallRunning
	// CallAnswered means that the call has run; CallClaim.Response is its response.
	CallAnswered
	// CallOutcomeUnknown means that the call may have run. It is never run again.
	CallOutcomeUnknown
	// CallKeyConflict means that the key belongs to a different request.
	CallKeyConflict
	// CallStoreUnavailable means that the state is unknown, and that this request did not run the call.
	CallStoreUnavailable
	// CallNotRun means that the call certainly has not run. It is only passed to Finish.
	CallNotRun
)

// StoredResponse is the response to a keyed call in the form in which the store records it.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Truncated is true if the body was too long to be stored; Body is empty then.
	Truncated bool
}

// CallClaim is the result of IdempotencyStore.Begin.
type CallClaim struct {
	State CallState
	// Response is the response to an answered call; nil: the response is not known.
	Response *StoredResponse
	// Finish must be called exactly once with the outcome of a granted call, before the client is answered.
	Finish func(s CallState, r *StoredResponse)
}

// parseKeyedCall returns the idempotency key of a request; nil: the call is not recorded. On an error the request is
// answered with status 400.
func (f *Frontend) parseKeyedCall(r *http.Request, call routing.Call, target string) (*KeyedCall, error) {
	if f.idempotency == nil || !f.idempotency.Covers(call.Class) {
		return nil, nil
	}
	values := r.Header[headerIdempotencyKey]
	if len(values) == 0 {
		return nil, nil
	}
	key := strings.Trim(values[0], `"`) // the draft requires a quoted string; a value without quotes is accepted as well
	m := call.Payload.(*requestMessage)
	switch {
	case len(values) > 1:
		return nil, errors.New(headerIdempotencyKey + ": given more than once")
	case key == "" || len(key) > maxKeyLen || strings.ContainsFunc(key, notPrintable):
		return nil, errors.New(headerIdempotencyKey + ": not 1 to 255 printable characters")
	case m.upload != nil:
		return nil, errors.New(headerIdempotencyKey + ": the body is too long to be kept")
	}
	caller := r.Header.Get(protocol.HeaderTenant)
	return &KeyedCall{Key: caller + " " + key, Fingerprint: fingerprint(r, target, m.body), Class: call.Class}, nil
}

// notPrintable reports whether c is outside printable ASCII.
func notPrintable(c rune) bool { return c < ' ' || c > '~' }

// fingerprint returns a hash of the parts of a request that identify it: method, target, class, tenant and body.
func fingerprint(r *http.Request, target string, body []byte) string {
	h := sha256.New()
	parts := []string{r.Method, target, r.Header.Get(protocol.HeaderClass), r.Header.Get(protocol.HeaderTenant)}
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return fmt.Sprintf("%x", h.Sum(nil)[:fingerprintSize])
}

// handleKeyed handles a keyed call. The call continues if its client disconnects, since the client may request the
// response from any node.
func (f *Frontend) handleKeyed(w http.ResponseWriter, r *http.Request, c *clientConn, call routing.Call,
	keyed KeyedCall) {
	m := call.Payload.(*requestMessage)
	claim := f.idempotency.Begin(r.Context(), keyed)
	if claim.State != CallGranted {
		m.release()
		f.writeClaim(w, c, claim)
		return
	}
	m.client = nil // a disconnect does not end the call
	a := f.handle(context.WithoutCancel(r.Context()), call)
	if reply, ok := a.Reply.(*response); ok && a.Verdict == routing.Served {
		reply.collect(maxStoredBody)
	}
	claim.Finish(callOutcome(a))
	m.release()
	f.writeAnswer(w, c, a)
}

// callOutcome returns the state of a call after an answer, and its response if there is one.
func callOutcome(a routing.Answer) (CallState, *StoredResponse) {
	switch {
	case a.Verdict == routing.Served:
		return CallAnswered, newStoredResponse(a.Reply.(*response))
	case a.Verdict == routing.Rejected, a.Verdict == routing.Duplicate, a.NeverSent:
		return CallNotRun, nil
	}
	return CallOutcomeUnknown, nil
}

// newStoredResponse returns the form of p that the store records.
func newStoredResponse(p *response) *StoredResponse {
	stored := &StoredResponse{
		Status:    http.StatusOK,
		Header:    http.Header{},
		Truncated: p.stream != nil || len(p.body) > maxStoredBody,
	}
	for _, field := range p.fields {
		stored.Header.Add(field.name, field.value[0])
	}
	if !stored.Truncated {
		stored.Body = append([]byte{}, p.body...)
	}
	return stored
}

// writeClaim writes the response to a keyed call that this node did not run.
func (f *Frontend) writeClaim(w http.ResponseWriter, c *clientConn, claim CallClaim) {
	h := w.Header()
	f.closeIfRequired(w, c)
	switch claim.State {
	case CallAnswered:
		writeStoredResponse(w, claim.Response)
	case CallRunning:
		h.Set(headerCallState, "running")
		h.Set("Retry-After", protocol.FormatSeconds(storeRetryAfter))
		w.WriteHeader(http.StatusConflict)
	case CallOutcomeUnknown:
		h.Set(headerCallState, "unknown")
		w.WriteHeader(http.StatusBadGateway)
	case CallKeyConflict:
		http.Error(w, headerIdempotencyKey+": it is another request's", http.StatusUnprocessableEntity)
	default:
		h.Set("Retry-After", protocol.FormatSeconds(storeRetryAfter))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// writeStoredResponse writes a stored response. If the response itself is not stored, it reports only that the call was
// answered.
func writeStoredResponse(w http.ResponseWriter, stored *StoredResponse) {
	h := w.Header()
	if stored == nil || stored.Truncated {
		h.Set(headerCallState, "answered")
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for name, values := range stored.Header {
		h[name] = values
	}
	h.Set(headerCallState, "kept")
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body) // an error means that the client has disconnected, which the connection's log line reports
}
