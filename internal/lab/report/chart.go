package report

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Measures of the picture.
const (
	wide      = 960.0
	plotLeft  = 62.0
	plotRight = 790.0 // keys stand to the right of it
	lane      = 15.0  // high, of a fault
	gap       = 34.0  // between panels
	panel     = 112.0 // high
	cell      = 12.0  // high, of a peer's row
)

// Colours: told apart by most who see few of them.
const (
	ink    = "#222222"
	faint  = "#767676"
	rule   = "#dddddd"
	blue   = "#0072b2"
	orange = "#e69f00"
	red    = "#d55e00"
	green  = "#009e73"
	violet = "#cc79a7"
	shade  = "#b0413e"
	gone   = "#e8dcd6"
	blank  = "#ffffff"
)

// chart draws a report: panels one below the other, on one time axis, with the
// faults shaded through all of them.
type chart struct {
	svg
	r     *Report
	top   float64 // where the next panel begins
	tips  bool    // shapes say what they stand for to who points at them
	cells map[string]*strings.Builder
}

// WriteSVG writes the report's picture, as small as it may be.
func (r *Report) WriteSVG(w io.Writer) error {
	if _, err := io.WriteString(w, r.picture(false)); err != nil {
		return fmt.Errorf("writing the picture: %w", err)
	}
	return nil
}

// picture is the report's; with tips, shapes say what they stand for.
func (r *Report) picture(tips bool) string {
	c := &chart{r: r, top: 44, tips: tips, cells: map[string]*strings.Builder{}}
	c.text(point{plotLeft, 20}, "start", `font-size="15" font-weight="600"`, r.Name)
	lanes := c.top
	c.top += lane*float64(len(r.Faults)) + 14
	names := c.top
	begin := c.top + 4
	c.top = begin + 26
	c.worth()
	c.requests()
	c.latency()
	c.peers()
	end := c.top - gap
	c.axis(end)
	high := end + 40
	body := c.b.String()
	c.b.Reset()
	label := escape(r.Name + ": worth, requests, latency and peers over time")
	fmt.Fprintf(&c.b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %s %s" width="%s" height="%s" `+
		`font-family="system-ui, Helvetica, Arial, sans-serif" font-size="11" fill="%s" role="img" aria-label="%s">`+"\n",
		place(wide), place(high), place(wide), place(high), ink, label)
	c.rect(0, 0, wide, high, blank, "", "")
	c.faults(lanes, begin, end)
	c.phases(names, begin, end)
	c.b.WriteString(body)
	c.b.WriteString("</svg>\n")
	return c.b.String()
}

// x is where an instant stands.
func (c *chart) x(at float64) float64 {
	return plotLeft + (plotRight-plotLeft)*min(max(at/max(c.r.Length, 1), 0), 1)
}

// faults draws a lane for each, and its shade through all panels.
func (c *chart) faults(y, begin, end float64) {
	for i, f := range c.r.Faults {
		from, long := c.x(f.From), max(c.x(f.To)-c.x(f.From), 2)
		at := y + lane*float64(i)
		label := f.Kind
		if f.Note != "" {
			label += ": " + f.Note
		}
		tip := c.tip("%s, %s to %s", label, seconds(f.From), seconds(f.To))
		c.rect(from, begin, long, end-begin, shade, `fill-opacity="0.06"`, "")
		c.rect(from, at, long, lane-3, shade, `fill-opacity="0.55"`, tip)
		c.text(point{plotRight + 10, at + 9}, "start", `font-size="10"`, label)
		middle := at + lane/2 - 1.5
		c.line(point{from + long, middle}, point{plotRight + 6, middle}, rule, `stroke-dasharray="1 3"`)
	}
}

// phases draws where they begin and end, and their names.
func (c *chart) phases(names, begin, end float64) {
	for _, p := range c.r.Phases {
		if p.Name == Whole {
			continue
		}
		from, to := c.x(p.From), c.x(p.To)
		c.text(point{(from + to) / 2, names}, "middle", `font-size="10" fill="`+faint+`"`, p.Name)
		for _, x := range []float64{from, to} {
			c.line(point{x, begin}, point{x, end}, faint, `stroke-dasharray="3 3" stroke-opacity="0.6"`)
		}
	}
}

// scale turns a figure into a place within a panel.
type scale struct {
	top, high float64
	lo, hi    float64
	log       bool
}

func (s scale) y(v float64) float64 {
	lo, hi := s.lo, s.hi
	v = min(max(v, lo), hi)
	if s.log {
		v, lo, hi = math.Log(v), math.Log(lo), math.Log(hi)
	}
	return s.top + s.high*(1-(v-lo)/(hi-lo))
}

