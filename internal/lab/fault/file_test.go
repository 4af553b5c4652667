package fault

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// change replaces one line of a file and says which one it was.
func change(t *testing.T, text []byte, old, new string) ([]byte, int) {
	t.Helper()
	i := bytes.Index(text, []byte(old))
	if i < 0 {
		t.Fatalf("no %q in\n%s", old, text)
	}
	line := 1 + bytes.Count(text[:i], []byte("\n")) + strings.Count(new, "\n")
	return append(append(bytes.Clone(text[:i]), new...), text[i+len(old):]...), line
}

// Each bad file gets one line: where, what, why. The error stands in the last
// line of what is put in.
func TestBadScripts(t *testing.T) {
	s := &Script{}
	for seed := uint64(0); len(s.Faults) < 2 || s.Faults[0].Kind != "drain"; seed++ {
		s = Draw(seed, scenario(t))
	}
	good := written(t, s)
	peer, drain := "[[world.peer]]", "[[fault]]\nkind = 'drain'"
	for _, c := range []struct{ old, new, want string }{
		{"seed = ", "sed = ", "sed: unknown key"},
		{"seed = ", "seed = -", "seed: -"},
		{"seed = ", "Seed = 1 #", "Seed: unknown key"},
		{"seed = ", "seed = 1\nseed = ", "seed: key seed is already defined"},
		{"length = ", "length = 5 #", `length: want a length of time such as "1.5s", not the number 5`},
		{"length = ", "length = '5' #", `length: not a length of time: "5"`},
		{"length = ", "length = '1h' #", "length: 1h0m0s is not from 1s to 10m0s"},
		{"length = ", "length = #", "unexpected character"},
		{"jitter = ", "jitter = 'a' #", "world.net.jitter: want a number, not a string"},
		{"jitter = ", "jitter = nan #", "world.net.jitter: NaN is not from 0 to 10"},
		{"try_limit = ", "try_limit = 1.5 #",
			"world.contract.try_limit: want a whole number, not the number 1.5"},
		{"try_limit = ", "try_limit = 0 #", "world.contract.try_limit: 0 is not from 1 to 20"},
		{"probes = ", "probes = 1 #", "world.contract.probes: want true or false, not the number 1"},
		{"zones = ['tamworth'", "zones = ['tamworth', 'tamworth'", `world.zones[1]: "tamworth" stands twice`},
		{"spare = 'registry-spare:8500'", "spare = 'registry:8500'",
			`world.discovery.spare: "registry" is the name of world.discovery.addr already`},
		{"[[world.node]]\nname = 'n1'", "[[world.node]]\nname = 'N1'",
			`world.node[0].name: not a name of lower-case`},
		{peer + "\nname = 'p02'", peer + "\nname = 'p01'",
			`world.peer[1].name: "p01" is the name of world.peer[0].name already`},
		{peer + "\nname = 'p02'", peer + "\nname = 'p02'\nname = 'p02'", "name: key name is already defined"},
		{peer + "\nname = 'p02'", peer + "\nlate = true\nname = 'p02'", ""},
		{"[world.clients.mix]", "[world.clients.mix]\nnone = 0.0",
			`world.clients[0].mix.none: no such class: "none"`},
		{"[world.clients.mix]", "[world.clients.mix]\nquote = 0.9 #", ""},
		{"[[world.peer]]", "[world.peer]", ""},
		{drain, "[[fault]]\nkind = 'drown'", `fault[0].kind: no such kind: "drown"`},
		{drain, "[[fault]]\nkind = 'rogues'", `fault[0].kind: "rogues" is stated in the world, as world.rogue`},
		{drain, drain + "\nshare = 0.5", "fault[0].share: drain takes none"},
		{drain, drain + "\nfactor = '2'", "fault[0].factor: want a number, not a string"},
		{drain, "[[fault]]\nkind = 'death'\nturn_away = '1s' #", ""},
	} {
		bad, line := change(t, good, c.old, c.new)
		_, err := Parse("a.toml", bad)
		var at *Error
		if !errors.As(err, &at) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v", c.new, err)
			continue
		}
		if want := fmt.Sprintf("a.toml:%d: %s", line, c.want); c.want != "" && !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: error %q, want %q", c.new, err, want)
		}
	}
}

