package protocol

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

const config = `{"name":"n3","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"version":41,"full":true,"servers":[` + entry + `]},
"settings":{"classes":[{"name":"status","aim":1,"deadline":300000000,"gain":2,"idempotency":"pure"},
{"name":"book","aim":1,"deadline":600000000,"gain":2,"idempotency":"side_effect"}],
"contract":{"ask_every":10000000000,"cold":2,"cold_share":0.14,"drain_grace":2500000000,"fall":3,"overload_factor":2.5},
"discovery":"subscribe","limits":{"cancel":true,"connect_timeout":75000000,"idle_close":10000000000,"max_retry_after":5,
"probes":true,"retry_after":true,"second_copies":true,"try_limit":4},"n_instances":2,"kinds":["m1","m2"],
"tenants":[{"name":"acme","share":0.4}],"weights":"nominal","worth_by":"request","zone":1,"zones":["a","b"]}}`

// TestLoad: Load reads the configuration from the environment and the file. Any invalid value in either is an error of
// one line.
func TestLoad(t *testing.T) {
	env := map[string]string{
		EnvName: "n3", EnvListen: "127.0.0.1:0", EnvDiscovery: "127.0.0.1:1", EnvConfig: "config.json"}
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
	if c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 || c.ConnectTimeout != 75*time.Millisecond ||
		c.KnownEndpointsVersion != 41 || c.IdleTimeout != 10*time.Second ||
		c.LongestDeadline != 600*time.Millisecond || len(c.KnownEndpoints.Endpoints) != 1 ||
		c.KnownEndpoints.Endpoints[0].Zone != 1 || c.Settings.Zone != 1 || c.Settings.Zones != 2 ||
		c.Settings.MaxAttempts != 4 || c.Settings.DrainGrace != 2500*time.Millisecond ||
		c.NameIndex.Classes["book"] != 1 || fmt.Sprint(c.NameIndex.Methods) != "[GET POST]" ||
		len(c.Settings.Tenants) != 1 {
		t.Errorf("got %+v", c)
	}
	for old, new := range map[string]string{
		config:               "",
		`"8c1f30d27a5be964"`: `"seed"`,
		`"sockets":1024`:     `"sockets":0`,
		`"idle_close"`:       `"idle"`,
		`"name":"book"`:      `"name":"status"`,
		`"state":"Ready"`:    `"state":"?"`,
		`"try_limit"`:        `"tries"`,
		`{"name":"n3"`:       `{`,
	} {
		if _, err := load(env, strings.Replace(config, old, new, 1)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s in place of %s: got error %v, want one of one line", new, old, err)
		}
	}
	huge := strings.NewReplacer(`"connect_timeout":75000000`, `"connect_timeout":9223372036854775807`,
		`"idle_close":10000000000`, `"idle_close":9223372036854775807`).Replace(config)
	if c, err := load(env, huge); err != nil || 8*c.ConnectTimeout < c.ConnectTimeout || 8*c.IdleTimeout < c.IdleTimeout {
		t.Errorf("largest durations: got %v, %v, error %v; want durations of which 8 do not overflow",
			c.ConnectTimeout, c.IdleTimeout, err)
	}
	for _, c := range []struct{ old, new, bad string }{ // requests and endpoint lists refer to these names
		{`"name":"book",`, ``, "classes.1"},
		{`"name":"status"`, `"name":""`, "classes.0"},
		{`"name":"acme",`, ``, "tenants.0"},
		{`"name":"book"`, `"name":"status"`, "classes.1"},
		{`["a","b"]`, `["b","b"]`, "zones.1"},
		{`["a","b"]`, `["a",""]`, "zones.1"},
		{`["m1","m2"]`, `["m1","m1"]`, "kinds.1"},
		{`"contract"`, `"Classes":[{"name":"a"},{"name":"b"},{"name":"c"}],"contract"`, "classes"},
		{`"connect_timeout":75000000`, `"connect_timeout":-1`, "limits.connect_timeout"},
		{`"idle_close":10000000000`, `"idle_close":0`, "limits.idle_close"},
	} {
		_, err := load(env, strings.Replace(config, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), "settings: "+c.bad) {
			t.Errorf("%s in place of %s: got error %v, want one that names %s", c.new, c.old, err, c.bad)
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
			t.Errorf("without the variable %s: got error %v, want one that names it", name, err)
		}
	}
}
