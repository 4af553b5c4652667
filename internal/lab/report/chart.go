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

// Dimensions of the chart in SVG units.
const (
	imageWidth  = 960.0
	plotLeft    = 62.0
	plotRight   = 790.0 // the legends are to the right of it
	laneHeight  = 15.0  // of a fault
	panelGap    = 34.0  // vertical space between panels
	panelHeight = 112.0
	cellHeight  = 12.0 // of the row of one server
)

// Colours that most people with colour vision deficiency can distinguish.
const (
	textColour       = "#222222"
	mutedColour      = "#767676"
	gridColour       = "#dddddd"
	blue             = "#0072b2"
	orange           = "#e69f00"
	red              = "#d55e00"
	green            = "#009e73"
	violet           = "#cc79a7"
	faultColour      = "#b0413e"
	downColour       = "#e8dcd6"
	backgroundColour = "#ffffff"
)

// chart draws a report as SVG: panels below each other on a common time axis, with the duration of each fault shaded in
// all of them.
type chart struct {
	svg
	report   *Report
	nextTop  float64 // y coordinate of the next panel
	tooltips bool    // whether shapes have a tooltip with their meaning
	cells    map[string]*strings.Builder
}

// WriteSVG writes the chart of the report as SVG without tooltips, to keep it small.
func (r *Report) WriteSVG(w io.Writer) error {
	if _, err := io.WriteString(w, r.renderSVG(false)); err != nil {
		return fmt.Errorf("writing the picture: %w", err)
	}
	return nil
}

// renderSVG returns the chart of the report as SVG. With tooltips, shapes have a tooltip with their meaning.
func (r *Report) renderSVG(tooltips bool) string {
	c := &chart{report: r, nextTop: 44, tooltips: tooltips, cells: map[string]*strings.Builder{}}
	c.text(point{plotLeft, 20}, "start", `font-size="15" font-weight="600"`, r.Name)
	laneTop := c.nextTop
	c.nextTop += laneHeight*float64(len(r.Faults)) + 14
	namesY := c.nextTop
	panelsTop := c.nextTop + 4
	c.nextTop = panelsTop + 26
	c.drawWorth()
	c.drawRequests()
	c.drawLatency()
	c.drawPeers()
	panelsBottom := c.nextTop - panelGap
	c.drawTimeAxis(panelsBottom)
	height := panelsBottom + 40
	body := c.out.String()
	c.out.Reset()
	label := escape(r.Name + ": worth, requests, latency and peers over time")
	fmt.Fprintf(&c.out, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %s %s" width="%s" height="%s" `+
		`font-family="system-ui, Helvetica, Arial, sans-serif" font-size="11" fill="%s" role="img" aria-label="%s">`+"\n",
		formatCoordinate(imageWidth), formatCoordinate(height), formatCoordinate(imageWidth), formatCoordinate(height),
		textColour, label)
	c.rect(0, 0, imageWidth, height, backgroundColour, "", "")
	c.drawFaults(laneTop, panelsTop, panelsBottom)
	c.drawPhases(namesY, panelsTop, panelsBottom)
	c.out.WriteString(body)
	c.out.WriteString("</svg>\n")
	return c.out.String()
}

// timeToX returns the x coordinate of a time in seconds since the start.
func (c *chart) timeToX(at float64) float64 {
	return plotLeft + (plotRight-plotLeft)*min(max(at/max(c.report.Length, 1), 0), 1)
}

