package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
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

// check determines whether the last byte of the body may have been written, and reads ahead if the call's time would be
// over then. It ends a call that cannot be answered any more before the process may be killed. The next check does not
// wait for the end of this one, in which the client may be waited for.
func (u *upload) check() {
	defer u.recoverReadPanic()
	if !u.checkHeldBack() {
		return
	}
	if u.refuseIfLate() {
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
	if u.unread() == 0 && now.Sub(u.conn.lastReadTime()) >= minClientSilence { // in this order: a read may be in progress
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

// noteArrivals updates pressure with the bytes that the client's socket and the buffer of net/http hold, and determines
// whether the last byte is among them. The caller must hold reading.
func (u *upload) noteArrivals() {
	now := time.Now()
	heldFor := now.Sub(u.heldSince)
	u.heldSince = now
	arrival := u.conn.bodyArrival()
	unread := u.unread()
	switch {
	case arrival.complete:
		u.pressure.hold(heldFor)
		u.setReceived()
		return
	case unread > 0:
		u.endSilence(now)
	default:
		u.checkSilence()
		if !arrival.endUnknown {
			return
		}
	}
	u.pressure.hold(heldFor)
	u.noteArrived(max(arrival.bytes, u.clientPace.bytes)+unread, now)
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
	buffer := u.acquireAhead()
	if buffer == nil {
		if delay >= u.timeout {
			u.setReceived()
		}
		return false
	}
	part := bodyPart{buffer: buffer}
	defer func() { u.appendAhead(part) }()
	bytes, err := u.readNext(part.buffer.bytes[:streamBufferSize])
	part.bytes = bytes
	if err != nil && !errors.Is(err, io.EOF) && !u.stopped.Load() {
		u.leave()
	}
	return err == nil
}

// acquireAhead returns a buffer for a part to read ahead; nil if there is no memory for it.
func (u *upload) acquireAhead() *pooledBuffer {
	if !u.readAhead.acquire() {
		return nil
	}
	buffer := u.buffers.tryGet(streamBufferSize)
	if buffer == nil {
		u.readAhead.release()
	}
	return buffer
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
