package protocol

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"olivebridge/balancer"
)

var names = NameIndex{
	Classes: map[string]int{"status": 0, "book": 1}, Tenants: map[string]int{"acme": 0, "zen": 1},
	Zones: map[string]int{"a": 0, "b": 1}, Kinds: map[string]int{"m1": 0, "m2": 1}, Methods: []string{"GET", "POST"},
}

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
		h := map[string][]string{HeaderCallID: {"9b1f"}, HeaderClass: {"book"}, HeaderTenant: {"zen"}, HeaderTimeout: {"0.480"}}
		for k, v := range c.change {
			if delete(h, k); v != "" {
				h[k] = []string{v}
			}
		}
		got, err := names.ParseCall("POST", func(n string) []string { return h[n] }, c.query)
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
	if _, err := names.ParseCall("POST", twice, ""); err == nil {
		t.Error("a header given twice was taken")
	}
}

func TestParseBudget(t *testing.T) {
	for in, want := range map[string]time.Duration{
		"0.480": 480 * time.Millisecond, "1.5": 1500 * time.Millisecond, "2": 2 * time.Second, ".25": 250 * time.Millisecond,
		"": 0, "0": 0, "-1": 0, "+1": 0, "1e3": 0, "NaN": 0, "Inf": 0, "0x1": 0, "1_0": 0, "1.2.3": 0, " 1": 0, "99999999": 0, ".": 0,
	} {
		if got, err := ParseTimeout(in); got != want || (err == nil) != (want > 0) {
			t.Errorf("%q: got %v, %v, want %v", in, got, err, want)
		}
	}
	for in, want := range map[time.Duration]string{
		1250 * time.Millisecond: "1.250", 99*time.Millisecond + 400*time.Microsecond: "0.099", 0: "0.001", -time.Second: "0.001"} {
		if got := FormatSeconds(in); got != want {
			t.Errorf("%v: got %s, want %s", in, got, want)
		}
	}
}

// TestKeysHashAlike guards what keeps a key with its peer at every node: the
// figure is fixed, and escaping does not change it.
func TestKeysHashAlike(t *testing.T) {
	for query, want := range map[string]uint64{
		"user=ab": 0x89c4407b545986a, "x=1&user=ab&y": 0x89c4407b545986a, "user=%61b": 0x89c4407b545986a,
		"%75ser=ab": 0x89c4407b545986a, "": 0, "user=": 0, "user": 0, "users=ab": 0, "x=user=ab": 0} {
		if got, err := keyOf(query); err != nil || got != want {
			t.Errorf("%q: got %#x, %v, want %#x", query, got, err, want)
		}
	}
}

const entry = `{"id":"s-1","addr":"127.0.0.1:9000","zone":"b","kind":"m2","cell":3,"state":"Ready","weight":1.5,"started_ms":7}`

func TestParseGroup(t *testing.T) {
	change := func(old, new string) string { return strings.Replace(entry, old, new, 1) }
	for name, c := range map[string]struct {
		list string
		ok   bool
	}{
		"one":              {`{"version":4,"full":true,"servers":[` + entry + `]}`, true},
		"no change":        {`{"version":4,"full":false,"servers":[]}`, true},
		"cut short":        {`{"version":4,"full":true,"servers":[` + entry, false},
		"no version":       {`{"full":true,"servers":[]}`, false},
		"no full":          {`{"version":4,"servers":[]}`, false},
		"no servers":       {`{"version":4,"full":true}`, false},
		"not an object":    {`[]`, false},
		"unknown state":    {`{"version":4,"full":true,"servers":[` + change("Ready", "Asleep") + `]}`, false},
		"no id":            {`{"version":4,"full":true,"servers":[` + change("s-1", "") + `]}`, false},
		"no port":          {`{"version":4,"full":true,"servers":[` + change(":9000", "") + `]}`, false},
		"negative weight":  {`{"version":4,"full":true,"servers":[` + change("1.5", "-1") + `]}`, false},
		"twice":            {`{"version":4,"full":true,"servers":[` + entry + "," + entry + `]}`, false},
		"one bad of two":   {`{"version":4,"full":true,"servers":[` + entry + "," + change("s-1", "") + `]}`, false},
		"gone, no address": {`{"version":4,"full":false,"servers":[{"id":"s-1","state":"Gone"}]}`, true},
	} {
		if _, _, err := names.ParseEndpoints([]byte(c.list)); (err == nil) != c.ok {
			t.Errorf("%s: error %v", name, err)
		}
	}
	g, version, err := names.ParseEndpoints([]byte(`{"version":4,"full":true,"servers":[` + entry + `,` + change("s-1", "s-2") + `]}`))
	if err != nil || version != 4 || g.Kind != balancer.UpdateFull || len(g.Endpoints) != 2 {
		t.Fatalf("got %+v, %d, %v", g, version, err)
	}
	e := g.Endpoints[0]
	if e.ID != balancer.ServerID(hash("s-1")) || e.ID == g.Endpoints[1].ID || e.Zone != 1 || e.Kind != 1 || e.Cell != 3 ||
		e.Weight != 1.5 || e.StartedAt != balancer.Time(7*time.Millisecond) || e.Addr != "127.0.0.1:9000" || e.State != balancer.Ready {
		t.Errorf("entry %+v", e)
	}
	other := `{"version":4,"full":true,"servers":[` + change("127.0.0.1", "127.0.0.2") + `]}`
	if g, _, err := names.ParseEndpoints([]byte(other)); err != nil || g.Endpoints[0].ID != e.ID {
		t.Error("a peer's identity must not depend on its address, which differs between nodes")
	}
}

