package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"olivebridge/internal/lab/live"
)

// screen displays a run. On a terminal it keeps a table at the top, above the scrolling input and output; elsewhere it
// prints one line for each update. Its methods may be called concurrently.
type screen struct {
	out   io.Writer
	table bool
	mu    sync.Mutex
	rows  int // number of rows of the table; 0: no table has been drawn
}

func newScreen(out io.Writer, plain bool) *screen {
	return &screen{out: out, table: !plain && isTerminal(out)}
}

func isTerminal(out io.Writer) bool {
	f, ok := out.(*os.File)
	if !ok || os.Getenv("TERM") == "dumb" || os.Getenv("TERM") == "" {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Escape sequences of terminals. saveCursor also moves the cursor to the top left corner.
const (
	clearAll      = "\x1b[2J\x1b[H"
	clearLine     = "\x1b[K"
	saveCursor    = "\x1b7\x1b[H"
	restoreCursor = "\x1b8"
)

// begin prints the introductory lines and draws the first table.
func (s *screen) begin(lines []string, t live.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table {
		rows := tableRows(t)
		s.rows = len(rows)
		// limit scrolling to the rows below the table
		fmt.Fprintf(s.out, "%s\x1b[%dr\x1b[%d;1H", clearAll, s.rows+1, s.rows+1)
	}
	fmt.Fprintln(s.out, strings.Join(lines, "\n"))
	s.draw(t)
}

// update redraws the table, or prints a summary line where there is no table.
func (s *screen) update(t live.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table {
		s.draw(t)
		return
	}
	fmt.Fprintln(s.out, summaryLine(t))
}

func (s *screen) draw(t live.Snapshot) {
	if !s.table {
		return
	}
	var b strings.Builder
	b.WriteString(saveCursor)
	for i, row := range tableRows(t) {
		if i < s.rows {
			b.WriteString(row + clearLine + "\r\n")
		}
	}
	b.WriteString(restoreCursor)
	io.WriteString(s.out, b.String())
}

// printLine prints the answer to a command.
func (s *screen) printLine(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintln(s.out, text)
}

// Write implements io.Writer. The run writes its log of errors here.
func (s *screen) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(b)
}

// end restores scrolling on the whole terminal.
func (s *screen) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table {
		io.WriteString(s.out, "\x1b7\x1b[r\x1b8\r\n")
	}
	s.table = false
}

// maxPeerRows is the maximum number of peers that the table lists.
const maxPeerRows = 12

// tableRows formats a snapshot as the rows of the table.
func tableRows(t live.Snapshot) []string {
	rows := []string{fmt.Sprintf("%-6s %9s %7s %6s %8s %7s %7s %8s", t.At.Round(time.Second),
		"asked/s", "served", "late", "refused", "failed", "worth", "tries/s")}
	for _, one := range []struct {
		name string
		of   live.Tally
	}{{"now", t.Now}, {"total", t.Total}} {
		rows = append(rows, fmt.Sprintf("%-6s %9d %7d %6d %8d %7d %6.1f%% %8d", one.name, one.of.Asked, one.of.Served,
			one.of.Late, one.of.Refused, one.of.Failed+one.of.Unanswered, 100*one.of.Share(), one.of.Tries))
	}
	rows = append(rows, "", "node   state     tries  clients  cpu")
	for _, n := range t.Nodes {
		rows = append(rows, fmt.Sprintf("%-6s %-8s %6d %8d  %.2fs",
			n.Name, n.State, n.Tries, n.Clients, n.CPUTime.Seconds()))
	}
	rows = append(rows, "", "peer   state     listed       in flight  served")
	for i, p := range t.Peers {
		if i == maxPeerRows {
			rows = append(rows, fmt.Sprintf("and %d more", len(t.Peers)-maxPeerRows))
			break
		}
		rows = append(rows, fmt.Sprintf("%-6s %-8s  %-11s %10d %7d  %s",
			p.Name, p.State, p.Listed, p.InFlight, p.Served, p.Effects))
	}
	return append(rows, strings.Repeat("-", 72)+latenessNote(t))
}

// summaryLine formats the last second of a run as one line.
func summaryLine(t live.Snapshot) string {
	n := t.Now
	line := fmt.Sprintf("%4s  asked %d served %d late %d refused %d failed %d worth %.1f%% tries %d",
		t.At.Round(time.Second), n.Asked, n.Served, n.Late, n.Refused, n.Failed+n.Unanswered, 100*n.Share(), n.Tries)
	for _, n := range t.Nodes {
		line += fmt.Sprintf(" | %s %s, %d clients", n.Name, n.State, n.Clients)
	}
	in, flying, other := 0, 0, ""
	for _, p := range t.Peers {
		flying += p.InFlight
		if p.State == live.Up && p.Effects == "" {
			in++
			continue
		}
		other += ", " + p.Name + " " + p.State
		if p.Effects != "" && p.State == live.Up {
			other += " (" + p.Effects + ")"
		}
	}
	return line + fmt.Sprintf(" | peers: %d up, %d in flight%s%s", in, flying, other, latenessNote(t))
}

// minReportedLateness is the lateness of the load generator from which the display reports it.
const minReportedLateness = 20 * time.Millisecond

// latenessNote returns a note on the lateness of the load generator, or "" below minReportedLateness.
func latenessNote(t live.Snapshot) string {
	if t.MaxLag < minReportedLateness {
		return ""
	}
	return fmt.Sprintf(" | the load ran %v late", t.MaxLag.Round(time.Millisecond))
}

// totalLine formats the totals of a run as one line.
func totalLine(t live.Snapshot) string {
	n := t.Total
	line := fmt.Sprintf("in %v: asked %d, served %d in time, %d late, refused %d, failed %d, worth %.1f%%",
		t.At.Round(time.Second), n.Asked, n.Served, n.Late, n.Refused, n.Failed+n.Unanswered, 100*n.Share())
	if n.Foreign > 0 {
		line += fmt.Sprintf("; %d answers were another call's", n.Foreign)
	}
	return line
}
