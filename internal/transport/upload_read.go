package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"
)

const (
	// bodyCheckInterval is the interval between two checks of a body that its server does not take.
	bodyCheckInterval = 50 * time.Millisecond
	// minClientSilence is the time without a byte after which the client's kernel holds none, if there was room for them.
	// It covers Linux's shortest retransmission timeout, 200 ms, and a round trip.
	minClientSilence = 250 * time.Millisecond
	// maxReadAheadLead is the longest time before the end of a call at which the node begins to read its body ahead.
	maxReadAheadLead = 100 * time.Millisecond
	// readAheadLeadDivisor bounds the same time to a fraction of the call's timeout.
	readAheadLeadDivisor = 2
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

	// The fields of the checks, set by watch. Only checkTimer changes, under upload.mu.

	timeout    time.Duration // of the call, from its last byte
	leave      func()        // ends the call of a client that has left
	checkTimer *time.Timer   // nil: no further check
}

// semaphore is held by one goroutine at a time. Unlike a mutex it may be held during I/O for which others wait in
// virtual time (testing/synctest).
type semaphore chan struct{}

func (s semaphore) acquire() { s <- struct{}{} }

func (s semaphore) release() { <-s }

// tryAcquire acquires the semaphore if it is free, and reports whether it did.
func (s semaphore) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
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
		pressure:   newBackpressure(r.length, bytes),
		heldSince:  now,
	}
}

// watch starts the checks of a body whose call has the given timeout. leave is called if the client leaves while its
// bytes are held back. The returned function ends the checks and releases what was read ahead.
func (u *upload) watch(timeout time.Duration, leave context.CancelFunc) (stop func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timeout = timeout
	u.leave = leave
	u.checkTimer = time.AfterFunc(bodyCheckInterval, u.check)
	return u.stopWatch
}

// stopWatch ends the checks.
func (u *upload) stopWatch() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	if u.checkTimer != nil {
		u.checkTimer.Stop()
		u.checkTimer = nil
	}
	for _, part := range u.ahead {
		u.releasePart(part)
	}
	u.ahead = nil
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
	u.noteArrived(u.clientPace.bytes, u.heldSince)
	if u.clientPace.bytes > maxRequestBody {
		err = errBodyTooLarge
	}
	if err != nil {
		u.endReading(err)
	}
	return buf[:n], err
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

// check determines whether the last byte of the body may have been written, and reads ahead if the call's time would be
// over then. The next check does not wait for the end of this one, in which the client may be waited for.
func (u *upload) check() {
	defer u.recoverReadPanic()
	if !u.checkHeldBack() {
		return
	}
	u.scheduleCheck()
	for u.readAheadPart() {
	}
}

// scheduleCheck schedules the next check, unless the checks have ended.
func (u *upload) scheduleCheck() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.checkTimer != nil {
		u.checkTimer.Reset(bodyCheckInterval)
	}
}