// drawFaults draws a lane for each fault, from y downwards, and shades its duration in all panels, from begin to end.
func (c *chart) drawFaults(y, begin, end float64) {
	for i, f := range c.report.Faults {
		from, width := c.timeToX(f.From), max(c.timeToX(f.To)-c.timeToX(f.From), 2)
		laneTop := y + laneHeight*float64(i)
		label := f.Kind
		if f.Note != "" {
			label += ": " + f.Note
		}
		tip := c.tooltip("%s, %s to %s", label, formatSeconds(f.From), formatSeconds(f.To))
		c.rect(from, begin, width, end-begin, faultColour, `fill-opacity="0.06"`, "")
		c.rect(from, laneTop, width, laneHeight-3, faultColour, `fill-opacity="0.55"`, tip)
		c.text(point{plotRight + 10, laneTop + 9}, "start", `font-size="10"`, label)
		middle := laneTop + laneHeight/2 - 1.5
		c.line(point{from + width, middle}, point{plotRight + 6, middle}, gridColour, `stroke-dasharray="1 3"`)
	}
}

// drawPhases draws the names of the phases and vertical lines where they begin and end.
func (c *chart) drawPhases(names, begin, end float64) {
	for _, p := range c.report.Phases {
		if p.Name == WholeRun {
			continue
		}
		from, to := c.timeToX(p.From), c.timeToX(p.To)
		c.text(point{(from + to) / 2, names}, "middle", `font-size="10" fill="`+mutedColour+`"`, p.Name)
		for _, x := range []float64{from, to} {
			c.line(point{x, begin}, point{x, end}, mutedColour, `stroke-dasharray="3 3" stroke-opacity="0.6"`)
		}
	}
}

// scale maps a value between low and high to a y coordinate within a panel, linearly or by logarithm.
type scale struct {
	top, height float64
	low, high   float64
	log         bool
}

func (s scale) y(v float64) float64 {
	lo, hi := s.low, s.high
	v = min(max(v, lo), hi)
	if s.log {
		v, lo, hi = math.Log(v), math.Log(lo), math.Log(hi)
	}
	return s.top + s.height*(1-(v-lo)/(hi-lo))
}

// drawFrame draws the title of a panel and labelled grid lines at the values of marks.
func (c *chart) drawFrame(name string, s scale, marks []float64, label func(float64) string) {
	c.text(point{plotLeft, s.top - 7}, "start", `font-weight="600"`, name)
	for _, v := range marks {
		y := s.y(v)
		c.line(point{plotLeft, y}, point{plotRight, y}, gridColour, "")
		c.text(point{plotLeft - 6, y + 4}, "end", `fill="`+mutedColour+`"`, label(v))
	}
}

// drawLegend draws the legend of a panel: a colour and a name per line.
func (c *chart) drawLegend(top float64, names []string, colours []string) {
	for i, n := range names {
		y := top + 8 + 16*float64(i)
		c.rect(plotRight+10, y-4, 14, 5, colours[i], "", "")
		c.text(point{plotRight + 30, y + 2}, "start", "", n)
	}
}

// drawSeries draws a line through the value of each second. The line is interrupted where show is false.
func (c *chart) drawSeries(s scale, colour, style string, v func(Second) (y float64, show bool)) {
	var points []point
	flush := func() {
		if len(points) == 1 { // a single point is drawn as a short line to be visible
			points = append(points, point{points[0].x + 2, points[0].y})
		}
		c.path(points, colour, style)
		points = nil
	}
	for _, one := range c.report.Seconds {
		y, show := v(one)
		if !show {
			flush()
			continue
		}
		points = append(points, point{c.timeToX(one.At + 0.5), s.y(y)})
	}
	flush()
}

const lineStyle = `stroke-width="1.8" stroke-linejoin="round"`

// nextPanel returns the scale of the next panel and moves nextTop below it.
func (c *chart) nextPanel() scale {
	s := scale{top: c.nextTop, height: panelHeight}
	c.nextTop += panelHeight + panelGap
	return s
}

// drawWorth draws the earned share of the requested worth in each second.
func (c *chart) drawWorth() {
	s := c.nextPanel()
	s.high = 1
	c.drawFrame("worth served in time, share of what was asked for", s, []float64{0, 0.25, 0.5, 0.75, 1},
		func(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) })
	c.drawSeries(s, blue, lineStyle, func(one Second) (float64, bool) { return one.Worth, one.Asked > one.Left })
	c.drawLegend(s.top, []string{"worth"}, []string{blue})
}

