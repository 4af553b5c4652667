// Package campaigntest has sources for tests of campaigns, with a toy for a run: its faults
// say what becomes of it.
package campaigntest

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"iter"
	"slices"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"olivebridge/internal/lab/campaign"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/rules"
	"olivebridge/internal/lab/stage"
)

// Sources draw from each seed one fault of kind "dull"; seeds divisible by five also draw
// "breaks", which breaks the rule lost.
func Sources() campaign.Sources {
	return campaign.Sources{
		Play:   logged(io.Discard),
		Logged: logged,
		Scenario: func(path string) (campaign.Draw, error) {
			if path != "" {
				return nil, fmt.Errorf("%s:3: load: range upside down", path)
			}
			return draw, nil
		},
		Parse: func(name string, text []byte) (*fault.Script, error) {
			s := &fault.Script{}
			if err := toml.Unmarshal(text, s); err != nil {
				return nil, fmt.Errorf("%s:1: %w", name, err)
			}
			return s, nil
		},
		Write:    func(s *fault.Script, w io.Writer) error { return toml.NewEncoder(w).Encode(s) },
		Smaller:  smaller,
		Kinds:    kinds,
		Pairs:    pairs,
		AllKinds: []string{"breaks", "dull", "never"},
		Rules:    []string{"lost", "late", "crash", "hang"},
	}
}

func draw(seed uint64) *fault.Script {
	s := &fault.Script{Seed: seed, Length: figure.Span(8 * time.Second), Faults: []fault.Fault{{Kind: "dull"}}}
	if seed%5 == 0 {
		s.Faults = append(s.Faults, fault.Fault{Kind: "breaks"}, fault.Fault{Kind: "dull"})
	}
	return s
}

func kinds(s *fault.Script) (some []string) {
	for _, f := range s.Faults {
		some = append(some, f.Kind)
	}
	return slices.Compact(slices.Sorted(slices.Values(some)))
}

func pairs(s *fault.Script) (some [][2]string) {
	k := kinds(s)
	for i := range k {
		for _, other := range k[i+1:] {
			some = append(some, [2]string{k[i], other})
		}
	}
	return some
}

// smaller halves the length, or takes one fault away.
func smaller(s *fault.Script) iter.Seq[*fault.Script] {
	return func(yield func(*fault.Script) bool) {
		if c := *s; s.Length.D() > time.Second {
			if c.Length /= 2; !yield(&c) {
				return
			}
		}
		for i := range s.Faults {
			c := *s
			if c.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1); !yield(&c) {
				return
			}
		}
	}
}

func logged(log io.Writer) campaign.Player {
	return func(t *testing.T, s *fault.Script, w io.Writer) stage.Result { return play(t, s, w, log) }
}

// play does what the faults say, each one virtual second after the other.
func play(t *testing.T, s *fault.Script, w, log io.Writer) stage.Result {
	r := stage.Result{Seed: s.Seed, Kinds: kinds(s), Pairs: pairs(s), Tally: stage.Tally{Asked: 10, Served: 9}}
	start, sum := time.Now(), sha256.New()
	if w == nil {
		w = io.Discard
	}
	for _, f := range s.Faults {
		time.Sleep(time.Second)
		fmt.Fprintf(io.MultiWriter(w, sum), "%.9f %s\n", time.Since(start).Seconds(), f.Kind)
		fmt.Fprintln(log, "log of", f.Kind)
		act(t, &r, f.Kind, time.Since(start))
	}
	time.Sleep(s.Length.D() - time.Since(start))
	r.Virtual, r.Hash = time.Since(start), hex.EncodeToString(sum.Sum(nil))
	return r
}

func act(t *testing.T, r *stage.Result, kind string, now time.Duration) {
	switch kind {
	case "breaks":
		r.Violations = append(r.Violations, rules.Violation{Rule: "lost", At: now, Detail: "a call was lost"})
	case "panics":
		go panic(errors.New("a wrong turn"))
		time.Sleep(time.Second)
	case "deadlocks":
		go wait(make(chan int))
	case "spins":
		for { //nolint:staticcheck // it is to come to no end
			_ = kind
		}
	case "gives up":
		t.FailNow()
	}
}

// wait waits for good.
func wait(c chan int) { <-c }
