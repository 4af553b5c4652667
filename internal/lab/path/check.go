package path

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// TolerancesDir is the directory of the tolerance files, relative to the root of the source tree.
const TolerancesDir = "internal/lab/path"

// Files in TolerancesDir. People edit the allowed rises in tolerancesFile; placesFile is generated with it and
// attributes the accepted counts to functions.
const (
	tolerancesFile = "tolerances.toml"
	placesFile     = "places.toml"
)

// Tolerances are the last accepted counts of each load and the amounts by which the counts may rise.
type Tolerances struct {
	Go    string                 `toml:"go"`
	Rise  map[string]AllowedRise `toml:"rise"` // by count
	Loads map[string]Counts      `toml:"load"`

	places map[string]countsByFunction // by load
}

// countsByFunction holds the counts of a load by count name and function.
type countsByFunction map[string]map[string]float64

// AllowedRise is the amount by which a count may rise: a fraction of the accepted count or an absolute number per
// request, whichever is larger.
type AllowedRise struct {
	Fraction float64 `toml:"part"`
	Absolute float64 `toml:"plus"`
}

// ReadTolerances reads the tolerance files of a directory. It returns an error if the rise of a count is missing or
// negative.
func ReadTolerances(dir string) (*Tolerances, error) {
	file := filepath.Join(dir, tolerancesFile)
	t := &Tolerances{}
	if err := readTOML(file, t); err != nil {
		return nil, err
	}
	for _, name := range countNames {
		if r, ok := t.Rise[name]; !ok || r.Fraction < 0 || r.Absolute < 0 {
			return nil, fmt.Errorf("%s: rise.%s: missing or below 0", file, name)
		}
	}
	return t, readTOML(filepath.Join(dir, placesFile), &t.places)
}

// readTOML decodes a TOML file and rejects unknown keys. Errors name the file and, where known, the line.
func readTOML(file string, to any) error {
	text, err := os.ReadFile(file)
	if e, ok := errors.AsType[*os.PathError](err); ok {
		return fmt.Errorf("%s: %w", file, e.Err)
	} else if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(to)
	if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok && len(strict.Errors) > 0 {
		line, _ := strict.Errors[0].Position()
		return fmt.Errorf("%s:%d: unknown key %s", file, line, strings.Join(strict.Errors[0].Key(), "."))
	}
	if broken, ok := errors.AsType[*toml.DecodeError](err); ok {
		line, _ := broken.Position()
		return fmt.Errorf("%s:%d: %w", file, line, err)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// Check is the result of comparing a report with the tolerances: each count of each load is in one of the fields.
type Check struct {
	Risen      []string // counts that rose more than allowed, with the functions that caused it
	Fallen     []string // counts that fell by more than the allowed rise: the tolerances are no longer tight
	NotChecked []string // counts that were not measured or have no accepted value
	Held       int      // number of counts within the tolerances
}

// CheckAgainst compares the counts with the accepted ones.
func (r *Report) CheckAgainst(t *Tolerances) Check {
	var c Check
	for _, f := range r.Loads {
		for _, name := range countNames {
			accepted, known := t.Loads[f.Load][name]
			measured, counted := f.Counts[name]
			allowed := max(t.Rise[name].Fraction*accepted, t.Rise[name].Absolute)
			line := fmt.Sprintf("%s: %s: %.2f a request, and %.2f before", f.Load, name, measured, accepted)
			switch {
			case !known || !counted:
				c.NotChecked = append(c.NotChecked, fmt.Sprintf("%s: %s", f.Load, name))
			case measured > accepted+allowed:
				causes := describeRise(f.perFunction(name), t.places[f.Load][name], measured-accepted)
				line = fmt.Sprintf("%s; %.2f more are allowed%s", line, allowed, causes)
				c.Risen = append(c.Risen, line)
			case measured < accepted-allowed:
				c.Fallen = append(c.Fallen, line)
			default:
				c.Held++
			}
		}
	}
	return c
}

// maxNamedFunctions is the number of functions that a line names at most, and minNamedFraction the smallest fraction
// of the whole rise that a named function has.
const (
	maxNamedFunctions = 3
	minNamedFraction  = 0.1
)

// describeRise names the functions that caused a rise, in descending order of their part of it.
func describeRise(now, before map[string]float64, rise float64) string {
	type change struct {
		name string
		by   float64
		old  bool
	}
	var changes []change
	for name, is := range now {
		was, old := before[name]
		if by := is - was; by > rise*minNamedFraction {
			changes = append(changes, change{name, by, old})
		}
	}
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.by, a.by), cmp.Compare(a.name, b.name))
	})
	var text strings.Builder
	for i, s := range changes[:min(len(changes), maxNamedFunctions)] {
		text.WriteString([]string{"; brought by ", ", "}[min(i, 1)])
		fmt.Fprintf(&text, "%s (%+.2f", s.name, s.by)
		if !s.old {
			text.WriteString(", new")
		}
		text.WriteString(")")
	}
	return text.String()
}

// Comments at the head of the two generated files.
const (
	tolerancesHead = "" +
		`# What a request on the plain path cost when it was last accepted, by load, and how far each count may rise:
# by a part of it or by a number, whichever is more. "olivelab path --check" fails beyond that; "olivelab path
# --accept" writes the counts anew and leaves the rises. docs/PATH.md says what is counted, and how.

`
	placesHead = `# Which functions the counts in tolerances.toml fell to, written with them by "olivelab path --accept".

`
)

// minKeptCounts are the smallest counts per request that a function must have to be written to placesFile, by count
// name.
var minKeptCounts = map[string]float64{
	CountAllocations: 0.2, CountBytes: 64, CountWrites: 0.02, CountCalls: 0.02, CountCopied: 24,
}

// Accept writes the counts of a report to the tolerance files in dir. It keeps the allowed rises and the accepted
// values of counts that the report does not have.
func (t *Tolerances) Accept(r *Report, dir string) error {
	accepted := Tolerances{Go: r.Go, Rise: t.Rise, Loads: maps.Clone(t.Loads), places: maps.Clone(t.places)}
	for _, l := range r.Loads {
		counts, functions := maps.Clone(t.Loads[l.Load]), maps.Clone(t.places[l.Load])
		if counts == nil || functions == nil {
			counts, functions = Counts{}, countsByFunction{}
		}
		for name, v := range l.Counts {
			counts[name] = roundToHundredths(v)
			kept := map[string]float64{}
			for f, v := range l.perFunction(name) {
				if v >= minKeptCounts[name] {
					kept[f] = roundToHundredths(v)
				}
			}
			functions[name] = kept
		}
		if accepted.Loads == nil || accepted.places == nil {
			accepted.Loads, accepted.places = map[string]Counts{}, map[string]countsByFunction{}
		}
		accepted.Loads[l.Load], accepted.places[l.Load] = counts, functions
	}
	for _, f := range []struct {
		name, head string
		what       any
	}{{tolerancesFile, tolerancesHead, accepted}, {placesFile, placesHead, accepted.places}} {
		text, err := toml.Marshal(f.what)
		if err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		if err := os.WriteFile(filepath.Join(dir, f.name), append([]byte(f.head), text...), 0o644); err != nil {
			return fmt.Errorf("tolerances: %w", err)
		}
	}
	return nil
}

func roundToHundredths(v float64) float64 { return math.Round(v*100) / 100 }