// drawRequests draws the number of requests and attempts in each second as lines and the unsuccessful requests as
// stacked bars.
func (c *chart) drawRequests() {
	s := c.nextPanel()
	for _, one := range c.report.Seconds {
		s.high = max(s.high, float64(one.Asked), float64(one.Tries))
	}
	marks := tickValues(max(s.high, 1), 4)
	s.high = marks[len(marks)-1]
	c.drawFrame("requests a second", s, marks, formatNumber)
	names := []string{"late", "refused", "failed", "no answer"}
	colours := []string{orange, violet, red, textColour}
	for _, one := range c.report.Seconds {
		at, width := c.timeToX(one.At), c.timeToX(one.At+1)-c.timeToX(one.At)
		base := s.top + s.height
		for i, n := range []int{one.Late, one.Refused, one.Failed, one.Unanswered} {
			if n == 0 {
				continue
			}
			height := s.top + s.height - s.y(float64(n))
			base -= height
			c.rect(at+0.5, base, max(width-1, 1), height, colours[i], "",
				c.tooltip("%s: %d %s", formatSeconds(one.At), n, names[i]))
		}
	}
	c.drawSeries(s, green, lineStyle, func(one Second) (float64, bool) { return float64(one.Tries), true })
	c.drawSeries(s, blue, lineStyle, func(one Second) (float64, bool) { return float64(one.Asked), true })
	c.drawLegend(s.top, append([]string{"asked", "tries at peers"}, names...), append([]string{blue, green}, colours...))
}

// drawLatency draws the latency percentiles on a logarithmic scale.
func (c *chart) drawLatency() {
	s := c.nextPanel()
	s.log, s.low, s.high = true, math.Inf(1), 1
	for _, one := range c.report.Seconds {
		if one.P50 > 0 {
			s.low, s.high = min(s.low, one.P50), max(s.high, one.P99)
		}
	}
	if math.IsInf(s.low, 1) {
		s.low = 1
	}
	s.low, s.high = math.Pow(10, math.Floor(math.Log10(s.low))), math.Pow(10, math.Ceil(math.Log10(s.high)))
	if s.high <= s.low {
		s.high = 10 * s.low
	}
	var marks []float64
	for v := s.low; v <= s.high*1.001; v *= 10 {
		marks = append(marks, v)
	}
	c.drawFrame("time to the answer, from when it was due", s, marks,
		func(v float64) string { return formatNumber(v) + " ms" })
	show := func(v func(Second) float64) func(Second) (float64, bool) {
		return func(one Second) (float64, bool) { return v(one), v(one) > 0 }
	}
	c.drawSeries(s, red, lineStyle, show(func(one Second) float64 { return one.P99 }))
	c.drawSeries(s, blue, lineStyle, show(func(one Second) float64 { return one.P50 }))
	c.drawLegend(s.top, []string{"99 in 100", "the middle"}, []string{red, blue})
}

// drawPeers draws a row for each server; a darker colour means more requests in flight.
func (c *chart) drawPeers() {
	top, maxInFlight := c.nextTop, 1.0
	for _, p := range c.report.Peers {
		maxInFlight = max(maxInFlight, slices.Max(append([]float64{0}, p.InFlight...)))
	}
	c.text(point{plotLeft, top - 7}, "start", `font-weight="600"`, "requests that each peer holds")
	for i, p := range c.report.Peers {
		y := top + cellHeight*float64(i)
		c.text(point{plotLeft - 6, y + 9}, "end", `font-size="9" fill="`+mutedColour+`"`, p.Name)
		c.drawPeerRow(y, p, maxInFlight)
	}
	c.flushCells()
	height := cellHeight * float64(len(c.report.Peers))
	c.drawLegend(top, []string{"down", "0", formatNumber(math.Round(maxInFlight/2*10) / 10),
		formatNumber(math.Round(maxInFlight*10) / 10)},
		[]string{downColour, loadColour(0, maxInFlight), loadColour(maxInFlight/2, maxInFlight),
			loadColour(maxInFlight, maxInFlight)})
	c.nextTop += max(height, 64) + panelGap
}

