package report

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"regexp"
	"strings"
	"testing"
)

// newReport returns a report with every kind of content and with names that must be escaped.
func newReport() *Report {
	minWorth, most, tries := 0.9, 200.0, 1.5
	r := &Report{
		FormatVersion: FormatVersion, Name: "a <b> & c", Shows: "something", Clock: "virtual", Seed: 7, Length: 3,
		Classes: []string{"quote"}, Broken: []string{"late at 1s: call <x>"},
		Checks: []Check{
			{Figure: "worth", Phase: WholeRun, Value: 0.95, Least: &minWorth, Verdict: Passed},
			{Figure: "p99", Class: "quote", Phase: "calm", Unit: "ms", Value: 250, Most: &most, Verdict: Failed},
			{Figure: "cpu", Phase: WholeRun, Unit: "ms", Most: &most, Verdict: NoVerdict, Note: "not measured"},
		},
		Peers:  []Peer{{Name: "p01", InFlight: []float64{0, 2.5, Down}}, {Name: "p02", InFlight: []float64{Unknown, 1, 1}}},
		Faults: []FaultInterval{{Kind: "death", From: 1, To: 2, Note: "1 peer"}, {Kind: "hush", From: 2, To: 2}},
		Events: []Event{{At: 1, Who: "p01", What: "ended"}},
	}
	counts := Counts{Asked: 11, Served: 6, Late: 1, Refused: 1, Failed: 1, Unanswered: 1, Left: 1}
	f := Figures{Counts: counts, Worth: 0.95, P50: 20, P90: 30, P99: 250, P999: 300, Max: 301}
	all, of := f, f
	all.Tries, of.Class = &tries, "quote"
	for _, name := range []string{WholeRun, "calm"} {
		r.Phases = append(r.Phases, Phase{Name: name, To: 3, All: all, Classes: []Figures{of}})
	}
	for i := range 3 {
		r.Seconds = append(r.Seconds, Second{At: float64(i), Counts: counts, Worth: 0.9, P50: 20, P99: 250, Tries: 12})
	}
	r.Conclude()
	return r
}

func TestText(t *testing.T) {
	var b strings.Builder
	if err := newReport().WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`(?m)^phase +of +asked +worth +late .*cpu$`,
		`(?m)^whole 0s-3s +all +11 +0\.950 +10\.00% +10\.00% +10\.00% +10\.00% +20ms +30ms +250ms +300ms +1\.50 +-$`,
		`(?m)^ +quote +11 `, `(?m)^death +1s +2s +1 peer$`,
		`(?m)^worth +>= 0\.9000 +0\.9500 +passed$`, `(?m)^p99 of quote in calm +<= 200ms +250ms +failed$`,
		`(?m)^cpu +<= 200ms +- +not measured$`, `(?m)^broken: late at 1s`,
		`(?m)^failed: 1 of 2 assertions hold, 1 not judged, 1 rules broken$`,
	} {
		if !regexp.MustCompile(want).MatchString(b.String()) {
			t.Errorf("no match for %s in\n%s", want, b.String())
		}
	}
}

// TestJSON checks that lists without elements are written as lists, not as null, because readers of the JSON expect
// them.
func TestJSON(t *testing.T) {
	for _, r := range []*Report{newReport(), {}} {
		var b strings.Builder
		if err := r.WriteJSON(&b); err != nil {
			t.Fatal(err)
		}
		var got map[string]any
		if err := json.Unmarshal([]byte(b.String()), &got); err != nil {
			t.Fatal(err)
		}
		for _, key := range []string{"checks", "broken", "faults", "events"} {
			if _, ok := got[key].([]any); !ok {
				t.Errorf("key %s is %v, want a list", key, got[key])
			}
		}
	}
}

// TestPage checks that the SVG is well-formed XML for all names and that the page refers to no other resource.
func TestPage(t *testing.T) {
	empty := &Report{Name: "nothing", Length: 1}
	for _, r := range []*Report{newReport(), empty} {
		for _, picture := range []string{r.renderSVG(false), r.renderSVG(true)} {
			d := xml.NewDecoder(strings.NewReader(picture))
			for {
				if _, err := d.Token(); errors.Is(err, io.EOF) {
					break
				} else if err != nil {
					t.Fatalf("%s: %v", r.Name, err)
				}
			}
			if bad := regexp.MustCompile(`NaN|Inf|="-\d+"`).FindString(picture); bad != "" {
				t.Errorf("%s: invalid number %s in the SVG", r.Name, bad)
			}
		}
		var page strings.Builder
		if err := r.WriteHTML(&page); err != nil {
			t.Fatal(err)
		}
		elsewhere := regexp.MustCompile(`(?i)<script|<link|src=|url\(|@import|href=`)
		if bad := elsewhere.FindString(page.String()); bad != "" || strings.Contains(page.String(), "a <b>") {
			t.Errorf("%s: external reference %q or unescaped name in the page", r.Name, bad)
		}
		if r != empty && (!strings.Contains(page.String(), "<svg") || !strings.Contains(page.String(), "call &lt;x&gt;")) {
			t.Error("the page lacks the chart or the broken rule")
		}
	}
}

func TestTicks(t *testing.T) {
	for _, c := range []struct {
		most float64
		n    int
		last float64
		many int
	}{{1, 4, 1, 3}, {30, 8, 30, 7}, {247, 4, 300, 4}, {0.5, 4, 0.6, 4}} {
		got := tickValues(c.most, c.n)
		if len(got) != c.many || got[len(got)-1] < c.last*0.999 || got[len(got)-1] > c.last*1.001 {
			t.Errorf("case %v: unexpected ticks %v", c, got)
		}
	}
}
