package experiment

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"
)

const validFile = `name = "one"
shows = "something"
seed = 3
length = "20s"
short = 0.5

[world]
peers = 6
nodes = 2
rate = 50

[[phase]]
name = "calm"
from = "2s"
for = "8s"

[[fault]]
kind = "death"
at = "10s"
for = "4s"
part = 0.3

[[fault]]
kind = "release"
at = "12s"
for = "2s"
peers = ["p01"]

[[rogues]]
kinds = ["noise"]
rate = 2
from = "1s"
for = "3s"

[[assert]]
what = "worth"
phase = "calm"
least = 0.9

[[assert]]
what = "p99"
class = "quote"
most = "200ms"
`

// An invalid file gives an error of one line with file, line, key and reason. The line is that of the last line of the
// replacement text.
func TestParseErrors(t *testing.T) {
	if _, err := Parse("a.toml", []byte(validFile)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`name = "one"`, `nam = "one"`, "nam: unknown key"},
		{`shows = "something"`, `shows = ""`, "shows: must not be empty"},
		{`length = "20s"`, `length = 20`, `length: want a length of time such as "1.5s", not the number 20`},
		{`length = "20s"`, `length = "0s"`, "length: must be positive"},
		{`short = 0.5`, `short = 2`, "short: 2 is outside the range 0.05 to 1"},
		{`short = 0.5`, `slower = 2`, "slower: 2 is outside the range 0.001 to 1"},
		{`peers = 6`, `peers = -1`, "world.peers: -1 is outside the range 1 to 1000"},
		{`rate = 50`, `rate = 0.5`, "world.rate: 0.5 is outside the range 1 to 100000"},
		{`rate = 50`, "rate = 50\nload = 0.5", "world.load: rate and load are mutually exclusive"},
		{`rate = 50`, `scenario = "none.toml"`, "world.scenario: none.toml:1: "},
		{`from = "2s"`, `from = "15s"`, ""},
		{`name = "calm"`, `name = "whole"`, `phase[0].name: "whole" is a duplicate or the reserved name of the whole run`},
		{`for = "8s"`, `for = "0s"`, "phase[0].for: must be positive"},
		{`for = "8s"`, `for = "19s"`, "phase[0].for: phase ends at 21s, after the end of the run at 20s"},
		{`kind = "death"`, `kind = "dearth"`, `fault[0].kind: no such kind: "dearth"`},
		{`kind = "death"`, `kind = "rogues"`, `fault[0].kind: "rogues" is not a kind of [[fault]]; use [[rogues]]`},
		{`part = 0.3`, `part = 3.0`, "fault[0].part: 3 is outside the range 0 to 1"},
		{`part = 0.3`, `share = 0.3`, "fault[0].share: kind death has no such parameter"},
		{`for = "2s"`, `for = "9s"`, ""},
		{`peers = ["p01"]`, `peers = ["p99"]`, `fault[1].peers: no such peer: "p99"`},
		{`kinds = ["noise"]`, `kinds = ["music"]`, ""},
		{`what = "worth"`, `what = "wealth"`, `assert[0].what: unknown figure "wealth"`},
		{`phase = "calm"`, `phase = "storm"`, `assert[0].phase: unknown phase "storm"`},
		{`least = 0.9`, `least = "1s"`, "assert[0].least: worth needs a number"},
		{`least = 0.9`, `least = true`, "assert[0].least: want a number or a duration, not true"},
		{`least = 0.9`, "least = 0.9\nmost = 0.8", "assert[0].most: most is below least"},
		{`least = 0.9`, ``, ""},
		{`class = "quote"`, `class = "quota"`, `assert[1].class: unknown class "quota"`},
		{`class = "quote"`, "class = 'quote'\ntenant = 'ashby-dental'", "assert[1].tenant: class and tenant are both set"},
		{`class = "quote"`, `tenant = "nobody"`, `assert[1].tenant: unknown tenant "nobody"`},
		{`most = "200ms"`, `most = 200`, `assert[1].most: p99 needs a duration such as "200ms"`},
		{`[world]`, "[script]\nseed = 1\n[world]", ""},
	} {
		i := strings.Index(validFile, c.old)
		_, err := Parse("a.toml", []byte(validFile[:i]+c.new+validFile[i+len(c.old):]))
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "a.toml:") {
			t.Errorf("%q: error %v, want one line that begins with a.toml:", c.new, err)
			continue
		}
		_, said, _ := strings.Cut(err.Error(), ": ")
		if c.want != "" && !strings.HasPrefix(said, c.want) {
			t.Errorf("%q: error %q, want prefix %q", c.new, said, c.want)
		}
		line := 1 + strings.Count(validFile[:i]+c.new, "\n")
		if c.want != "" && !strings.HasPrefix(err.Error(), fmt.Sprintf("a.toml:%d:", line)) {
			t.Errorf("%q: error %q, want line %d", c.new, err, line)
		}
	}
}

