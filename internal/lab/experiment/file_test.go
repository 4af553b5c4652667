package experiment

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"
)

const good = `name = "one"
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

// Each bad file gets one line: where, what, why. The error stands in the last line of what is put in.
func TestBadFiles(t *testing.T) {
	if _, err := Parse("a.toml", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`name = "one"`, `nam = "one"`, "nam: unknown key"},
		{`shows = "something"`, `shows = ""`, "shows: say what it shows"},
		{`length = "20s"`, `length = 20`, `length: want a length of time such as "1.5s", not the number 20`},
		{`length = "20s"`, `length = "0s"`, "length: there is none"},
		{`short = 0.5`, `short = 2`, "short: 2 is not from 0.05 to 1"},
		{`short = 0.5`, `slower = 2`, "slower: 2 is not from 0.001 to 1"},
		{`peers = 6`, `peers = -1`, "world.peers: -1 is not from 1 to 1000"},
		{`rate = 50`, `rate = 0.5`, "world.rate: 0.5 is not from 1 to 100000"},
		{`rate = 50`, "rate = 50\nload = 0.5", "world.load: either a rate or a load"},
		{`rate = 50`, `scenario = "none.toml"`, "world.scenario: none.toml:1: "},
		{`from = "2s"`, `from = "15s"`, ""},
		{`name = "calm"`, `name = "whole"`, `phase[0].name: "whole" stands twice, or is the whole run`},
		{`for = "8s"`, `for = "0s"`, "phase[0].for: it has no length"},
		{`for = "8s"`, `for = "19s"`, "phase[0].for: goes on until 21s, the run until 20s"},
		{`kind = "death"`, `kind = "dearth"`, `fault[0].kind: no such kind: "dearth"`},
		{`kind = "death"`, `kind = "rogues"`, `fault[0].kind: "rogues" are stated as [[rogues]]`},
		{`part = 0.3`, `part = 3.0`, "fault[0].part: 3 is not from 0 to 1"},
		{`part = 0.3`, `share = 0.3`, "fault[0].share: death takes none"},
		{`for = "2s"`, `for = "9s"`, ""},
		{`peers = ["p01"]`, `peers = ["p99"]`, `fault[1].peers: no such peer: "p99"`},
		{`kinds = ["noise"]`, `kinds = ["music"]`, ""},
		{`what = "worth"`, `what = "wealth"`, `assert[0].what: no such figure: "wealth"`},
		{`phase = "calm"`, `phase = "storm"`, `assert[0].phase: no such phase: "storm"`},
		{`least = 0.9`, `least = "1s"`, "assert[0].least: worth wants a number"},
		{`least = 0.9`, `least = true`, "assert[0].least: want a number or a length of time, not true"},
		{`least = 0.9`, "least = 0.9\nmost = 0.8", "assert[0].most: bounds upside down"},
		{`least = 0.9`, ``, ""},
		{`class = "quote"`, `class = "quota"`, `assert[1].class: no such class: "quota"`},
		{`class = "quote"`, "class = 'quote'\ntenant = 'ashby-dental'", "assert[1].tenant: either a class or a tenant"},
		{`class = "quote"`, `tenant = "nobody"`, `assert[1].tenant: no such tenant: "nobody"`},
		{`most = "200ms"`, `most = 200`, `assert[1].most: p99 wants a length of time such as "200ms"`},
		{`[world]`, "[script]\nseed = 1\n[world]", ""},
	} {
		i := strings.Index(good, c.old)
		_, err := Parse("a.toml", []byte(good[:i]+c.new+good[i+len(c.old):]))
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "a.toml:") {
			t.Errorf("%q: error %v", c.new, err)
			continue
		}
		_, said, _ := strings.Cut(err.Error(), ": ")
		if c.want != "" && !strings.HasPrefix(said, c.want) {
			t.Errorf("%q: error %q, want %q", c.new, said, c.want)
		}
		line := 1 + strings.Count(good[:i]+c.new, "\n")
		if c.want != "" && !strings.HasPrefix(err.Error(), fmt.Sprintf("a.toml:%d:", line)) {
			t.Errorf("%q: error %q, want it in line %d", c.new, err, line)
		}
	}
}

// A seed gives one plan, whose rate is the one stated; the short form is the same in less time.
func TestPlan(t *testing.T) {
	e, err := Parse("a.toml", []byte(good))
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
			t.Error("one seed, two plans, or two seeds, one plan")
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
			t.Errorf("rate %v, %d peers, %d nodes", rate, early, len(one.Script.World.Nodes))
		}
		slower := *e
		slower.Slower = 0.1
		if p, err := slower.Plan(5, short); err != nil {
			t.Error(err)
		} else if less := p.Script.World.Clients[0].Rate < one.Script.World.Clients[0].Rate; less != short {
			t.Errorf("short %v: less is %v", short, less)
		}
		length, death, phase := 20*time.Second, 10*time.Second, 8*time.Second
		if short {
			length, death, phase = length/2, death/2, phase/2
		}
		s := one.Script
		f := s.Faults[0]
		if s.Length.D() != length || f.At.D() != death || one.Phases[0].For.D() != phase || len(f.Peers) != 1 {
			t.Errorf("short %v: %v, %+v, %+v", short, s.Length.D(), s.Faults, one.Phases)
		}
	}
}

// A whole script may stand in place of a world: it is played as it is, with the experiment's faults
// added, and what is wrong with it is found where it stands.
func TestInlineScript(t *testing.T) {
	e, err := Parse("a.toml", []byte(good))
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
		short.Script.Faults[0].At != own[0].At/2 ||
		short.Script.World.Malformed[0].From*2 != whole.Script.World.Malformed[0].From {
		t.Errorf("%+v, short %+v", whole.Script.Faults, short.Script.Faults)
	}
	for old, want := range map[string]string{
		"peers = ['p02']": "fault[0].peers[0]: no such peer", "kind = 'death'": "script.fault[0].kind: no such kind",
	} {
		i := strings.Index(text, old)
		bad := text[:i] + strings.Replace(strings.Replace(old, "p02", "p88", 1), "death", "dearth", 1) + text[i+len(old):]
		at := fmt.Sprintf("b.toml:%d: %s", 1+strings.Count(text[:i], "\n"), want)
		if _, err := Parse("b.toml", []byte(bad)); err == nil || !strings.HasPrefix(err.Error(), at) {
			t.Errorf("%v, want %s", err, at)
		}
	}
}
