package transport

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"
)

// uploadReading is the part of an upload that reads the body from the client. A part of the body is read once the
// server has taken the previous one, so a slow server slows its client down. While the server takes nothing, the
// client's last byte may wait unread, and its time may be running already. Periodic checks therefore determine whether
// the last byte can have been written. If a call's time would be over then, its body is read ahead to find out.
type uploadReading struct {
	readAhead *readAheadBudget
	buffers   *bufferPool // the pool of parts that are read ahead

	// received receives the time from which the call's timeout counts, once, when it is known that the last byte of the
	// body has arrived or may have been waiting for the whole timeout. It buffers that time.
	received chan time.Time
	// receivedAt is the time that was sent to received; nil: none yet. Only the holder of reading sets it.
	receivedAt atomic.Pointer[time.Time]

	// silentAt is the time of the last check that found nothing unread, long after the last read; nil: none has since.
	silentAt atomic.Pointer[time.Time]

	// reading is held while the body is read, and guards the following fields.
	reading    semaphore
	clientPace transferPace
	pressure   backpressure
	// lastArrival is the time of the last read or check by which more bytes had arrived than before.
	lastArrival time.Time
	// heldSince is the time of the last read or check: since then, bytes may be held back.
	heldSince time.Time
	// readErr is the error that ended the reading; io.EOF: the whole body was read; nil: it continues.
	readErr error
	// clientErr is the error that made the body incomplete, if the client caused it; nil: the client did not.
	clientErr error
	// logged reports whether the log has a line about this body.
	logged bool

	// The fields of the checks and of the admission, set by watch. Only checkTimer changes, under upload.mu.

	timeout    time.Duration // of the call, from its last byte
	leave      func()        // ends the call of a client that has left
	checkTimer *time.Timer   // nil: no further check
}

// newUploadReading returns the reading of a body of which some bytes have been read.
func newUploadReading(r requestBody, bytes int64, readAhead *readAheadBudget, buffers *bufferPool) uploadReading {
	now := time.Now()
	return uploadReading{
		readAhead:  readAhead,
		reading:    make(semaphore, 1),
		buffers:    buffers,
		received:   make(chan time.Time, 1),
		clientPace: transferPace{bytes: bytes, waited: now.Sub(r.conn.requestStartTime())},
		pressure:   newBackpressure(r.length, max(r.conn.bodyArrival().bytes, bytes)),
		heldSince:  r.conn.receivedAt(now),
	}
}

// stopReading stops reading the body, unless the whole body has been read, and waits until no read is in progress. It
// does not interrupt reads after the end of the body, since net/http reads there to detect a disconnect. This matters
// because a server may answer before the write of the last byte returns.
func (u *upload) stopReading() {
	if !u.bodyRead.Load() {
		u.stopped.Store(true)
		_ = u.conn.SetReadDeadline(expiredDeadline)
	}
	u.reading.acquire()
	defer u.reading.release()
	if u.bodyRead.Load() {
		_ = u.conn.SetReadDeadline(time.Time{}) // net/http reads to detect a disconnect
	}
}

// stopReadingAhead is stopReading for a body that no attempt has claimed. It leaves the read deadline as it is unless
// the body is being read.
func (u *upload) stopReadingAhead() {
	if u.reading.tryAcquire() {
		u.stopped.Store(true)
		u.reading.release()
		return
	}
	u.stopReading()
}

// nextPart returns the next part of the body: one that was read ahead, or one that it reads into buf. The part is valid
// until the next call or releasePart. With an error, which is io.EOF at the end of the body, the part is the last one.
func (u *upload) nextPart(buf []byte) (bodyPart, error) {
	if part, ok := u.takeAhead(); ok {
		return part, nil
	}
	u.reading.acquire()
	defer u.reading.release()
	if part, ok := u.takeAhead(); ok { // read while this call waited
		return part, nil
	}
	switch {
	case u.readErr != nil:
		return bodyPart{}, u.readErr
	case u.stopped.Load():
		return bodyPart{}, os.ErrDeadlineExceeded
	}
	bytes, err := u.readNext(buf)
	return bodyPart{bytes: bytes}, err
}