func TestResultOf(t *testing.T) {
	for _, c := range []struct {
		status   int
		rejected []string
		want     balancer.Result
	}{
		{200, nil, balancer.OK}, {500, nil, balancer.Errored}, {503, []string{"1"}, balancer.Rejected}, {504, []string{"1"}, balancer.Rejected},
		{503, nil, balancer.Errored}, {503, []string{"1", "0"}, balancer.Errored}, {504, []string{"0"}, balancer.Errored}, {500, []string{"1"}, balancer.Errored}, {404, nil, balancer.Errored},
		{302, nil, balancer.Errored}, {206, nil, balancer.Errored},
	} {
		if got := ClassifyResponse(c.status, c.rejected); got != c.want {
			t.Errorf("%d, %q: got %d, want %d", c.status, c.rejected, got, c.want)
		}
	}
}

const config = `{"name":"n3","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"version":41,"full":true,"servers":[` + entry + `]},
"settings":{"classes":[{"name":"status","aim":1,"deadline":300000000,"gain":2,"idempotency":"pure"},
{"name":"book","aim":1,"deadline":600000000,"gain":2,"idempotency":"side_effect"}],
"contract":{"ask_every":10000000000,"cold":2,"cold_share":0.14,"drain_grace":2500000000,"fall":3,"overload_factor":2.5},
"discovery":"subscribe","limits":{"cancel":true,"connect_timeout":75000000,"idle_close":10000000000,"max_retry_after":5,
"probes":true,"retry_after":true,"second_copies":true,"try_limit":4},"n_instances":2,"kinds":["m1","m2"],
"tenants":[{"name":"acme","share":0.4}],"weights":"nominal","worth_by":"request","zone":1,"zones":["a","b"]}}`

func TestLoad(t *testing.T) {
	env := map[string]string{EnvName: "n3", EnvListen: "127.0.0.1:0", EnvDiscovery: "127.0.0.1:1", EnvConfig: "config.json"}
	load := func(env map[string]string, text string) (*Config, error) {
		return Load(func(n string) string { return env[n] }, func(string) ([]byte, error) {
			if text == "" {
				return nil, errors.New("no such file")
			}
			return []byte(text), nil
		})
	}
	c, err := load(env, config)
	if err != nil {
		t.Fatal(err)
	}
	if c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 || c.ConnectTimeout != 75*time.Millisecond || c.KnownEndpointsVersion != 41 ||
		c.IdleTimeout != 10*time.Second || c.LongestDeadline != 600*time.Millisecond || len(c.KnownEndpoints.Endpoints) != 1 ||
		c.KnownEndpoints.Endpoints[0].Zone != 1 || c.Settings.Zone != 1 || c.Settings.Zones != 2 || c.Settings.MaxAttempts != 4 ||
		c.Settings.DrainGrace != 2500*time.Millisecond || c.NameIndex.Classes["book"] != 1 || fmt.Sprint(c.NameIndex.Methods) != "[GET POST]" || len(c.Settings.Tenants) != 1 {
		t.Errorf("got %+v", c)
	}
	for old, new := range map[string]string{
		config: "", `"8c1f30d27a5be964"`: `"seed"`, `"sockets":1024`: `"sockets":0`, `"idle_close"`: `"idle"`,
		`"name":"book"`: `"name":"status"`, `"state":"Ready"`: `"state":"?"`, `"try_limit"`: `"tries"`, `{"name":"n3"`: `{`} {
		if _, err := load(env, strings.Replace(config, old, new, 1)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: error %v", new, old, err)
		}
	}
	never := strings.NewReplacer(`"connect_timeout":75000000`, `"connect_timeout":9223372036854775807`,
		`"idle_close":10000000000`, `"idle_close":9223372036854775807`).Replace(config)
	if c, err := load(env, never); err != nil || 8*c.ConnectTimeout < c.ConnectTimeout || 8*c.IdleTimeout < c.IdleTimeout {
		t.Errorf("times that mean never: %v, %v, %v, which multiples overflow", c.ConnectTimeout, c.IdleTimeout, err)
	}
	for _, c := range []struct{ old, new, bad string }{ // calls are told by these names, and peers' zones
		{`"name":"book",`, ``, "classes.1"}, {`"name":"status"`, `"name":""`, "classes.0"}, {`"name":"acme",`, ``, "tenants.0"},
		{`"name":"book"`, `"name":"status"`, "classes.1"}, {`["a","b"]`, `["b","b"]`, "zones.1"}, {`["a","b"]`, `["a",""]`, "zones.1"},
		{`["m1","m2"]`, `["m1","m1"]`, "kinds.1"}, {`"contract"`, `"Classes":[{"name":"a"},{"name":"b"},{"name":"c"}],"contract"`, "classes"},
		{`"connect_timeout":75000000`, `"connect_timeout":-1`, "limits.connect_timeout"}, {`"idle_close":10000000000`, `"idle_close":0`, "limits.idle_close"},
	} {
		if _, err := load(env, strings.Replace(config, c.old, c.new, 1)); err == nil || !strings.Contains(err.Error(), "settings: "+c.bad) {
			t.Errorf("%s for %s: error %v, want one about %s", c.new, c.old, err, c.bad)
		}
	}
	for name := range env {
		rest := map[string]string{}
		for k, v := range env {
			if k != name {
				rest[k] = v
			}
		}
		if _, err := load(rest, config); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("without %s: error %v", name, err)
		}
	}
}
