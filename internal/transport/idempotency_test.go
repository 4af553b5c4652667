package transport

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"olivebridge/internal/routing"
)

// scriptedStore is an IdempotencyStore that answers as a test says.
type scriptedStore struct {
	mu             sync.Mutex
	claim          CallClaim
	calls          []KeyedCall
	finishedStates []CallState
	response       *StoredResponse
}

// Covers implements IdempotencyStore.
func (store *scriptedStore) Covers(class int) bool { return class == 0 }

// Begin implements IdempotencyStore.
func (store *scriptedStore) Begin(_ context.Context, w KeyedCall) CallClaim {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.calls = append(store.calls, w)
	says := store.claim
	says.Finish = func(s CallState, o *StoredResponse) {
		store.mu.Lock()
		defer store.mu.Unlock()
		store.finishedStates, store.response = append(store.finishedStates, s), o
	}
	return says
}

// TestIdempotencyKeys: what a client that gives its call a key gets, as the call stands; what the store is told;
// and that no call is run but what the store has granted.
func TestIdempotencyKeys(t *testing.T) {
	store, taken := &scriptedStore{}, 0
	verdict := routing.Served
	addr, _, _ := newTestFrontend(t, 10, func(context.Context, routing.Call) (routing.Answer, bool) {
		taken++
		if verdict == routing.Served {
			reply := &response{body: []byte("done"), fields: []headerField{{"X-Ref", [1]string{"7"}}}}
			return routing.Answer{Verdict: verdict, Reply: reply}, true
		}
		return routing.Answer{Verdict: verdict}, true
	}, func(f *Frontend) { f.idempotency = store })
	ask := func(key, body string) (int, string, string) {
		t.Helper()
		r, err := http.NewRequest("POST", "http://"+addr+"/api", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header = http.Header{"X-Call-Id": {"a"}, "X-Call-Class": {"book"}, "X-Caller": {"acme"}, "X-Budget": {"1"}}
		if key != "" {
			r.Header["Idempotency-Key"] = strings.Split(key, "|")
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, resp.Header.Get("Work-State"), string(data)
	}
	truncated := &StoredResponse{Status: 200, Truncated: true}
	outcome := &StoredResponse{Status: 200, Header: http.Header{"X-Ref": {"7"}}, Body: []byte("before")}
	for _, c := range []struct {
		key     string
		says    CallClaim
		verdict routing.Verdict
		status  int
		state   string
		body    string
		ended   string
	}{
		{`"k1"`, CallClaim{}, routing.Served, 200, "", "done", fmt.Sprint(CallAnswered)},
		{`k1`, CallClaim{}, routing.Rejected, 503, "", "", fmt.Sprint(CallNotRun)},
		{`k1`, CallClaim{}, routing.Duplicate, 409, "", "", fmt.Sprint(CallNotRun)},
		{`k1`, CallClaim{}, routing.Failed, 502, "", "", fmt.Sprint(CallOutcomeUnknown)},
		{`k1`, CallClaim{}, routing.DeadlineExceeded, 504, "", "", fmt.Sprint(CallOutcomeUnknown)},
		{`k1`, CallClaim{State: CallRunning}, 0, 409, "running", "", ""},
		{`k1`, CallClaim{State: CallOutcomeUnknown}, 0, 502, "unknown", "", ""},
		{`k1`, CallClaim{State: CallAnswered, Response: outcome}, 0, 200, "kept", "before", ""},
		{`k1`, CallClaim{State: CallAnswered, Response: truncated}, 0, 502, "answered", "", ""},
		{`k1`, CallClaim{State: CallKeyConflict}, 0, 422, "", "Idempotency-Key: it is another request's\n", ""},
		{`k1`, CallClaim{State: CallStoreUnavailable}, 0, 503, "", "", ""},
		{`k1|k2`, CallClaim{}, 0, 400, "", "Idempotency-Key: given more than once\n", ""},
		{`""`, CallClaim{}, 0, 400, "", "Idempotency-Key: not 1 to 255 printable characters\n", ""},
		{strings.Repeat("k", 256), CallClaim{}, 0, 400, "", "Idempotency-Key: not 1 to 255 printable characters\n", ""},
	} {
		store.claim, store.finishedStates, store.calls, verdict = c.says, nil, nil, c.verdict
		before := taken
		status, state, body := ask(c.key, "pay")
		ended := ""
		for _, s := range store.finishedStates {
			ended += fmt.Sprint(s)
		}
		lets := c.ended != ""
		if status != c.status || state != c.state || body != c.body || ended != c.ended || (taken > before) != lets {
			t.Errorf("%.10s %+v, %v: status %d, state %q, body %q, ended %q, taken %v",
				c.key, c.says, c.verdict, status, state, body, ended, taken > before)
		}
	}
	store.claim, store.calls, verdict = CallClaim{}, nil, routing.Served
	ask("k1", "pay")
	ask("k1", "pay more")
	ask(`"k1"`, "pay")
	if w := store.calls; len(w) != 3 || w[0] != w[2] || w[0].Fingerprint == w[1].Fingerprint || w[0].Key != "acme k1" {
		t.Errorf("the calls are %+v", store.calls)
	}
	if store.response == nil || string(store.response.Body) != "done" || store.response.Header.Get("X-Ref") != "7" {
		t.Errorf("stored: %+v", store.response)
	}
	store.calls = nil
	if status, _, _ := ask("", "pay"); status != 200 || len(store.calls) != 0 {
		t.Errorf("without a key: %d, %+v", status, store.calls)
	}
}
