package report

import (
	"encoding/xml"
	"fmt"
	"strconv"
	"strings"
)

// svg builds an SVG image. It has only the shapes that the charts need.
type svg struct{ out strings.Builder }

// point is a position in the image; y grows downwards.
type point struct{ x, y float64 }

// formatCoordinate formats a coordinate with at most one decimal: an image contains thousands of them.
func formatCoordinate(v float64) string {
	s := strconv.FormatFloat(v, 'f', 1, 64)
	return strings.TrimSuffix(s, ".0")
}

func escape(s string) string {
	var b strings.Builder
	xml.EscapeText(&b, []byte(s)) // writing to a Builder returns no error
	return b.String()
}

// titleElement returns the rest of an opening tag with a title element, which browsers display as a tooltip. With an
// empty s it closes the tag without a title.
func titleElement(s string) string {
	if s == "" {
		return "/>"
	}
	return "><title>" + escape(s) + "</title>"
}

func (s *svg) rect(x, y, w, h float64, fill, style, tip string) {
	fmt.Fprintf(&s.out, `<rect x="%s" y="%s" width="%s" height="%s" fill="%s"%s%s`,
		formatCoordinate(x), formatCoordinate(y), formatCoordinate(w), formatCoordinate(h), fill,
		withLeadingSpace(style), titleElement(tip))
	if tip != "" {
		s.out.WriteString("</rect>")
	}
	s.out.WriteByte('\n')
}

func (s *svg) line(a, b point, stroke, style string) {
	fmt.Fprintf(&s.out, `<line x1="%s" y1="%s" x2="%s" y2="%s" stroke="%s"%s/>`+"\n",
		formatCoordinate(a.x), formatCoordinate(a.y), formatCoordinate(b.x), formatCoordinate(b.y), stroke,
		withLeadingSpace(style))
}

func (s *svg) path(points []point, stroke, style string) {
	if len(points) == 0 {
		return
	}
	s.out.WriteString(`<polyline fill="none" points="`)
	for i, p := range points {
		if i > 0 {
			s.out.WriteByte(' ')
		}
		s.out.WriteString(formatCoordinate(p.x) + "," + formatCoordinate(p.y))
	}
	fmt.Fprintf(&s.out, `" stroke="%s"%s/>`+"\n", stroke, withLeadingSpace(style))
}

func (s *svg) text(at point, anchor, style, what string) {
	fmt.Fprintf(&s.out, `<text x="%s" y="%s" text-anchor="%s"%s>%s</text>`+"\n",
		formatCoordinate(at.x), formatCoordinate(at.y), anchor, withLeadingSpace(style), escape(what))
}

func withLeadingSpace(style string) string {
	if style == "" {
		return ""
	}
	return " " + style
}
