package transport

import (
	"testing"
	"time"
)

// TestBackpressure: only the time for which a body was held back counts, and only from the earliest time at which the
// client can have written its last byte.
func TestBackpressure(t *testing.T) {
	const mb = 1 << 20
	for name, c := range map[string]struct {
		length int64
		events func(b *backpressure)
		want   time.Duration
	}{
		"nothing held back": {8 * mb, func(b *backpressure) { b.arrive(8 * mb) }, 0},
		"rest fits the client's kernel": {8 * mb, func(b *backpressure) {
			b.arrive(5 * mb)
			b.hold(time.Second)
		}, time.Second},
		"rest exceeds the client's kernel": {16 * mb, func(b *backpressure) {
			b.arrive(5 * mb)
			b.hold(time.Second)
		}, 0},
		"counts from the bytes before which the rest was too long": {16 * mb, func(b *backpressure) {
			for range 16 {
				b.hold(100 * time.Millisecond)
				b.arrive(b.arrived + mb)
			}
		}, 400 * time.Millisecond},
		"unknown length, so far": {-1, func(b *backpressure) {
			b.arrive(mb)
			b.hold(time.Second)
		}, time.Second},
		"unknown length, more than the client's kernel held has arrived since": {-1, func(b *backpressure) {
			b.arrive(mb)
			b.hold(time.Second)
			b.arrive(8 * mb)
			b.hold(time.Millisecond)
		}, time.Millisecond},
		"client had not written its last byte": {8 * mb, func(b *backpressure) {
			b.arrive(5 * mb)
			b.hold(time.Second)
			b.restart()
			b.hold(time.Millisecond)
		}, time.Millisecond},
		"all that was written has arrived, and the rest later": {8 * mb, func(b *backpressure) {
			b.arrive(5 * mb)
			b.hold(time.Second)
			b.allArrived()
			b.arrive(8 * mb)
			b.hold(time.Millisecond)
		}, time.Millisecond},
		"all that was written has arrived, and may be the whole body": {-1, func(b *backpressure) {
			b.arrive(5 * mb)
			b.hold(time.Second)
			b.allArrived()
			b.hold(time.Millisecond)
		}, time.Second + time.Millisecond},
	} {
		b := newBackpressure(c.length, 0)
		c.events(&b)
		if got := b.delay(); got != c.want {
			t.Errorf("%s: delay %v, want %v", name, got, c.want)
		}
	}
}

// TestBackpressureMarks: the number of marks stays small, however long a body is and however its bytes arrive.
func TestBackpressureMarks(t *testing.T) {
	const most = maxClientSendBuffer/markStep + 3
	for _, length := range []int64{-1, maxRequestBody} {
		b := newBackpressure(length, 0)
		for arrived := int64(0); arrived <= maxRequestBody; arrived += streamBufferSize {
			b.hold(time.Millisecond)
			b.arrive(arrived)
			if arrived%maxClientSendBuffer == 0 {
				b.allArrived()
			}
			if len(b.marks) > most {
				t.Fatalf("length %d: %d marks after %d bytes, want at most %d", length, len(b.marks), arrived, most)
			}
		}
	}
}
