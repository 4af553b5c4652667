package path

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// Report holds the results of a measurement.
type Report struct {
	Go         string    `json:"go"`
	Short      bool      `json:"short"`
	Loads      []Figures `json:"loads"`
	NotCounted []string  `json:"not_counted,omitempty"` // the reason for each kind of count that is missing
}

// Figures hold the cost of one load per request.
type Figures struct {
	Load       string    `json:"load"`
	About      string    `json:"about"`
	Requests   int       `json:"requests"` // measured requests per pair
	Node       Process   `json:"node"`
	Proxy      Process   `json:"reverse_proxy,omitzero"`
	Ratio      float64   `json:"ratio,omitzero"` // processor time, node to proxy: median of Ratios
	Ratios     []float64 `json:"ratios,omitempty"`
	Counts     Counts    `json:"counts"`     // the counts that the check compares
	Calls      []Entry   `json:"calls"`      // system calls by name; Sum: calls that failed with EAGAIN
	Writers    []Entry   `json:"writers"`    // system calls that write to sockets, by function
	Copiers    []Entry   `json:"copiers"`    // copies between buffers, by function; Sum: bytes
	Allocators []Entry   `json:"allocators"` // allocations, by function; Sum: bytes
}

// Process holds the figures of one process per request, each as the median over the pairs.
type Process struct {
	Allocations         float64 `json:"allocations"`
	AllocatedBytes      float64 `json:"allocated_bytes"`
	Collections         float64 `json:"collections_per_1000"`
	Reads               float64 `json:"reads"`  // system calls of the read family
	Writes              float64 `json:"writes"` // system calls of the write family
	ReadBytes           float64 `json:"read_bytes"`
	WrittenBytes        float64 `json:"written_bytes"`
	VoluntarySwitches   float64 `json:"switches_waiting"`
	InvoluntarySwitches float64 `json:"switches_preempted"`
	UserMicros          float64 `json:"user_us"`
	SystemMicros        float64 `json:"system_us"`
	Micros              float64 `json:"processor_us"`
	BusyFraction        float64 `json:"busy"` // processor time divided by elapsed time
}

// median returns the median of the values that of returns for the elements; 0 if there are none.
func median[T any](elements []T, of func(T) float64) float64 {
	values := make([]float64, len(elements))
	for i, s := range elements {
		values[i] = of(s)
	}
	slices.SortFunc(values, cmp.Compare)
	switch n := len(values); {
	case n == 0:
		return 0
	case n%2 == 1:
		return values[n/2]
	default:
		return (values[n/2-1] + values[n/2]) / 2
	}
}

// medianProcess returns the median of each figure over the processes.
func medianProcess(processes []Process) Process {
	m := func(of func(Process) float64) float64 { return median(processes, of) }
	return Process{
		Allocations:         m(func(p Process) float64 { return p.Allocations }),
		AllocatedBytes:      m(func(p Process) float64 { return p.AllocatedBytes }),
		Collections:         m(func(p Process) float64 { return p.Collections }),
		Reads:               m(func(p Process) float64 { return p.Reads }),
		Writes:              m(func(p Process) float64 { return p.Writes }),
		ReadBytes:           m(func(p Process) float64 { return p.ReadBytes }),
		WrittenBytes:        m(func(p Process) float64 { return p.WrittenBytes }),
		VoluntarySwitches:   m(func(p Process) float64 { return p.VoluntarySwitches }),
		InvoluntarySwitches: m(func(p Process) float64 { return p.InvoluntarySwitches }),
		UserMicros:          m(func(p Process) float64 { return p.UserMicros }),
		SystemMicros:        m(func(p Process) float64 { return p.SystemMicros }),
		Micros:              m(func(p Process) float64 { return p.Micros }),
		BusyFraction:        m(func(p Process) float64 { return p.BusyFraction }),
	}
}

// JSON writes the report as indented JSON.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Text writes the report as plain text.
func (r *Report) Text(w io.Writer) {
	for _, f := range r.Loads {
		_, _ = fmt.Fprintf(w, "%s: %s, %d requests\n", f.Load, f.About, f.Requests)
		_, _ = fmt.Fprintf(w, "  %-24s %12s %14s\n", "per request", "olivebridge", "ReverseProxy")
		writeRow := func(name, form string, a, b float64) {
			_, _ = fmt.Fprintf(w, "  %-24s %12s %14s\n", name, fmt.Sprintf(form, a), fmt.Sprintf(form, b))
		}
		n, p := f.Node, f.Proxy
		writeRow("allocations", "%.1f", n.Allocations, p.Allocations)
		writeRow("bytes allocated", "%.0f", n.AllocatedBytes, p.AllocatedBytes)
		writeRow("collections, per 1000", "%.2f", n.Collections, p.Collections)
		writeRow("read calls", "%.2f", n.Reads, p.Reads)
		writeRow("write calls", "%.2f", n.Writes, p.Writes)
		writeRow("bytes read", "%.0f", n.ReadBytes, p.ReadBytes)
		writeRow("bytes written", "%.0f", n.WrittenBytes, p.WrittenBytes)
		writeRow("waits", "%.2f", n.VoluntarySwitches, p.VoluntarySwitches)
		writeRow("processor us, user", "%.1f", n.UserMicros, p.UserMicros)
		writeRow("processor us, system", "%.1f", n.SystemMicros, p.SystemMicros)
		writeRow("processor us", "%.1f", n.Micros, p.Micros)
		writeRow("busy, part of the time", "%.2f", n.BusyFraction, p.BusyFraction)
		_, _ = fmt.Fprintf(w, "  processor time, of ReverseProxy's: %.3f (pairs: %.3f)\n", f.Ratio, f.Ratios)
		f.writeFunctionCounts(w)
	}
	for _, why := range r.NotCounted {
		_, _ = fmt.Fprintf(w, "not counted: %s\n", why)
	}
}

// maxShownEntries is the maximum number of entries that the text report lists per count.
const maxShownEntries = 12

// writeFunctionCounts writes the entries of each count.
func (f *Figures) writeFunctionCounts(w io.Writer) {
	for _, part := range []struct {
		title, sumLabel string
		places          []Entry
	}{
		{"system calls under the tracer", "found nothing", f.Calls},
		{"writes to sockets, by function", "found no room", f.Writers},
		{"copies between buffers, by function", "bytes", f.Copiers},
		{"allocations, by function", "bytes", f.Allocators},
	} {
		if len(part.places) == 0 {
			continue
		}
		n, sum := sumEntries(part.places, nil)
		_, _ = fmt.Fprintf(w, "  %s: %.2f; %s: %.2f\n", part.title, n, part.sumLabel, sum)
		for i, p := range part.places {
			if i == maxShownEntries {
				_, _ = fmt.Fprintf(w, "    and %d more\n", len(part.places)-maxShownEntries)
				break
			}
			_, _ = fmt.Fprintf(w, "    %8.2f %10.2f  %s\n", p.Count, p.Sum, p.Name)
		}
	}
	_, _ = fmt.Fprintln(w)
}
