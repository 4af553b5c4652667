package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
)

//go:embed page.html
var pageTemplate string

// WriteHTML writes the report as a single self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	t, err := template.New("report").Parse(pageTemplate)
	if err != nil {
		return fmt.Errorf("reading the page's form: %w", err)
	}
	data := struct {
		*Report
		Picture    template.HTML
		Figures    table
		Assertions table
	}{r, template.HTML(r.renderSVG(true)), r.figureTable(true), r.checkTable()} //nolint:gosec // the SVG escapes its texts
	if err := t.Execute(w, data); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return nil
}
