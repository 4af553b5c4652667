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
	// headerIdempotencyKey is that of the IETF's draft on idempotency keys.
	headerIdempotencyKey = "Idempotency-Key"
	// headerWorkState tells a client how its call stands where there is no response to give.
	headerWorkState = "Work-State"
)

const (
	// maxKeyLen bounds a client's key, in bytes.
	maxKeyLen = 255
	// maxStoredBody bounds the body of a response that is stored, in bytes.
	maxStoredBody = 16 << 10
	// fingerprintSize is how many bytes of a request's hash are its fingerprint.
	fingerprintSize = 16
	// storeRetryAfter is when to ask again for a call that runs elsewhere.
	storeRetryAfter = 100 * time.Millisecond
)

// IdempotencyStore records calls beyond the loss of this node: each is run at most once, whichever nodes it is sent
// to. It is called from the goroutines of client connections.
type IdempotencyStore interface {
	// Covers reports whether calls of a class are recorded, where their clients give them a key.
	Covers(class int) bool
	// Begin asks whether this node may run a call. It returns at once where nobody can say.
	Begin(ctx context.Context, call KeyedCall) CallClaim
}

// KeyedCall is a call to which its client has given an idempotency key.
type KeyedCall struct {
	// Key is the caller's name and its key.
	Key string
	// Fingerprint is that of the request; another request under the same key is rejected.
	Fingerprint string
	// Class is the index of the call's class.
	Class int
}

// CallState says how a keyed call stands.
type CallState uint8

const (
	// CallGranted says that it may be run here, and nowhere else.
	CallGranted CallState = iota
	// CallRunning says that it runs elsewhere.
	CallRunning
	// CallAnswered says that it has run; the claim's Response is its response.
	CallAnswered
	// CallOutcomeUnknown says that it may have run, and is never run again.
	CallOutcomeUnknown
	// CallKeyConflict says that the key is another request's.
	CallKeyConflict
	// CallStoreUnavailable says that nobody can tell, and it was not run.
	CallStoreUnavailable
	// CallNotRun says that it surely has not run. It is for Finish only.
	CallNotRun
)

// StoredResponse is the response to a keyed call as the store records it.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Truncated: the body was too long to be stored, and Body is empty.
	Truncated bool
}

// CallClaim is what a store says of a call.
type CallClaim struct {
	State CallState
	// Response is that of an answered call; nil: it is not known.
	Response *StoredResponse
	// Finish is to be called once with what became of a granted call, before its client is answered.
	Finish func(s CallState, r *StoredResponse)
}

// keyedCall reads the idempotency key of a request; nil: it is not recorded. An error deserves a 400.
func (f *Frontend) keyedCall(r *http.Request, call routing.Call, target string) (*KeyedCall, error) {
	if f.idempotency == nil || !f.idempotency.Covers(call.Class) {
		return nil, nil
	}
	values := r.Header[headerIdempotencyKey]
	if len(values) == 0 {
		return nil, nil
	}
	key := strings.Trim(values[0], `"`) // the draft's is a quoted string; a bare word is taken, too
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

// notPrintable reports whether a character is none of printable ASCII.
func notPrintable(c rune) bool { return c < ' ' || c > '~' }

// fingerprint is a hash of what makes two requests the same one.
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

// handleKeyed has a keyed call handled. It goes on also if its client leaves, who may ask any node for its response.
func (f *Frontend) handleKeyed(w http.ResponseWriter, r *http.Request, c *clientConn, call routing.Call,
	keyed KeyedCall) {
	m := call.Payload.(*requestMessage)
	claim := f.idempotency.Begin(r.Context(), keyed)
	if claim.State != CallGranted {
		m.release()
		f.writeClaim(w, c, claim)
		return
	}
	m.client = nil // a disconnect does not end it
	a := f.handle(context.WithoutCancel(r.Context()), call)
	claim.Finish(callOutcome(a))
	m.release()
	f.writeAnswer(w, c, a)
}

// callOutcome is what an answer says of its call.
func callOutcome(a routing.Answer) (CallState, *StoredResponse) {
	switch a.Verdict {
	case routing.Served:
		return CallAnswered, storedResponse(a.Reply.(*response))
	case routing.Rejected, routing.Duplicate:
		return CallNotRun, nil
	}
	return CallOutcomeUnknown, nil
}

// storedResponse is a response as the store records it.
func storedResponse(p *response) *StoredResponse {
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

// writeClaim answers a call that was not run here.
func (f *Frontend) writeClaim(w http.ResponseWriter, c *clientConn, claim CallClaim) {
	h := w.Header()
	f.closeIfRequired(w, c)
	switch claim.State {
	case CallAnswered:
		writeStoredResponse(w, claim.Response)
	case CallRunning:
		h.Set(headerWorkState, "running")
		h.Set("Retry-After", protocol.FormatSeconds(storeRetryAfter))
		w.WriteHeader(http.StatusConflict)
	case CallOutcomeUnknown:
		h.Set(headerWorkState, "unknown")
		w.WriteHeader(http.StatusBadGateway)
	case CallKeyConflict:
		http.Error(w, headerIdempotencyKey+": it is another request's", http.StatusUnprocessableEntity)
	default:
		h.Set("Retry-After", protocol.FormatSeconds(storeRetryAfter))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// writeStoredResponse writes a stored response, or says that there was one which is not stored.
func writeStoredResponse(w http.ResponseWriter, stored *StoredResponse) {
	h := w.Header()
	if stored == nil || stored.Truncated {
		h.Set(headerWorkState, "answered")
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for name, values := range stored.Header {
		h[name] = values
	}
	h.Set(headerWorkState, "kept")
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body) // an error is the client's disconnect, which the connection's log line tells
}
