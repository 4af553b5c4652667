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

// Header fields of kept calls. The first is the one of the IETF's draft on idempotency keys; the second tells a client how its
// work stands where there is no outcome to give.
const (
	headerKey  = "Idempotency-Key"
	headerWork = "Work-State"
)

// mostKey bounds a client's key, mostKept the body of an outcome that is kept.
const (
	mostKey  = 255
	mostKept = 16 << 10
)

// comeBack is when to ask again for work that runs elsewhere.
const comeBack = 100 * time.Millisecond

// Keeper keeps calls beyond the loss of this node: each is let out at most once, whichever nodes it is asked of.
type IdempotencyStore interface {
	// Keeps reports whether calls of a class are kept, where their clients name them.
	Covers(class int) bool
	// Begin asks whether this node may let a call out. It returns at once where nobody can say.
	Begin(ctx context.Context, w KeyedCall) CallClaim
}

// Work is a call that its client has named.
type KeyedCall struct {
	Key         string // its client's, and whose it is
	Fingerprint string // of the request; another one under the same key is refused
	Class       int
}

// KeptState says how a call stands.
type CallState uint8

// The states.
const (
	CallGranted          CallState = iota // it may be let out here, and nowhere else
	CallRunning                           // another has it in hand
	CallAnswered                          // it has run; Outcome is what came of it
	CallOutcomeUnknown                    // it may have run, and is never let out again
	CallKeyConflict                       // the key is another request's
	CallStoreUnavailable                  // nobody can say: it was not let out
	CallNotRun                            // for End: it surely has not run
)

// Outcome is a kept answer.
type StoredResponse struct {
	Status    int
	Header    http.Header
	Body      []byte
	Truncated bool // its body was too long to be kept
}

// Kept is what a Keeper says.
type CallClaim struct {
	State    CallState
	Response *StoredResponse
	// End is to be called once with what became of a call that is this node's: before its client is told.
	Finish func(s CallState, o *StoredResponse)
}

// keptAs is the work that a request is; false: it is not kept. An error deserves a 4xx.
func (f *Frontend) keptAs(r *http.Request, call routing.Call, target string) (w KeyedCall, kept bool, err error) {
	if f.keeper == nil || !f.keeper.Covers(call.Class) {
		return w, false, nil
	}
	values := r.Header[headerKey]
	if len(values) == 0 {
		return w, false, nil
	}
	key := strings.Trim(values[0], `"`) // a string of the draft's; a bare word is taken, too
	switch {
	case len(values) > 1:
		return w, false, errors.New(headerKey + ": given more than once")
	case key == "" || len(key) > mostKey || strings.ContainsFunc(key, func(c rune) bool { return c < ' ' || c > '~' }):
		return w, false, errors.New(headerKey + ": not 1 to 255 printable characters")
	}
	m := call.Payload.(*message)
	if m.up != nil {
		return w, false, errors.New(headerKey + ": the body is too long to be kept")
	}
	h := sha256.New()
	for _, part := range []string{r.Method, target, r.Header.Get(protocol.HeaderClass), r.Header.Get(protocol.HeaderTenant)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(m.body)
	return KeyedCall{Key: r.Header.Get(protocol.HeaderTenant) + " " + key, Fingerprint: fmt.Sprintf("%x", h.Sum(nil)[:16]), Class: call.Class}, true, nil
}

// takeKept takes a call that is kept: it goes on also if its client goes, who may ask any node for what came of it.
func (f *Frontend) takeKept(w http.ResponseWriter, r *http.Request, k *clientConn, call routing.Call, work KeyedCall) {
	m := call.Payload.(*message)
	kept := f.keeper.Begin(r.Context(), work)
	if kept.State != CallGranted {
		m.release()
		f.answerKept(w, k, kept)
		return
	}
	m.from = nil // nobody's going ends it
	a, ok := f.taker.Handle(context.WithoutCancel(r.Context()), call)
	if !ok {
		a = routing.Answer{Verdict: routing.Failed}
	}
	kept.Finish(ended(a))
	m.release()
	f.answer(w, k, a)
}

// ended is what an answer says of its call.
func ended(a routing.Answer) (CallState, *StoredResponse) {
	switch a.Verdict {
	case routing.Served:
		p := a.Reply.(*reply)
		o := &StoredResponse{Status: http.StatusOK, Header: http.Header{}, Truncated: p.rest != nil || len(p.body) > mostKept}
		for _, one := range p.fields {
			o.Header.Add(one.name, one.value[0])
		}
		if !o.Truncated {
			o.Body = append([]byte{}, p.body...)
		}
		return CallAnswered, o
	case routing.Rejected, routing.Duplicate:
		return CallNotRun, nil
	}
	return CallOutcomeUnknown, nil
}

// answerKept answers a call that was not let out here.
func (f *Frontend) answerKept(w http.ResponseWriter, k *clientConn, kept CallClaim) {
	h := w.Header()
	f.mayEnd(w, k)
	switch kept.State {
	case CallAnswered:
		if o := kept.Response; o != nil && !o.Truncated {
			for name, values := range o.Header {
				h[name] = values
			}
			h.Set(headerWork, "kept")
			w.WriteHeader(o.Status)
			w.Write(o.Body) // an error here is the client's going; its connection's line tells
			return
		}
		h.Set(headerWork, "answered")
		w.WriteHeader(http.StatusBadGateway)
	case CallRunning:
		h.Set(headerWork, "running")
		h.Set("Retry-After", protocol.FormatSeconds(comeBack))
		w.WriteHeader(http.StatusConflict)
	case CallOutcomeUnknown:
		h.Set(headerWork, "unknown")
		w.WriteHeader(http.StatusBadGateway)
	case CallKeyConflict:
		http.Error(w, headerKey+": it is another request's", http.StatusUnprocessableEntity)
	default:
		h.Set("Retry-After", protocol.FormatSeconds(comeBack))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