// frame begins a panel: its name, and lines at some values.
func (c *chart) frame(name string, s scale, marks []float64, label func(float64) string) {
	c.text(point{plotLeft, s.top - 7}, "start", `font-weight="600"`, name)
	for _, v := range marks {
		y := s.y(v)
		c.line(point{plotLeft, y}, point{plotRight, y}, rule, "")
		c.text(point{plotLeft - 6, y + 4}, "end", `fill="`+faint+`"`, label(v))
	}
}

// legend is the key of a panel's lines.
func (c *chart) legend(top float64, names []string, colours []string) {
	for i, n := range names {
		y := top + 8 + 16*float64(i)
		c.rect(plotRight+10, y-4, 14, 5, colours[i], "", "")
		c.text(point{plotRight + 30, y + 2}, "start", "", n)
	}
}

// series are the points of a line; where show is false there is a break.
func (c *chart) series(s scale, colour, style string, v func(Second) (y float64, show bool)) {
	var some []point
	flush := func() {
		if len(some) == 1 { // a point alone is seen, too
			some = append(some, point{some[0].x + 2, some[0].y})
		}
		c.path(some, colour, style)
		some = nil
	}
	for _, one := range c.r.Seconds {
		y, show := v(one)
		if !show {
			flush()
			continue
		}
		some = append(some, point{c.x(one.At + 0.5), s.y(y)})
	}
	flush()
}

const thick = `stroke-width="1.8" stroke-linejoin="round"`

func (c *chart) next() scale {
	s := scale{top: c.top, high: panel}
	c.top += panel + gap
	return s
}

// worth draws the share of the worth that was asked for, second by second.
func (c *chart) worth() {
	s := c.next()
	s.hi = 1
	c.frame("worth served in time, share of what was asked for", s, []float64{0, 0.25, 0.5, 0.75, 1},
		func(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) })
	c.series(s, blue, thick, func(one Second) (float64, bool) { return one.Worth, one.Asked > one.Left })
	c.legend(s.top, []string{"worth"}, []string{blue})
}

// requests draws how many were asked, tries, and the losses, stacked.
func (c *chart) requests() {
	s := c.next()
	for _, one := range c.r.Seconds {
		s.hi = max(s.hi, float64(one.Asked), float64(one.Tries))
	}
	marks := ticks(max(s.hi, 1), 4)
	s.hi = marks[len(marks)-1]
	c.frame("requests a second", s, marks, plain)
	names := []string{"late", "refused", "failed", "no answer"}
	colours := []string{orange, violet, red, ink}
	for _, one := range c.r.Seconds {
		at, long := c.x(one.At), c.x(one.At+1)-c.x(one.At)
		base := s.top + s.high
		for i, n := range []int{one.Late, one.Refused, one.Failed, one.Unanswered} {
			if n == 0 {
				continue
			}
			high := s.top + s.high - s.y(float64(n))
			base -= high
			c.rect(at+0.5, base, max(long-1, 1), high, colours[i], "", c.tip("%s: %d %s", seconds(one.At), n, names[i]))
		}
	}
	c.series(s, green, thick, func(one Second) (float64, bool) { return float64(one.Tries), true })
	c.series(s, blue, thick, func(one Second) (float64, bool) { return float64(one.Asked), true })
	c.legend(s.top, append([]string{"asked", "tries at peers"}, names...), append([]string{blue, green}, colours...))
}

// latency draws percentiles on a scale of powers.
func (c *chart) latency() {
	s := c.next()
	s.log, s.lo, s.hi = true, math.Inf(1), 1
	for _, one := range c.r.Seconds {
		if one.P50 > 0 {
			s.lo, s.hi = min(s.lo, one.P50), max(s.hi, one.P99)
		}
	}
	if math.IsInf(s.lo, 1) {
		s.lo = 1
	}
	s.lo, s.hi = math.Pow(10, math.Floor(math.Log10(s.lo))), math.Pow(10, math.Ceil(math.Log10(s.hi)))
	if s.hi <= s.lo {
		s.hi = 10 * s.lo
	}
	var marks []float64
	for v := s.lo; v <= s.hi*1.001; v *= 10 {
		marks = append(marks, v)
	}
	c.frame("time to the answer, from when it was due", s, marks, func(v float64) string { return plain(v) + " ms" })
	show := func(v func(Second) float64) func(Second) (float64, bool) {
		return func(one Second) (float64, bool) { return v(one), v(one) > 0 }
	}
	c.series(s, red, thick, show(func(one Second) float64 { return one.P99 }))
	c.series(s, blue, thick, show(func(one Second) float64 { return one.P50 }))
	c.legend(s.top, []string{"99 in 100", "the middle"}, []string{red, blue})
}

