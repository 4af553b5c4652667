package wire

import (
	"errors"
	"fmt"
	"io"

	"olivebridge/balancer"
)

// firstRead is how many bytes of a frame's body are read before more are allocated.
const firstRead = 64 << 10

// Frame is one batch of events. Its buffers are reused by the next Read.
type Frame struct {
	// Clock is the time of the batch.
	Clock balancer.Time
	// Number is that of the batch, which the reply repeats.
	Number uint32
	// Count is how many events the batch has.
	Count int

	body      []byte // the event records, and the tail
	endpoints []balancer.Server
}

// Read takes the next batch from r. It returns io.EOF only between frames.
func (f *Frame) Read(r io.Reader) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return errors.New("frame header cut short")
		}
		return err
	}
	size := int(byteOrder.Uint32(header[batchSizeOffset:]))
	f.Count = int(byteOrder.Uint32(header[batchCountOffset:]))
	f.Clock = balancer.Time(byteOrder.Uint64(header[batchClockOffset:]))
	f.Number = byteOrder.Uint32(header[batchNumberOffset:])
	if f.Count > size/eventSize {
		return fmt.Errorf("batch %d: %d records do not fit in %d bytes", f.Number, f.Count, size)
	}
	if err := f.readBody(r, size); err != nil {
		return fmt.Errorf("batch %d: body cut short within %d bytes", f.Number, size)
	}
	return nil
}

// readBody grows the buffer as data arrives: the length is not to be trusted.
func (f *Frame) readBody(r io.Reader, size int) error {
	f.body = f.body[:0]
	for len(f.body) < size {
		start := len(f.body)
		end := start + min(size-start, max(firstRead, start))
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

// Event returns the event at a position below Count.
func (f *Frame) Event(position int) Event {
	return Event{f, position, f.body[position*eventSize : (position+1)*eventSize]}
}

// tail is what follows the event records.
func (f *Frame) tail() []byte { return f.body[f.Count*eventSize:] }