func TestCheckFaults(t *testing.T) {
	s := Draw(3, scenario(t))
	p := s.World.Peers[0].Name
	for _, c := range []struct {
		f    Fault
		want string
	}{
		{Fault{Kind: "death", For: 1e9, Peers: []string{p}}, ""},
		{Fault{Kind: "death", For: 1e9}, "fault[0].peers: there must be one at least"},
		{Fault{Kind: "death", For: 1e9, Peers: []string{"p99"}}, `fault[0].peers[0]: no such peer: "p99"`},
		{Fault{Kind: "death", For: 1e9, Peers: []string{p, p}}, `fault[0].peers[1]: "p01" stands twice`},
		{Fault{Kind: "death", Peers: []string{p}}, "fault[0].for: 0s is not from 50ms to 10m0s"},
		{Fault{Kind: "death", At: s.Length - 1, For: 1e9, Peers: []string{p}}, "fault[0].at: goes on until"},
		{Fault{Kind: "fail", For: 1e9, Peers: []string{p}, Share: 1.5},
			"fault[0].share: 1.5 is not from 0.001 to 1"},
		{Fault{Kind: "replace", For: 1e9, Peers: []string{p}}, "fault[0].heirs: there must be one at least"},
		{Fault{Kind: "replace", For: 1e9, Peers: []string{p}, Heirs: []string{"p02"}},
			`fault[0].heirs[0]: "p02" is there from the start`},
		{Fault{Kind: "costly", For: 1e9, Class: "x", Share: 0.1, Factor: 2},
			`fault[0].class: no such class: "x"`},
		{Fault{Kind: "cut", For: 1e9, Zone: "x"}, `fault[0].zone: no such zone: "x"`},
		{Fault{Kind: "node-kill", For: 1e9, Nodes: []string{p}}, `fault[0].nodes[0]: no such node: "p01"`},
		{Fault{Kind: "node-restart", For: 2e9, Nodes: []string{s.World.Nodes[0].Name}},
			"fault[0].for: 2s is less than the 2.2s"},
		{Fault{Kind: "outage", For: 1e9, Zone: "derby", Peers: []string{p}},
			`fault[0].peers[0]: "p01" is in zone "tamworth"`},
	} {
		s.Faults = []Fault{c.f}
		s.World.Malformed = nil
		s.World.Peers = slices.DeleteFunc(s.World.Peers, func(p world.Peer) bool { return p.Late })
		err := s.Check()
		if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%+v: error %v, want %q", c.f, err, c.want)
		}
	}
}

func TestCheckHeirs(t *testing.T) {
	s := Draw(3, scenario(t))
	s.World.Peers = append(s.World.Peers[:2:2], s.World.Peers[0], s.World.Peers[1])
	for i, name := range []string{"q1", "q2"} {
		q := &s.World.Peers[2+i]
		q.Name, q.Host, q.Late = name, s.World.Peers[i].Name, true
	}
	replace := func(at int, peer, heir string) Fault {
		return Fault{Kind: "replace", At: figure.Span(at) * 1e9, For: 1e9, Peers: []string{peer}, Heirs: []string{heir}}
	}
	for _, c := range []struct {
		faults []Fault
		want   string
	}{
		{[]Fault{replace(1, "p01", "q1"), replace(2, "p02", "q2")}, ""},
		{[]Fault{replace(1, "p01", "q1")}, `world.peer[3].late: no fault starts "q2"`},
		{[]Fault{replace(1, "p01", "q2")}, `fault[0].heirs[0]: "q2" has not the host of "p01"`},
		{[]Fault{replace(1, "p01", "q1"), replace(2, "p01", "q1")},
			`fault[1].heirs[0]: "q1" is started by fault[0] already`},
	} {
		s.Faults, s.World.Malformed = c.faults, nil
		if err := s.Check(); (err == nil) != (c.want == "") || err != nil && err.Error() != c.want {
			t.Errorf("error %v, want %q", err, c.want)
		}
	}
}