// takeAhead removes and returns the first part that was read ahead, if there is one.
func (u *upload) takeAhead() (part bodyPart, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.ahead) == 0 {
		return bodyPart{}, false
	}
	part = u.ahead[0]
	u.ahead = u.ahead[1:]
	return part, true
}

// releasePart releases the memory of a part that was read ahead, after its last use.
func (u *upload) releasePart(part bodyPart) {
	if part.buffer != nil {
		u.buffers.put(part.buffer)
		u.readAhead.release()
	}
}

// readNext waits for the client's next bytes, as long as the client keeps the minimum pace. The caller must hold
// reading.
func (u *upload) readNext(buf []byte) ([]byte, error) {
	started := time.Now()
	_ = u.conn.SetReadDeadline(started.Add(u.clientPace.timeLeft(bodyStallTimeout)))
	if u.stopped.Load() { // the new deadline must not undo stopReading: the rest of the body is not waited for
		_ = u.conn.SetReadDeadline(expiredDeadline)
	}
	u.pressure.hold(started.Sub(u.heldSince))
	n, err := u.body.Read(buf)
	u.clientPace.add(n, started)
	u.heldSince = time.Now()
	u.endSilence(u.conn.lastReadTime())
	u.noteRead()
	if u.clientPace.bytes > maxRequestBody {
		err = errBodyTooLarge
	}
	if errors.Is(err, io.EOF) && u.pressure.length >= 0 && u.conn.requestExceedsLength() {
		n = 0 // without its last bytes, the server does not run the request
		err = errExceedsLength
	}
	if err != nil {
		u.endReading(err)
	}
	return buf[:n], err
}

// noteRead records what has been read of the body, into the buffer of net/http too. The end of the body may wait there
// for as long as the server takes nothing. The caller must hold reading.
func (u *upload) noteRead() {
	arrival := u.conn.bodyArrival()
	if arrival.complete {
		u.setReceived()
		return
	}
	u.noteArrived(max(arrival.bytes, u.clientPace.bytes), u.heldSince)
}

// endReading records the end of the body or the error that ended the reading. The caller must hold reading.
func (u *upload) endReading(err error) {
	u.readErr = err
	switch {
	case errors.Is(err, io.EOF):
		u.setReceived()
		_ = u.conn.SetReadDeadline(time.Time{})
		u.conn.completeRequest()
		u.bodyRead.Store(true)
	case !u.stopped.Load():
		u.clientErr = err
	}
}

// setReceived sets the time from which the call's timeout counts: the earliest time at which the client may have
// written its last byte, or at which that byte would have arrived if the server had not held it back. The caller must
// hold reading.
func (u *upload) setReceived() {
	if u.receivedAt.Load() != nil {
		return
	}
	at := time.Now().Add(-u.pressure.delay())
	u.receivedAt.Store(&at)
	u.received <- at
}

// deadline returns the end of a timeout that counts from the client's last byte; zero: its start is not known yet.
func (u *upload) deadline(timeout time.Duration) time.Time {
	at := u.receivedAt.Load()
	if at == nil {
		return time.Time{}
	}
	return at.Add(timeout)
}

// timeLeft returns the rest of a timeout that counts from the client's last byte; all of it if that byte may still be
// missing. It is above 0.
func (u *upload) timeLeft(timeout time.Duration) time.Duration {
	deadline := u.deadline(timeout)
	if deadline.IsZero() {
		return timeout
	}
	return max(time.Until(deadline), 1)
}

// failedByClient reports whether an error of the client made the body incomplete.
func (u *upload) failedByClient() bool {
	u.reading.acquire()
	defer u.reading.release()
	return u.clientErr != nil
}
