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

// TestParseCall: a call needs each header once and well formed, of a known class and tenant, and at most one key.
func TestParseCall(t *testing.T) {
	for name, c := range map[string]struct {
		change map[string]string // "" takes the header away
		query  string
		bad    string // part of the error; "" for none
	}{
		"whole":           {nil, "user=7f", ""},
		"no key":          {nil, "", ""},
		"retry":           {map[string]string{HeaderRetry: "1"}, "", ""},
		"no id":           {map[string]string{HeaderCallID: ""}, "", HeaderCallID},
		"no class":        {map[string]string{HeaderClass: ""}, "", HeaderClass},
		"unknown class":   {map[string]string{HeaderClass: "gift"}, "", HeaderClass},
		"no caller":       {map[string]string{HeaderTenant: ""}, "", HeaderTenant},
		"unknown caller":  {map[string]string{HeaderTenant: "nobody"}, "", HeaderTenant},
		"no budget":       {map[string]string{HeaderTimeout: ""}, "", HeaderTimeout},
		"broken budget":   {map[string]string{HeaderTimeout: "0.4s"}, "", HeaderTimeout},
		"broken escaping": {nil, "user=%zz", AffinityKeyParameter},
		"two keys":        {nil, "user=a&x=1&user=b", AffinityKeyParameter},
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
				t.Errorf("%s: error %v, want one about %s", name, err, c.bad)
			}
			continue
		}
		if err != nil || got.Class != 1 || got.Tenant != 1 || got.Timeout != 480*time.Millisecond ||
			(got.AffinityKey != 0) != (c.query != "") || got.ClientRetry != (h[HeaderRetry] != nil) {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
	}
	twice := func(n string) []string { return []string{"book", "status"} }
	if _, err := testNames.ParseCall("POST", twice, ""); err == nil {
		t.Error("a header given twice was taken")
	}
}

// TestAffinityKeyHash: a key's hash is fixed, and escaping does not change it. It guards the affinity of a key to its
// server, which is the same at every node.
func TestAffinityKeyHash(t *testing.T) {
	for query, want := range map[string]uint64{
		"user=ab": 0x89c4407b545986a, "x=1&user=ab&y": 0x89c4407b545986a, "user=%61b": 0x89c4407b545986a,
		"%75ser=ab": 0x89c4407b545986a, "": 0, "user=": 0, "user": 0, "users=ab": 0, "x=user=ab": 0} {
		if got, err := parseAffinityKey(query); err != nil || got != want {
			t.Errorf("%q: got %#x, %v, want %#x", query, got, err, want)
		}
	}
}
