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

// keeping is a keeper that a test answers for.
type scriptedStore struct {
	mu    sync.Mutex
	says  CallClaim
	work  []KeyedCall
	ended []CallState
	last  *StoredResponse
}

func (k *scriptedStore) Covers(class int) bool { return class == 0 }

func (k *scriptedStore) Begin(_ context.Context, w KeyedCall) CallClaim {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.work = append(k.work, w)
	says := k.says
	says.Finish = func(s CallState, o *StoredResponse) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.ended, k.last = append(k.ended, s), o
	}
	return says
}

// TestIdempotencyKeys: what a client that names its work gets, as the work stands; what the keeper is told; and
// that nothing is let out but what is this node's.
func TestIdempotencyKeys(t *testing.T) {
	k, taken := &scriptedStore{}, 0
	verdict := routing.Served
	addr, _, _ := newTestFrontend(t, 10, func(context.Context, routing.Call) (routing.Answer, bool) {
		taken++
		if verdict == routing.Served {
			return routing.Answer{Verdict: verdict, Reply: &response{body: []byte("done"), fields: []headerField{{"X-Ref", [1]string{"7"}}}}}, true
		}
		return routing.Answer{Verdict: verdict}, true
	}, func(f *Frontend) { f.idempotency = k })
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
		{`k1`, CallClaim{State: CallAnswered, Response: &StoredResponse{Status: 200, Truncated: true}}, 0, 502, "answered", "", ""},
		{`k1`, CallClaim{State: CallKeyConflict}, 0, 422, "", "Idempotency-Key: it is another request's\n", ""},
		{`k1`, CallClaim{State: CallStoreUnavailable}, 0, 503, "", "", ""},
		{`k1|k2`, CallClaim{}, 0, 400, "", "Idempotency-Key: given more than once\n", ""},
		{`""`, CallClaim{}, 0, 400, "", "Idempotency-Key: not 1 to 255 printable characters\n", ""},
		{strings.Repeat("k", 256), CallClaim{}, 0, 400, "", "Idempotency-Key: not 1 to 255 printable characters\n", ""},
	} {
		k.says, k.ended, k.work, verdict = c.says, nil, nil, c.verdict
		before := taken
		status, state, body := ask(c.key, "pay")
		ended := ""
		for _, s := range k.ended {
			ended += fmt.Sprint(s)
		}
		lets := c.ended != ""
		if status != c.status || state != c.state || body != c.body || ended != c.ended || (taken > before) != lets {
			t.Errorf("%.10s %+v, %v: status %d, state %q, body %q, ended %q, taken %v", c.key, c.says, c.verdict, status, state, body, ended, taken > before)
		}
	}
	k.says, k.work, verdict = CallClaim{}, nil, routing.Served
	ask("k1", "pay")
	ask("k1", "pay more")
	ask(`"k1"`, "pay")
	if w := k.work; len(w) != 3 || w[0] != w[2] || w[0].Fingerprint == w[1].Fingerprint || w[0].Key != "acme k1" {
		t.Errorf("the work is %+v", k.work)
	}
	if k.last == nil || string(k.last.Body) != "done" || k.last.Header.Get("X-Ref") != "7" {
		t.Errorf("kept: %+v", k.last)
	}
	k.work = nil
	if status, _, _ := ask("", "pay"); status != 200 || len(k.work) != 0 {
		t.Errorf("without a key: %d, %+v", status, k.work)
	}
}
