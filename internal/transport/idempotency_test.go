package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"olivebridge/internal/routing"
)

// scriptedStore is an IdempotencyStore whose Begin returns the claim set by the test.
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
func (store *scriptedStore) Begin(_ context.Context, call KeyedCall) CallClaim {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.calls = append(store.calls, call)
	claim := store.claim
	claim.Finish = func(s CallState, r *StoredResponse) {
		store.mu.Lock()
		defer store.mu.Unlock()
		store.finishedStates, store.response = append(store.finishedStates, s), r
	}
	return claim
}

// TestIdempotencyKeys checks the response to a call with an idempotency key in each state of the call, and the data
// passed to the store. A call is run only if the store has granted it.
func TestIdempotencyKeys(t *testing.T) {
	store, handled := &scriptedStore{}, 0
	verdict := routing.Served
	addr, _, _ := newTestFrontend(t, 10, func(context.Context, routing.Call) (routing.Answer, bool) {
		handled++
		if verdict == routing.Served {
			reply := &response{body: []byte("done"), fields: []headerField{{"X-Ref", [1]string{"7"}}}}
			return routing.Answer{Verdict: verdict, Reply: reply}, true
		}
		return routing.Answer{Verdict: verdict}, true
	}, func(f *Frontend) { f.idempotency = store })
	send := func(key, body string) (int, string, string) {
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
	stored := &StoredResponse{Status: 200, Header: http.Header{"X-Ref": {"7"}}, Body: []byte("before")}
	for _, c := range []struct {
		key      string
		result   CallClaim
		verdict  routing.Verdict
		status   int
		state    string
		body     string
		finished string
	}{
		{`"k1"`, CallClaim{}, routing.Served, 200, "", "done", fmt.Sprint(CallAnswered)},
		{`k1`, CallClaim{}, routing.Rejected, 503, "", "", fmt.Sprint(CallNotRun)},
		{`k1`, CallClaim{}, routing.Duplicate, 409, "", "", fmt.Sprint(CallNotRun)},
		{`k1`, CallClaim{}, routing.Failed, 502, "", "", fmt.Sprint(CallOutcomeUnknown)},
		{`k1`, CallClaim{}, routing.DeadlineExceeded, 504, "", "", fmt.Sprint(CallOutcomeUnknown)},
		{`k1`, CallClaim{State: CallRunning}, 0, 409, "running", "", ""},
		{`k1`, CallClaim{State: CallOutcomeUnknown}, 0, 502, "unknown", "", ""},
		{`k1`, CallClaim{State: CallAnswered, Response: stored}, 0, 200, "kept", "before", ""},
		{`k1`, CallClaim{State: CallAnswered, Response: truncated}, 0, 502, "answered", "", ""},
		{`k1`, CallClaim{State: CallKeyConflict}, 0, 422, "", "Idempotency-Key: it is another request's\n", ""},
		{`k1`, CallClaim{State: CallStoreUnavailable}, 0, 503, "", "", ""},
		{`k1|k2`, CallClaim{}, 0, 400, "", "Idempotency-Key: given more than once\n", ""},
		{`""`, CallClaim{}, 0, 400, "", "Idempotency-Key: not 1 to 255 printable characters\n", ""},
		{strings.Repeat("k", 256), CallClaim{}, 0, 400, "", "Idempotency-Key: not 1 to 255 printable characters\n", ""},
	} {
		store.claim, store.finishedStates, store.calls, verdict = c.result, nil, nil, c.verdict
		before := handled
		status, state, body := send(c.key, "pay")
		finished := ""
		for _, s := range store.finishedStates {
			finished += fmt.Sprint(s)
		}
		wantHandled := c.finished != ""
		if status != c.status || state != c.state || body != c.body || finished != c.finished ||
			(handled > before) != wantHandled {
			t.Errorf("key %.10s, claim %+v, verdict %v: status %d, state %q, body %q, finished %q, handled %v",
				c.key, c.result, c.verdict, status, state, body, finished, handled > before)
		}
	}
	if state, _ := callOutcome(routing.Answer{Verdict: routing.Failed, NeverSent: true}); state != CallNotRun {
		t.Errorf("a call that failed and was never sent ends as %v, want not run: its key would be unknown for good", state)
	}
	store.claim, store.calls, verdict = CallClaim{}, nil, routing.Served
	send("k1", "pay")
	send("k1", "pay more")
	send(`"k1"`, "pay")
	if calls := store.calls; len(calls) != 3 || calls[0] != calls[2] ||
		calls[0].Fingerprint == calls[1].Fingerprint || calls[0].Key != "acme k1" {
		t.Errorf("the store received the calls %+v", store.calls)
	}
	if store.response == nil || string(store.response.Body) != "done" || store.response.Header.Get("X-Ref") != "7" {
		t.Errorf("stored response: %+v", store.response)
	}
	store.calls = nil
	if status, _, _ := send("", "pay"); status != 200 || len(store.calls) != 0 {
		t.Errorf("without a key: status %d, stored calls %+v; want 200 and none", status, store.calls)
	}
}

// A short answer of unknown length that pauses is stored; one over the limit, or after its time, is not.
func TestShortAnswerInPartsIsStored(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", maxStoredBody, strings.Repeat("x", maxStoredBody))
	for name, c := range map[string]struct {
		rest   string
		pause  time.Duration
		stored string
	}{
		"short":          {"3\r\ndef\r\n0\r\n\r\n", 5 * firstPartWait, "abcdef"},
		"over the limit": {long, 5 * firstPartWait, ""},
		"late":           {"3\r\ndef\r\n0\r\n\r\n", 700 * time.Millisecond, ""},
	} {
		server := startServer(t, func(conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, head+"3\r\nabc\r\n")
			time.Sleep(c.pause)
			io.WriteString(conn, c.rest)
			io.Copy(io.Discard, conn)
		})
		transport, _ := newTestTransport(time.Second)
		store := &scriptedStore{}
		addr, _, _ := newTestFrontend(t, 10, func(ctx context.Context, call routing.Call) (routing.Answer, bool) {
			r := transport.RoundTrip(ctx, routing.Attempt{
				Upstream: server, ExpiresAt: time.Now().Add(500 * time.Millisecond), Payload: call.Payload,
			})
			return routing.Answer{Verdict: routing.Served, Reply: r.Reply}, true
		}, func(f *Frontend) { f.idempotency = store })
		client := dialClient(t, addr)
		begun := time.Now()
		io.WriteString(client, callHead+"Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(client.in, nil)
		if err != nil {
			t.Fatal(name, err)
		}
		if elapsed := time.Since(begun); elapsed > 500*time.Millisecond {
			t.Errorf("%s: the answer began after %v, after its time", name, elapsed)
		}
		body, err := io.ReadAll(resp.Body)
		if stored := store.response; err != nil || stored.Truncated != (c.stored == "") || string(stored.Body) != c.stored {
			t.Errorf("%s: got %d bytes and error %v; stored %+.40v", name, len(body), err, stored)
		}
	}
}