// A seed always gives the same plan, with the request rate of the file. The short form scales all its times.
func TestPlan(t *testing.T) {
	e, err := Parse("a.toml", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, short := range []bool{false, true} {
		one, err := e.Plan(5, short)
		if err != nil {
			t.Fatal(err)
		}
		again, _ := e.Plan(5, short)
		other, _ := e.Plan(6, short)
		text := func(p *Plan) string {
			var b strings.Builder
			if err := p.Script.Write(&b); err != nil {
				t.Fatal(err)
			}
			return b.String()
		}
		if text(one) != text(again) || text(one) == text(other) {
			t.Error("plans of one seed differ, or plans of two seeds are equal")
		}
		rate, early := 0.0, 0
		for _, c := range one.Script.World.Clients {
			rate += c.Rate
		}
		for _, p := range one.Script.World.Peers {
			if !p.Late {
				early++
			}
		}
		if rate < 49.9 || rate > 50.1 || early != 6 || len(one.Script.World.Nodes) != 2 {
			t.Errorf("rate %v, %d peers, %d nodes; want 50, 6 and 2", rate, early, len(one.Script.World.Nodes))
		}
		slower := *e
		slower.Slower = 0.1
		if p, err := slower.Plan(5, short); err != nil {
			t.Error(err)
		} else if less := p.Script.World.Clients[0].Rate < one.Script.World.Clients[0].Rate; less != short {
			t.Errorf("short %v: request rate reduced by slower: %v, want it only in the short form", short, less)
		}
		length, death, phase := 20*time.Second, 10*time.Second, 8*time.Second
		if short {
			length, death, phase = length/2, death/2, phase/2
		}
		s := one.Script
		f := s.Faults[0]
		if s.Length.D() != length || f.At.D() != death || one.Phases[0].For.D() != phase || len(f.Peers) != 1 {
			t.Errorf("short %v: unexpected length %v, faults %+v or phases %+v", short, s.Length.D(), s.Faults, one.Phases)
		}
	}
}

// A file may have a complete [script] table instead of a [world]. The plan has the script's faults and those of the
// file, and an error names the line of the invalid key.
func TestInlineScript(t *testing.T) {
	e, err := Parse("a.toml", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	plan, err := e.Plan(3, false)
	if err != nil {
		t.Fatal(err)
	}
	var script strings.Builder
	if err := plan.Script.Write(&script); err != nil {
		t.Fatal(err)
	}
	tables := regexp.MustCompile(`(?m)^(\[+)`).ReplaceAllString(script.String(), "${1}script.")
	text := "name = 'two'\nshows = 'it'\nshort = 0.5\n[[fault]]\nkind = 'slow'\nat = '2s'\nfor = '4s'\nfactor = 3\n" +
		"peers = ['p02']\n[script]\n" + tables
	two, err := Parse("b.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := two.Plan(two.Seed, false)
	if err != nil {
		t.Fatal(err)
	}
	short, err := two.Plan(two.Seed, true)
	if err != nil {
		t.Fatal(err)
	}
	own := plan.Script.Faults
	if two.Seed != 3 || len(whole.Script.Faults) != len(own)+1 || whole.Script.Faults[0].At != own[0].At ||
		short.Script.Faults[0].At != own[0].At/2 || short.Script.World.Malformed[0].From*2 != whole.Script.World.Malformed[0].From {
		t.Errorf("unexpected faults %+v or, in the short form, %+v", whole.Script.Faults, short.Script.Faults)
	}
	for old, want := range map[string]string{
		"peers = ['p02']": "fault[0].peers[0]: no such peer", "kind = 'death'": "script.fault[0].kind: no such kind",
	} {
		i := strings.Index(text, old)
		bad := text[:i] + strings.Replace(strings.Replace(old, "p02", "p88", 1), "death", "dearth", 1) + text[i+len(old):]
		at := fmt.Sprintf("b.toml:%d: %s", 1+strings.Count(text[:i], "\n"), want)
		if _, err := Parse("b.toml", []byte(bad)); err == nil || !strings.HasPrefix(err.Error(), at) {
			t.Errorf("error %v, want prefix %s", err, at)
		}
	}
}