// peers draws a row for each: the darker, the more it holds.
func (c *chart) peers() {
	top, most := c.top, 1.0
	for _, p := range c.r.Peers {
		most = max(most, slices.Max(append([]float64{0}, p.Held...)))
	}
	c.text(point{plotLeft, top - 7}, "start", `font-weight="600"`, "requests that each peer holds")
	for i, p := range c.r.Peers {
		y := top + cell*float64(i)
		c.text(point{plotLeft - 6, y + 9}, "end", `font-size="9" fill="`+faint+`"`, p.Name)
		c.row(y, p, most)
	}
	c.flush()
	high := cell * float64(len(c.r.Peers))
	c.legend(top, []string{"down", "0", plain(math.Round(most/2*10) / 10), plain(math.Round(most*10) / 10)},
		[]string{gone, heat(0, most), heat(most/2, most), heat(most, most)})
	c.top += max(high, 64) + gap
}

// row draws one peer's: neighbours of one colour are one shape.
func (c *chart) row(y float64, p Peer, most float64) {
	for from := 0; from < len(p.Held); {
		to, sum := from, 0.0
		for to < len(p.Held) && heat(p.Held[to], most) == heat(p.Held[from], most) {
			sum += p.Held[to]
			to++
		}
		what := fmt.Sprintf("holds %.1f", sum/float64(to-from))
		if p.Held[from] == Down {
			what = "down"
		}
		if p.Held[from] != Unknown {
			c.cell(y, from, to, heat(p.Held[from], most), c.tip("%s, %ds to %ds: %s", p.Name, from, to, what))
		}
		from = to
	}
}

// cell draws some seconds of a row. Without tips, all of one colour are one shape.
func (c *chart) cell(y float64, from, to int, colour, tip string) {
	x, long := c.x(float64(from)), c.x(float64(to))-c.x(float64(from))
	if c.tips {
		c.rect(x, y, long, cell-1, colour, "", tip)
		return
	}
	if c.cells[colour] == nil {
		c.cells[colour] = &strings.Builder{}
	}
	fmt.Fprintf(c.cells[colour], "M%s %sh%sv%sh-%sz", place(x), place(y), place(long), place(cell-1), place(long))
}

// flush draws the cells that were kept back.
func (c *chart) flush() {
	for _, colour := range slices.Sorted(maps.Keys(c.cells)) {
		fmt.Fprintf(&c.b, `<path fill="%s" d="%s"/>`+"\n", colour, c.cells[colour])
	}
}

// tip is what a shape says; empty, where none is wanted.
func (c *chart) tip(format string, args ...any) string {
	if !c.tips {
		return ""
	}
	return fmt.Sprintf(format, args...)
}

// shades is how many steps the colours of peers have.
const shades = 8

// heat is the colour of a number from 0 to most, finer where it is small.
func heat(v, most float64) string {
	if v == Down {
		return gone
	}
	if v == Unknown {
		return blank
	}
	part := math.Round(shades*math.Sqrt(min(max(v/most, 0), 1))) / shades
	mix := func(from, to float64) int { return int(math.Round(from + (to-from)*part)) }
	return fmt.Sprintf("#%02x%02x%02x", mix(0xee, 0x0b), mix(0xf3, 0x3c), mix(0xf8, 0x6d))
}

// axis is the time axis below all panels.
func (c *chart) axis(y float64) {
	c.line(point{plotLeft, y}, point{plotRight, y}, ink, "")
	for _, v := range ticks(max(c.r.Length, 1), 8) {
		if v > c.r.Length {
			break
		}
		c.line(point{c.x(v), y}, point{c.x(v), y + 4}, ink, "")
		c.text(point{c.x(v), y + 17}, "middle", `fill="`+faint+`"`, seconds(v))
	}
	c.text(point{plotRight + 10, y + 17}, "start", `fill="`+faint+`"`, "since the start")
}

// ticks are round numbers from 0 to at least most, about n steps of them.
func ticks(most float64, n int) []float64 {
	raw := most / float64(n)
	base := math.Pow(10, math.Floor(math.Log10(raw)))
	step := 10 * base
	for _, m := range []float64{1, 2, 5} {
		if m*base >= raw*0.999 {
			step = m * base
			break
		}
	}
	var all []float64
	for i := 0; ; i++ {
		v := step * float64(i)
		all = append(all, v)
		if v >= most*0.999 {
			return all
		}
	}
}

func plain(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
