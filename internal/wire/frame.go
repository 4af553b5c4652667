package wire

import (
	"errors"
	"fmt"
	"io"

	"olivebridge/balancer"
)

// initialReadSize is the size of the first part of a frame's body that is allocated and read, in bytes. The buffer
// grows only when it is full.
const initialReadSize = 64 << 10

// Frame is one batch of events. The next Read reuses its buffers, which invalidates the batch's events.
type Frame struct {
	// Clock is the simulated time at which the events of the batch occur.
	Clock balancer.Time
	// Number is the number of the batch, which the reply repeats.
	Number uint32
	// Count is the number of events in the batch.
	Count int

	body      []byte            // the event records, then the tail
	endpoints []balancer.Server // the buffer of Event.Endpoints
}

// Read reads the next batch from r. It returns io.EOF only if the input ends between frames.
func (f *Frame) Read(r io.Reader) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return errors.New("input ends within a frame header")
		}
		return err
	}
	size := int(byteOrder.Uint32(header[batchSizeOffset:]))
	f.Count = int(byteOrder.Uint32(header[batchCountOffset:]))
	f.Clock = balancer.Time(byteOrder.Uint64(header[batchClockOffset:]))
	f.Number = byteOrder.Uint32(header[batchNumberOffset:])
	if f.Count > size/eventSize {
		return fmt.Errorf("batch %d: %d event records exceed a body of %d bytes", f.Number, f.Count, size)
	}
	if err := f.readBody(r, size); err != nil {
		return fmt.Errorf("batch %d: input ends within a body of %d bytes", f.Number, size)
	}
	return nil
}

// readBody reads size bytes. It grows the buffer as data arrives, because the size in a malformed header may be huge.
func (f *Frame) readBody(r io.Reader, size int) error {
	f.body = f.body[:0]
	for len(f.body) < size {
		start := len(f.body)
		end := start + min(size-start, max(initialReadSize, start))
		if cap(f.body) < end {
			f.body = append(make([]byte, 0, 2*end), f.body...)
		}
		f.body = f.body[:end]
		if _, err := io.ReadFull(r, f.body[start:]); err != nil {
			return err
		}
	}
	return nil
}

// Event returns the event with the given index, from 0 to Count-1.
func (f *Frame) Event(position int) Event {
	return Event{f, position, f.body[position*eventSize : (position+1)*eventSize]}
}

// tail returns the data after the event records: the texts and lists to which they refer.
func (f *Frame) tail() []byte { return f.body[f.Count*eventSize:] }
