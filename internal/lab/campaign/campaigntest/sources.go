// Package campaigntest provides campaign.Sources for tests. Its runs are simulated: the kind of
// each fault selects the effect, such as a violation, a panic or a deadlock.
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

// Sources returns sources that draw one fault of kind "dull" for each seed. Seeds divisible by
// five also draw "breaks", which breaks the rule lost, and a second "dull".
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

// draw returns the script of a seed.
func draw(seed uint64) *fault.Script {
	s := &fault.Script{Seed: seed, Length: figure.Span(8 * time.Second), Faults: []fault.Fault{{Kind: "dull"}}}
	if seed%5 == 0 {
		s.Faults = append(s.Faults, fault.Fault{Kind: "breaks"}, fault.Fault{Kind: "dull"})
	}
	return s
}

// kinds returns the sorted kinds of fault in a script.
func kinds(s *fault.Script) (some []string) {
	for _, f := range s.Faults {
		some = append(some, f.Kind)
	}
	return slices.Compact(slices.Sorted(slices.Values(some)))
}

// pairs returns all pairs of different kinds of fault in a script, as if all faults overlapped.
func pairs(s *fault.Script) (some [][2]string) {
	k := kinds(s)
	for i := range k {
		for _, other := range k[i+1:] {
			some = append(some, [2]string{k[i], other})
		}
	}
	return some
}

// smaller yields the script with half its length, then with each one of its faults removed.
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

// logged returns a player that writes the log of its runs to log.
func logged(log io.Writer) campaign.Player {
	return func(t *testing.T, s *fault.Script, w io.Writer) stage.Result { return play(t, s, w, log) }
}

// play applies the faults, one per virtual second.
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
		applyFault(t, &r, f.Kind, time.Since(start))
	}
	time.Sleep(s.Length.D() - time.Since(start))
	r.Virtual, r.Hash = time.Since(start), hex.EncodeToString(sum.Sum(nil))
	return r
}

// applyFault applies the effect of one kind of fault to the run.
func applyFault(t *testing.T, r *stage.Result, kind string, now time.Duration) {
	switch kind {
	case "breaks":
		r.Violations = append(r.Violations, rules.Violation{Rule: "lost", At: now, Detail: "a call was lost"})
	case "panics":
		go panic(errors.New("a wrong turn"))
		time.Sleep(time.Second)
	case "deadlocks":
		go blockForever(make(chan int))
	case "spins":
		for { //nolint:staticcheck // deliberate endless loop
			_ = kind
		}
	case "gives up":
		t.FailNow()
	}
}

// blockForever blocks on a channel to which nothing is sent.
func blockForever(c chan int) { <-c }
