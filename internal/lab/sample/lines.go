package sample

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// line is one thing told, as it goes from process to process.
type line struct {
	Request *Request `json:"request,omitempty"`
	Reading *Reading `json:"reading,omitempty"`
	Event   *Event   `json:"event,omitempty"`
}

// Writer is a Sink that writes a line of JSON for each thing told.
type Writer struct {
	out *json.Encoder
	err error
}

// NewWriter makes a Writer.
func NewWriter(w io.Writer) *Writer { return &Writer{out: json.NewEncoder(w)} }

// Request implements Sink.
func (w *Writer) Request(r Request) { w.write(line{Request: &r}) }

// Reading implements Sink.
func (w *Writer) Reading(r Reading) { w.write(line{Reading: &r}) }

// Event implements Sink.
func (w *Writer) Event(e Event) { w.write(line{Event: &e}) }

func (w *Writer) write(l line) {
	if w.err == nil {
		w.err = w.out.Encode(l)
	}
}

// Err is what kept it from writing.
func (w *Writer) Err() error { return w.err }

// Reader takes bytes that a Writer wrote, cut anywhere, and tells a Sink.
type Reader struct {
	to   Sink
	rest []byte
	told int
	err  error
}

// NewReader makes a Reader.
func NewReader(to Sink) *Reader { return &Reader{to: to} }

// Write implements io.Writer. It takes all bytes, so that whoever writes is not
// held up by a line that cannot be read: Err tells of that one.
func (r *Reader) Write(b []byte) (int, error) {
	n := len(b)
	for r.err == nil {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			r.rest = append(r.rest, b...)
			break
		}
		r.rest = append(r.rest, b[:i]...)
		b = b[i+1:]
		r.read(r.rest)
		r.rest = r.rest[:0]
	}
	return n, nil
}

func (r *Reader) read(text []byte) {
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		r.err = fmt.Errorf("line %d of what a run tells: %w", r.told+1, err)
		return
	}
	r.told++
	switch {
	case l.Request != nil:
		r.to.Request(*l.Request)
	case l.Reading != nil:
		r.to.Reading(*l.Reading)
	case l.Event != nil:
		r.to.Event(*l.Event)
	}
}

// Told is how many things it has told.
func (r *Reader) Told() int { return r.told }

// Err is the first line that could not be read.
func (r *Reader) Err() error { return r.err }
