package protocol

import (
	"strings"
	"testing"
	"time"
)

var testNames = NameIndex{
	Classes: map[string]int{"status": 0, "book": 1},
	Tenants: map[string]int{"acme": 0, "zen": 1},
	Zones:   map[string]int{"a": 0, "b": 1},
	Kinds:   map[string]int{"m1": 0, "m2": 1},
	Methods: []string{"GET", "POST"},
}

// TestParseCall: each header must be present once and well formed, class and tenant must be known, and the query may
// have at most one affinity key.
func TestParseCall(t *testing.T) {
	for name, c := range map[string]struct {
		change map[string]string // headers to replace; "": the header is removed
		query  string
		bad    string // text that the error must contain; "": no error
	}{
		"valid call":         {nil, "user=7f", ""},
		"no affinity key":    {nil, "", ""},
		"retry":              {map[string]string{HeaderRetry: "1"}, "", ""},
		"no id":              {map[string]string{HeaderCallID: ""}, "", HeaderCallID},
		"no class":           {map[string]string{HeaderClass: ""}, "", HeaderClass},
		"unknown class":      {map[string]string{HeaderClass: "gift"}, "", HeaderClass},
		"no tenant":          {map[string]string{HeaderTenant: ""}, "", HeaderTenant},
		"unknown tenant":     {map[string]string{HeaderTenant: "nobody"}, "", HeaderTenant},
		"no timeout":         {map[string]string{HeaderTimeout: ""}, "", HeaderTimeout},
		"malformed timeout":  {map[string]string{HeaderTimeout: "0.4s"}, "", HeaderTimeout},
		"malformed escaping": {nil, "user=%zz", AffinityKeyParameter},
		"two affinity keys":  {nil, "user=a&x=1&user=b", AffinityKeyParameter},
	} {
		h := map[string][]string{
			HeaderCallID: {"9b1f"}, HeaderClass: {"book"}, HeaderTenant: {"zen"}, HeaderTimeout: {"0.480"}}
		for k, v := range c.change {
			if delete(h, k); v != "" {
				h[k] = []string{v}
			}
		}
		got, err := testNames.ParseCall("POST", func(n string) []string { return h[n] }, c.query)
		if c.bad != "" {
			if err == nil || !strings.Contains(err.Error(), c.bad) {
				t.Errorf("%s: got error %v, want one that names %s", name, err, c.bad)
			}
			continue
		}
		if err != nil || got.Class != 1 || got.Tenant != 1 || got.Timeout != 480*time.Millisecond ||
			(got.AffinityKey != 0) != (c.query != "") || got.ClientRetry != (h[HeaderRetry] != nil) {
			t.Errorf("%s: got %+v, error %v", name, got, err)
		}
	}
	duplicated := func(n string) []string { return []string{"book", "status"} }
	if _, err := testNames.ParseCall("POST", duplicated, ""); err == nil {
		t.Error("parsing a call with a header given twice succeeded, want an error")
	}
}

// TestAffinityKeyHash: the hash of a key has a fixed value that does not depend on escaping. Otherwise nodes, or
// releases, would route the same key to different servers.
func TestAffinityKeyHash(t *testing.T) {
	for query, want := range map[string]uint64{
		"user=ab": 0x89c4407b545986a, "x=1&user=ab&y": 0x89c4407b545986a, "user=%61b": 0x89c4407b545986a,
		"%75ser=ab": 0x89c4407b545986a, "": 0, "user=": 0, "user": 0, "users=ab": 0, "x=user=ab": 0} {
		if got, err := parseAffinityKey(query); err != nil || got != want {
			t.Errorf("%q: got hash %#x, error %v, want hash %#x", query, got, err, want)
		}
	}
}