func TestBadScenarios(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"jitter = [0.05, 0.3]", "jitter = [0.3, 0.05]", "net.jitter: range upside down"},
		{`length = ["16s", "30s"]`, `length = ["30s", "16s"]`, "length: range upside down"},
		{"peers = [5, 10]", "peers = [10, 5]", "scale.peers: range upside down"},
		{"peers = [5, 10]", "peers = [0, 5]", "scale.peers: 0 is not from 1 to 1000"},
		{"peers = [5, 10]", "peers = [1, 2, 3]", "scale.peers: a range has two ends"},
		{"peers = [5, 10]", "peers = [1.5, 2]", "scale.peers: want a whole number, not the number 1.5"},
		{"peers = [5, 10]", "peers = 5\npears = 5", "scale.pears: unknown key"},
		{"[scale]\npeers = [5, 10]", "[scale]", "scale.peers: missing"},
		{"falls = 0.8", "falls = 1.8", "peer.falls: 1.8 is not from 0 to 1"},
		{`pause_each = ["3.3s", "8.5s"]`, `pause_each = ["0s", "8.5s"]`,
			"peer_kind[0].pause_each: 0s is not from 100ms"},
		{`name = "hush"`, `name = "hash"`, `kind[14].name: no such kind: "hash"`},
		{`for = ["10s", "28s"]`, "part = 1\n" + `for = ["10s", "28s"]` + "\npause = '1s'", ""},
		{`kinds = ["move", "discovery-break", "drain"]`, `kinds = ["mov"]`,
			`combo[0].kinds[0]: no such kind: "mov"`},
		{`addr = "registry:8500"`, `addr = "registry"`, `discovery.addr: not host:port: "registry"`},
		{`addr = "registry:8500"`, `addr = "p01:8500"`, ""},
	} {
		bad, line := change(t, defaultScenario, c.old, c.new)
		path := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadScenario(path)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v", c.new, err)
			continue
		}
		if want := fmt.Sprintf("%s:%d: %s", path, line, c.want); c.want != "" && !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: error %q, want %q", c.new, err, want)
		}
	}
	if _, err := Load("none.toml"); err == nil || err.Error() != "none.toml:1: no such file or directory" {
		t.Errorf("a file that is not there: %v", err)
	}
}

// Every figure has a limit, every key of a kind is one of a fault's, and the
// page has the table as it is.
func TestTables(t *testing.T) {
	table := limits()
	s := Draw(3, scenario(t))
	figures("world", "world", reflect.ValueOf(s.World), func(key, bare string, _ reflect.Value) {
		if _, ok := table[bare]; !ok {
			t.Errorf("%s has no limit", bare)
		}
	})
	var ofs func(v reflect.Type)
	ofs = func(v reflect.Type) {
		for n := range v.NumField() {
			f := v.Field(n)
			if of, ok := f.Tag.Lookup("of"); ok && table[of] == (limit{}) {
				t.Errorf("%s.%s: no limit %q", v.Name(), f.Name, of)
			}
			e := f.Type
			if e.Kind() == reflect.Slice {
				e = e.Elem()
			}
			if e.Kind() == reflect.Struct {
				ofs(e)
			}
		}
	}
	ofs(reflect.TypeFor[Scenario]())
	page, err := os.ReadFile("../../../docs/LAB-SCRIPTS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range append(KindTable(), FleetTable()...) {
		var keys []string
		for _, take := range k.Takes {
			keys = append(keys, "`"+take.Key+"`")
			if take.Key != "part" && !hasKey(take.Key) {
				t.Errorf("%s takes %s, which no fault has", k.Name, take.Key)
			}
		}
		if row := fmt.Sprintf("| `%s` | %s | %s |", k.Name, k.Does, strings.Join(keys, ", ")); !bytes.Contains(page, []byte(row)) {
			t.Errorf("the page lacks the row\n%s", row)
		}
	}
}

func hasKey(key string) bool {
	f := reflect.TypeFor[Fault]()
	for n := range f.NumField() {
		if name(f.Field(n)) == key {
			return true
		}
	}
	return false
}

// Nothing that a file can hold makes the reader panic, and what it takes, it
// takes again when written.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"seed = 1\nlength = '5s'\n[[fault]]\nkind = 'death'\npeers = ['p01']\n", "a = []\n[a.b]\n", "a = [1]\n[[a]]\n",
		"fault = [{kind = 'move', at = '1s'}]\n", "[world.net]\n[world]\nnet.rate = 1e4\n", "world.peer = [[1], 'x']\n",
		"[[world.peer]]\n[[world.peer.x]]\n[world.peer.x.y]\n", "\"\" = 1\n[world.\"a.b\"]\n", "seed = 0x7fffffffffffffff\n",
	} {
		f.Add([]byte(text))
	}
	f.Add(defaultScenario)
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse("f.toml", data); err == nil {
			if back, err := Parse("f.toml", written(t, s)); err != nil || !reflect.DeepEqual(back, s) {
				t.Errorf("not the same when read back: %v", err)
			}
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("more than a line: %q", err)
		}
		_, _ = parseScenario("f.toml", data)
	})
}
