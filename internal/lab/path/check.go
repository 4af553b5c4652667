package path

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// TolerancesFile is where the tolerances stand, from the root of the source tree.
const TolerancesFile = "internal/lab/path/tolerances.toml"

// Tolerances say what the counts of each load were when they were last accepted, and how far they may rise.
type Tolerances struct {
	Go    string           `toml:"go"`
	Rise  map[string]Rise  `toml:"rise"` // by count
	Loads map[string]*Base `toml:"load"`
}

// Rise is how much a count may rise: by a part of it or by a number, whichever is more.
type Rise struct {
	Part float64 `toml:"part"`
	Plus float64 `toml:"plus"`
}

// Base is what a load's counts were, and where they fell.
type Base struct {
	Counts Counts                        `toml:"counts"`
	Places map[string]map[string]float64 `toml:"places"` // by count and function
}

// ReadTolerances reads a file.
func ReadTolerances(file string) (*Tolerances, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("tolerances: %w", err)
	}
	t := &Tolerances{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(t); err != nil {
		line := 0
		if broken, ok := errors.AsType[*toml.DecodeError](err); ok {
			line, _ = broken.Position()
		} else if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok && len(strict.Errors) > 0 {
			line, _ = strict.Errors[0].Position()
			err = fmt.Errorf("unknown key %s", strings.Join(strict.Errors[0].Key(), "."))
		}
		return nil, fmt.Errorf("%s:%d: %w", file, line, err)
	}
	for _, name := range countNames {
		if r, ok := t.Rise[name]; !ok || r.Part < 0 || r.Plus < 0 {
			return nil, fmt.Errorf("%s: rise.%s: missing or below 0", file, name)
		}
	}
	for _, l := range Loads() {
		if t.Loads[l.Name] == nil || len(t.Loads[l.Name].Counts) == 0 {
			return nil, fmt.Errorf("%s: load.%s.counts: missing", file, l.Name)
		}
	}
	return t, nil
}

// Check is what comparing a report with the tolerances gave: a line for each count of each load.
type Check struct {
	Risen      []string // beyond what is allowed, and for which functions
	Fallen     []string // by as much: the tolerances are no longer tight
	NotChecked []string
	Held       int
}

// Against compares the counts with what they were.
func (r *Report) Against(t *Tolerances) Check {
	var c Check
	for _, f := range r.Loads {
		base := t.Loads[f.Load]
		for _, name := range countNames {
			was, known := base.Counts[name]
			is, counted := f.Counts[name]
			room := max(t.Rise[name].Part*was, t.Rise[name].Plus)
			line := fmt.Sprintf("%s: %s: %.2f a request, and %.2f before", f.Load, name, is, was)
			switch {
			case !known || !counted:
				c.NotChecked = append(c.NotChecked, fmt.Sprintf("%s: %s", f.Load, name))
			case is > was+room:
				line = fmt.Sprintf("%s; %.2f more are allowed%s", line, room, risen(f.of(name), base.Places[name], is-was))
				c.Risen = append(c.Risen, line)
			case is < was-room:
				c.Fallen = append(c.Fallen, line)
			default:
				c.Held++
			}
		}
	}
	return c
}

// named is how many functions a line names, and namedPart what part of the whole rise each has at least.
const (
	named     = 3
	namedPart = 0.1
)

// risen names the functions that brought a rise, those with the most first.
func risen(now, before map[string]float64, rise float64) string {
	type change struct {
		name string
		by   float64
		old  bool
	}
	var some []change
	for name, is := range now {
		was, old := before[name]
		if by := is - was; by > rise*namedPart {
			some = append(some, change{name, by, old})
		}
	}
	slices.SortFunc(some, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.by, a.by), cmp.Compare(a.name, b.name))
	})
	var words strings.Builder
	for i, s := range some[:min(len(some), named)] {
		words.WriteString([]string{"; brought by ", ", "}[min(i, 1)])
		fmt.Fprintf(&words, "%s (%+.2f", s.name, s.by)
		if !s.old {
			words.WriteString(", new")
		}
		words.WriteString(")")
	}
	return words.String()
}

// head stands at the beginning of the tolerances.
const head = `# What a request on the plain path cost when it was last accepted, per load, and how far each count may rise:
# by a part of it or by a number, whichever is more. "olivelab path --check" fails beyond. The places say which
# function what falls to. "olivelab path --accept" writes all but the rises anew; docs/PATH.md says more.

`

// smallest is what a place must have to be kept, by count.
var smallest = map[string]float64{CountAllocations: 0.2, CountBytes: 32, CountWrites: 0.02, CountCalls: 0.02, CountCopied: 8}

// Accept writes tolerances with a report's counts in the place of the old; the rises stay.
func (t *Tolerances) Accept(r *Report) ([]byte, error) {
	n := Tolerances{Go: r.Go, Rise: t.Rise, Loads: map[string]*Base{}}
	for _, l := range r.Loads {
		b := &Base{Counts: Counts{}, Places: map[string]map[string]float64{}}
		for name, v := range l.Counts {
			b.Counts[name] = hundredths(v)
			kept := map[string]float64{}
			for f, v := range l.of(name) {
				if v >= smallest[name] {
					kept[f] = hundredths(v)
				}
			}
			b.Places[name] = kept
		}
		n.Loads[l.Load] = b
	}
	for name, old := range t.Loads { // those that were not measured stay
		if n.Loads[name] == nil {
			n.Loads[name] = old
		}
	}
	text, err := toml.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("tolerances: %w", err)
	}
	return append([]byte(head), text...), nil
}

func hundredths(v float64) float64 { return math.Round(v*100) / 100 }
