package fleet

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"
)

// The dimensions of the page, in pixels.
const (
	laneHeight = 34
	plotWidth  = 1100
	labelWidth = 60
)

// segment is a section of a lane with one state.
type segment struct {
	X, Y, W, H float64
	Class      string
	Title      string
}

type lane struct {
	Name string
	Y    float64
}

type page struct {
	Title, Verdict string
	Wide, High     int
	Lanes          []lane
	Segments       []segment
	Ticks          []segment
	Events         []string
	Text           string
}

// WriteHTML writes a page with a lane for each process: the upper bar shows its actual state, and the lower bar whether
// the other processes' views of it are correct.
func (r *Result) WriteHTML(w io.Writer) error {
	a := r.Account
	p := page{
		Title:   fmt.Sprintf("seed %d, %d processes", r.Script.Seed, len(a.Names)),
		Verdict: verdict(r.Outcome.Verdict()),
		Wide:    plotWidth + labelWidth,
		High:    laneHeight*len(a.Names) + 30,
		Text:    r.Outcome.Text(a),
	}
	d := &drawing{p: &p, a: a, open: map[string]*segment{}}
	j := newJudge(a)
	j.observe = func(at time.Duration) { d.drawInstant(j, at) }
	j.play()
	d.drawInstant(j, a.End)
	d.end()
	for i, n := range a.Names {
		p.Lanes = append(p.Lanes, lane{n, float64(laneHeight*i + 18)})
	}
	span := (a.End - a.Begin).Seconds()
	step := 1.0
	for span/step > 20 {
		step *= 2
	}
	for t := 0.0; t <= span; t += step {
		tick := segment{X: labelWidth + t/span*plotWidth, Y: float64(p.High - 8), Title: fmt.Sprintf("%.0f s", t)}
		p.Ticks = append(p.Ticks, tick)
	}
	for _, e := range a.Events {
		if e.At >= a.Begin && e.At <= a.End {
			p.Events = append(p.Events, fmt.Sprintf("%6.2f s  %s", (e.At-a.Begin).Seconds(), e))
		}
	}
	return pageTemplate.Execute(w, &p)
}

// drawing collects segments while the judge processes the run.
type drawing struct {
	p    *page
	a    *Account
	open map[string]*segment
}

func (d *drawing) x(at time.Duration) float64 {
	at = max(min(at, d.a.End), d.a.Begin)
	return labelWidth + float64(at-d.a.Begin)/float64(d.a.End-d.a.Begin)*plotWidth
}

// drawInstant draws the actual state and the views at an instant.
func (d *drawing) drawInstant(j *judge, at time.Duration) {
	for i, name := range d.a.Names {
		y := float64(laneHeight * i)
		node := j.truth.nodes[name]
		class, title := "down", name+" does not run"
		switch {
		case node.running && node.stopped:
			class, title = "still", name+" is stopped"
		case node.running && node.leaving:
			class, title = "leaving", name+" is ending"
		case node.running && len(j.truth.reachableFrom(name)) < runningCount(j.truth.truth):
			class, title = "cut", name+" is cut off from some"
		case node.running && node.hasStranger:
			class, title = "twin", "a stranger uses the name of "+name
		case node.running:
			class, title = "up", name+" runs"
		}
		d.draw("life "+name, class, title, at, y+4, 14)
		d.drawViews(j, name, at, y+20)
	}
}

func runningCount(t *truth) (n int) {
	for _, node := range t.nodes {
		if node.running && !node.stopped {
			n++
		}
	}
	return n
}

// drawViews draws the other processes' views of a node: all correct, some correct, or none.
func (d *drawing) drawViews(j *judge, name string, at time.Duration, y float64) {
	actual := j.truth.nodes[name]
	var right, wrong []string
	for _, viewer := range d.a.Names {
		b := j.node(viewer).view
		if viewer == name || !j.truth.nodes[viewer].canUpdateView() || b == nil {
			continue
		}
		m, known := b.view.Lookup(name)
		here := known && m.State.Present()
		should := actual.running && !actual.stopped && j.truth.reachableFrom(viewer)[name]
		if here == should {
			right = append(right, viewer)
		} else {
			wrong = append(wrong, viewer)
		}
	}
	class := "right"
	switch {
	case len(wrong) > 0 && len(right) > 0:
		class = "mixed"
	case len(wrong) > 0:
		class = "wrong"
	}
	title := fmt.Sprintf("views of %s, correct: %s; not yet: %s", name, strings.Join(right, " "), strings.Join(wrong, " "))
	d.draw("belief "+name, class, title, at, y, 8)
}

// draw continues the open segment of a key if the class is the same, and else starts another.
func (d *drawing) draw(key, class, title string, at time.Duration, y, height float64) {
	x := d.x(at)
	s := d.open[key]
	if s != nil && s.Class == class {
		return
	}
	if s != nil {
		s.W = x - s.X
		d.p.Segments = append(d.p.Segments, *s)
	}
	d.open[key] = &segment{X: x, Y: y, H: height, Class: class, Title: title}
}

func (d *drawing) end() {
	for _, s := range d.open {
		s.W = d.x(d.a.End) - s.X
		d.p.Segments = append(d.p.Segments, *s)
	}
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html><html lang="en"><meta charset="utf-8">
<title>{{.Title}}</title><style>
body{font:14px sans-serif;margin:20px;color:#222}pre{font-size:12px}
.up{fill:#7fb77e}.down{fill:#ddd}.still{fill:#e0a030}.cut{fill:#b58bd0}.leaving{fill:#9cc3e6}.twin{fill:#d07070}
.right{fill:#c9e5c8}.mixed{fill:#f0c060}.wrong{fill:#cc3b3b}
span{display:inline-block;padding:2px 8px;margin-right:6px}
</style><h1>{{.Title}}</h1><p><b>{{.Verdict}}</b></p>
<p>Upper bar, the actual state:
<svg width="700" height="16"><rect class="up" width="12" height="12"/><text x="16" y="11">runs</text>
<rect class="down" x="70" width="12" height="12"/><text x="86" y="11">does not run</text>
<rect class="still" x="190" width="12" height="12"/><text x="206" y="11">is stopped</text>
<rect class="cut" x="300" width="12" height="12"/><text x="316" y="11">cut off from some</text>
<rect class="leaving" x="450" width="12" height="12"/><text x="466" y="11">ending</text>
<rect class="twin" x="530" width="12" height="12"/><text x="546" y="11">a stranger uses its name</text></svg><br>
Lower bar, the other processes' views of it:
<svg width="500" height="16"><rect class="right" width="12" height="12"/><text x="16" y="11">all are correct</text>
<rect class="mixed" x="110" width="12" height="12"/><text x="126" y="11">some are correct</text>
<rect class="wrong" x="240" width="12" height="12"/><text x="256" y="11">none is correct yet</text></svg></p>
<svg width="{{.Wide}}" height="{{.High}}" font-size="12">
{{range .Lanes}}<text x="4" y="{{.Y}}">{{.Name}}</text>{{end}}
{{range .Segments}}<rect class="{{.Class}}" x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="{{.H}}">{{/* join */ -}}
<title>{{.Title}}</title></rect>{{end}}
{{range .Ticks}}<text x="{{.X}}" y="{{.Y}}">{{.Title}}</text>{{end}}
</svg><pre>{{.Text}}</pre><h2>List of events</h2><pre>{{range .Events}}{{.}}
{{end}}</pre></html>
`))
