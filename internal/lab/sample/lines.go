package sample

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// line is the JSON form of one sample that is passed between processes. Exactly
// one field is set.
type line struct {
	Request *Request `json:"request,omitempty"`
	Reading *Reading `json:"reading,omitempty"`
	Event   *Event   `json:"event,omitempty"`
}

// Writer is a Sink that writes each sample as a line of JSON. After a failed write
// it discards all further samples.
type Writer struct {
	out *json.Encoder
	err error
}

// NewWriter returns a Writer that writes to w.
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

// Err returns the first error of a write, or nil.
func (w *Writer) Err() error { return w.err }

// Reader parses the output of a Writer, in pieces of any size, and passes the
// samples to a Sink.
type Reader struct {
	sink  Sink
	rest  []byte // received part of an incomplete line
	count int    // number of samples passed to the Sink
	err   error  // the first error; no line after it is parsed
}

// NewReader returns a Reader that passes samples to the Sink.
func NewReader(to Sink) *Reader { return &Reader{sink: to} }

// Write implements io.Writer. It accepts all bytes and never fails, so that a
// malformed line does not stop the writing process; Err returns the error.
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
		r.err = fmt.Errorf("line %d of the sample stream is malformed: %w", r.count+1, err)
		return
	}
	r.count++
	switch {
	case l.Request != nil:
		r.sink.Request(*l.Request)
	case l.Reading != nil:
		r.sink.Reading(*l.Reading)
	case l.Event != nil:
		r.sink.Event(*l.Event)
	}
}

// Count returns the number of samples passed to the Sink.
func (r *Reader) Count() int { return r.count }

// Err returns the error of the first malformed line, or nil.
func (r *Reader) Err() error { return r.err }