// drawPeerRow draws the row of one server. Adjacent seconds with the same colour share one shape.
func (c *chart) drawPeerRow(y float64, p Peer, maxInFlight float64) {
	for from := 0; from < len(p.InFlight); {
		to, sum := from, 0.0
		for to < len(p.InFlight) && loadColour(p.InFlight[to], maxInFlight) == loadColour(p.InFlight[from], maxInFlight) {
			sum += p.InFlight[to]
			to++
		}
		what := fmt.Sprintf("holds %.1f", sum/float64(to-from))
		if p.InFlight[from] == Down {
			what = "down"
		}
		if p.InFlight[from] != Unknown {
			c.drawCells(y, from, to, loadColour(p.InFlight[from], maxInFlight),
				c.tooltip("%s, %ds to %ds: %s", p.Name, from, to, what))
		}
		from = to
	}
}

// drawCells draws the seconds from..to of a row. Without tooltips, all cells of one colour are collected in one path.
func (c *chart) drawCells(y float64, from, to int, colour, tip string) {
	x, width := c.timeToX(float64(from)), c.timeToX(float64(to))-c.timeToX(float64(from))
	if c.tooltips {
		c.rect(x, y, width, cellHeight-1, colour, "", tip)
		return
	}
	if c.cells[colour] == nil {
		c.cells[colour] = &strings.Builder{}
	}
	fmt.Fprintf(c.cells[colour], "M%s %sh%sv%sh-%sz", formatCoordinate(x), formatCoordinate(y),
		formatCoordinate(width), formatCoordinate(cellHeight-1), formatCoordinate(width))
}

// flushCells writes the paths that drawCells collected.
func (c *chart) flushCells() {
	for _, colour := range slices.Sorted(maps.Keys(c.cells)) {
		fmt.Fprintf(&c.out, `<path fill="%s" d="%s"/>`+"\n", colour, c.cells[colour])
	}
}

// tooltip formats the tooltip of a shape. It is empty if the chart has no tooltips.
func (c *chart) tooltip(format string, args ...any) string {
	if !c.tooltips {
		return ""
	}
	return fmt.Sprintf(format, args...)
}

// colourSteps is the number of steps between the lightest and the darkest colour of a server's load.
const colourSteps = 8

// loadColour returns the colour of a value from 0 to limit. Its steps follow the square root: they are finer for
// small values.
func loadColour(v, limit float64) string {
	if v == Down {
		return downColour
	}
	if v == Unknown {
		return backgroundColour
	}
	fraction := math.Round(colourSteps*math.Sqrt(min(max(v/limit, 0), 1))) / colourSteps
	mix := func(from, to float64) int { return int(math.Round(from + (to-from)*fraction)) }
	return fmt.Sprintf("#%02x%02x%02x", mix(0xee, 0x0b), mix(0xf3, 0x3c), mix(0xf8, 0x6d))
}

// drawTimeAxis draws the time axis below all panels.
func (c *chart) drawTimeAxis(y float64) {
	c.line(point{plotLeft, y}, point{plotRight, y}, textColour, "")
	for _, v := range tickValues(max(c.report.Length, 1), 8) {
		if v > c.report.Length {
			break
		}
		c.line(point{c.timeToX(v), y}, point{c.timeToX(v), y + 4}, textColour, "")
		c.text(point{c.timeToX(v), y + 17}, "middle", `fill="`+mutedColour+`"`, formatSeconds(v))
	}
	c.text(point{plotRight + 10, y + 17}, "start", `fill="`+mutedColour+`"`, "since the start")
}

// tickValues returns round numbers from 0 to at least limit, in about n steps.
func tickValues(limit float64, n int) []float64 {
	raw := limit / float64(n)
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
		if v >= limit*0.999 {
			return all
		}
	}
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
