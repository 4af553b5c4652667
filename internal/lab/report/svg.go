package report

import (
	"encoding/xml"
	"fmt"
	"strconv"
	"strings"
)

// svg is a picture being drawn: the few shapes that the charts need.
type svg struct{ b strings.Builder }

// point is a place in a picture; y grows downwards.
type point struct{ x, y float64 }

// place writes a coordinate as short as it may be: pictures hold thousands.
func place(v float64) string {
	s := strconv.FormatFloat(v, 'f', 1, 64)
	return strings.TrimSuffix(s, ".0")
}

func escape(s string) string {
	var b strings.Builder
	xml.EscapeText(&b, []byte(s)) // to a Builder: no error
	return b.String()
}

// title is what a reader is shown who points at a shape; empty: nothing.
func title(s string) string {
	if s == "" {
		return "/>"
	}
	return "><title>" + escape(s) + "</title>"
}

func (s *svg) rect(x, y, w, h float64, fill, style, tip string) {
	fmt.Fprintf(&s.b, `<rect x="%s" y="%s" width="%s" height="%s" fill="%s"%s%s`,
		place(x), place(y), place(w), place(h), fill, pad(style), title(tip))
	if tip != "" {
		s.b.WriteString("</rect>")
	}
	s.b.WriteByte('\n')
}

func (s *svg) line(a, b point, stroke, style string) {
	fmt.Fprintf(&s.b, `<line x1="%s" y1="%s" x2="%s" y2="%s" stroke="%s"%s/>`+"\n",
		place(a.x), place(a.y), place(b.x), place(b.y), stroke, pad(style))
}

func (s *svg) path(points []point, stroke, style string) {
	if len(points) == 0 {
		return
	}
	s.b.WriteString(`<polyline fill="none" points="`)
	for i, p := range points {
		if i > 0 {
			s.b.WriteByte(' ')
		}
		s.b.WriteString(place(p.x) + "," + place(p.y))
	}
	fmt.Fprintf(&s.b, `" stroke="%s"%s/>`+"\n", stroke, pad(style))
}

func (s *svg) text(at point, anchor, style, what string) {
	fmt.Fprintf(&s.b, `<text x="%s" y="%s" text-anchor="%s"%s>%s</text>`+"\n",
		place(at.x), place(at.y), anchor, pad(style), escape(what))
}

func pad(style string) string {
	if style == "" {
		return ""
	}
	return " " + style
}