// recoverReadPanic prevents a panic while a body is read ahead from ending the process.
func (u *upload) recoverReadPanic() {
	if p := recover(); p != nil {
		u.conn.log.log.Error("panic", "in", "upload", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
		u.leave()
	}
}

// checkHeldBack determines whether the last byte of the body has arrived or may have been waiting for the whole timeout
// of the call. The result reports whether the body must be checked further.
func (u *upload) checkHeldBack() (again bool) {
	if !u.reading.tryAcquire() { // the body is being read: nothing is held back
		u.checkSilence()
		return true
	}
	defer u.reading.release()
	if u.readErr != nil || u.stopped.Load() {
		return false
	}
	if u.conn.HasEnded() {
		u.conn.log.setReason(reasonClientClosed)
		u.leave()
		return false
	}
	u.noteArrivals()
	return true
}

// checkSilence records that the client's socket holds nothing, if the bytes that the client's kernel held must have
// arrived since the last read. What has been read may still contain the end of the body.
func (u *upload) checkSilence() {
	now := time.Now()
	if now.Sub(u.conn.lastReadTime()) >= minClientSilence && u.unread() == 0 {
		u.silentAt.Store(&now)
	}
}

// endSilence records that bytes arrived at a time. If the client had been silent before, it had not written its last
// byte by then. The caller must hold reading.
func (u *upload) endSilence(arrived time.Time) {
	if silentAt := u.silentAt.Swap(nil); silentAt != nil && arrived.After(*silentAt) {
		u.pressure.restart()
	}
}

// unread returns the number of bytes that the client's socket holds. A number that is unknown counts as 1, or as 0 if
// there are none.
func (u *upload) unread() int64 {
	n, err := u.conn.Unread()
	if err != nil && hasUnread(u.conn) {
		n = 1
	}
	return int64(n)
}

// noteArrivals updates pressure with the bytes that the client's socket holds, and determines whether the last byte is
// among them. The caller must hold reading.
func (u *upload) noteArrivals() {
	now := time.Now()
	heldFor := now.Sub(u.heldSince)
	u.heldSince = now
	unread := u.unread()
	if unread == 0 {
		u.checkSilence()
		return
	}
	u.endSilence(now)
	u.pressure.hold(heldFor)
	u.noteArrived(u.clientPace.bytes+unread, now)
	if u.length >= 0 && u.pressure.arrived >= u.length {
		u.setReceived()
	}
	// Nothing has arrived although the window has been open: the client's kernel has sent all that it had.
	if now.Sub(u.lastArrival) >= minClientSilence && now.Sub(u.conn.lastReadTime()) >= minClientSilence &&
		u.conn.ReceivesMore() {
		u.pressure.allArrived()
	}
}

// noteArrived records the total number of bytes that have arrived at a time. The caller must hold reading.
func (u *upload) noteArrived(total int64, now time.Time) {
	if total > u.pressure.arrived {
		u.lastArrival = now
	}
	u.pressure.arrive(total)
}

// readAheadPart reads the next part of the body ahead if the call's time would be over in case the last byte has been
// written. It reports whether it read a part. If the node's memory for parts has no room, the last byte counts as
// written.
func (u *upload) readAheadPart() bool {
	if !u.reading.tryAcquire() { // the attempt reads the body
		return false
	}
	defer u.reading.release()
	lead := min(maxReadAheadLead, u.timeout/readAheadLeadDivisor)
	delay := u.pressure.delay()
	if u.readErr != nil || u.stopped.Load() || u.receivedAt.Load() != nil || delay < u.timeout-lead {
		return false
	}
	u.logHeldBack(delay)
	if !u.readAhead.acquire() {
		if delay >= u.timeout {
			u.setReceived()
		}
		return false
	}
	part := bodyPart{buffer: u.buffers.get(streamBufferSize)}
	defer func() { u.appendAhead(part) }()
	bytes, err := u.readNext(part.buffer.bytes[:streamBufferSize])
	part.bytes = bytes
	if err != nil && !errors.Is(err, io.EOF) && !u.stopped.Load() {
		u.leave()
	}
	return err == nil
}

// appendAhead adds a part that was read ahead, or releases it if it is empty or the checks have ended.
func (u *upload) appendAhead(part bodyPart) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.checkTimer == nil || len(part.bytes) == 0 {
		u.releasePart(part)
		return
	}
	u.ahead = append(u.ahead, part)
}

// logHeldBack logs, once for each body, where its bytes wait when the node begins to read ahead. The caller must hold
// reading.
func (u *upload) logHeldBack(delay time.Duration) {
	if u.logged {
		return
	}
	u.logged = true
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	unread, _ := u.conn.Unread()
	attributes := []any{"delay", delay.Round(time.Millisecond), "length", u.length, "read", u.clientPace.bytes,
		"unread", unread}
	if server != nil {
		unacknowledged, _ := server.Unacknowledged()
		attributes = append(attributes, "addr", server.log.addr, "sent", u.sent.Load(), "unacknowledged", unacknowledged)
	}
	u.conn.log.log.Warn("a request body is held back", attributes...)
}
