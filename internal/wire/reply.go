package wire

import (
	"io"
	"time"

	"olivebridge/balancer"
)

// Reply collects the actions that answer one batch. Write writes and removes them, and keeps the buffers for the next
// batch. Each of the other methods adds one action of an instance.
type Reply struct {
	records []byte // the header and the action records; empty: no action yet
	tail    []byte // the texts to which the records refer
	count   uint32 // the number of actions
}

// Send adds the start of an attempt at a server, which the simulator abandons at abandonAt; 0: at the client's
// deadline.
func (r *Reply) Send(instance uint32, id balancer.RequestID, to balancer.ServerID, abandonAt balancer.Time) {
	record := r.addRequestRecord(actionSend, instance, id)
	putServer(record[sendServerOffset:], to)
	byteOrder.PutUint64(record[sendAbandonAtOffset:], uint64(abandonAt))
}

// Cancel adds the cancellation of an attempt.
func (r *Reply) Cancel(instance uint32, id balancer.RequestID, attempt int) {
	record := r.addRequestRecord(actionCancel, instance, id)
	byteOrder.PutUint16(record[cancelAttemptOffset:], uint16(attempt))
}

// Reject adds the rejection of a request, which the client may send again after the given delay; 0: immediately.
func (r *Reply) Reject(instance uint32, id balancer.RequestID, after time.Duration) {
	record := r.addRequestRecord(actionReject, instance, id)
	byteOrder.PutUint64(record[rejectAfterOffset:], uint64(after))
}

// Fail adds the failure of a request.
func (r *Reply) Fail(instance uint32, id balancer.RequestID) {
	r.addRequestRecord(actionFail, instance, id)
}

// CheckHealth adds the start of a health check.
func (r *Reply) CheckHealth(instance uint32, server balancer.ServerID) {
	putServer(r.addRecord(actionCheckHealth, instance)[serverOffset:], server)
}

// CloseIdle adds the closing of the idle connections to a server.
func (r *Reply) CloseIdle(instance uint32, server balancer.ServerID) {
	putServer(r.addRecord(actionCloseIdle, instance)[serverOffset:], server)
}

// SetTimer adds a timer that expires after the given delay. Its EventTimer returns the reference as Ref.
func (r *Reply) SetTimer(instance uint32, after time.Duration, ref uint64) {
	record := r.addRecord(actionSetTimer, instance)
	byteOrder.PutUint64(record[setTimerAfterOffset:], uint64(after))
	byteOrder.PutUint64(record[setTimerRefOffset:], ref)
}

// Watch adds the start (on) or the end of the watch on the endpoint list.
func (r *Reply) Watch(instance uint32, on bool) {
	record := r.addRecord(actionWatch, instance)
	if on {
		record[watchOnOffset] = 1
	}
}

// FetchEndpoints adds a single fetch of the complete endpoint list.
func (r *Reply) FetchEndpoints(instance uint32) { r.addRecord(actionFetchEndpoints, instance) }

// SendPeerMessage adds a message to one instance or to AllInstances.
func (r *Reply) SendPeerMessage(instance, to uint32, data string) {
	record := r.addTextRecord(actionSendPeerMessage, instance, peerMessageTextOffset, data)
	byteOrder.PutUint32(record[peerMessageToOffset:], to)
}

// Log adds a line for the simulator's report.
func (r *Reply) Log(instance uint32, line string) {
	r.addTextRecord(actionLog, instance, textOffset, line)
}

// ReportFault adds the report that the decision code of an instance has failed, with the reason.
func (r *Reply) ReportFault(instance uint32, reason string) {
	r.addTextRecord(actionReportFault, instance, textOffset, reason)
}

// Write writes the actions as the reply to the batch with the given number, and removes them.
func (r *Reply) Write(w io.Writer, batch uint32) error {
	r.reserveHeader()
	r.records = append(r.records, r.tail...)
	byteOrder.PutUint32(r.records[replySizeOffset:], uint32(len(r.records)-replyHeaderSize))
	byteOrder.PutUint32(r.records[replyCountOffset:], r.count)
	byteOrder.PutUint32(r.records[replyBatchOffset:], batch)
	_, err := w.Write(r.records)
	r.records = r.records[:0]
	r.tail = r.tail[:0]
	r.count = 0
	return err
}

// reserveHeader reserves the space of the header before the first record. Write fills the header in.
func (r *Reply) reserveHeader() {
	if len(r.records) == 0 {
		r.records = append(r.records, make([]byte, replyHeaderSize)...)
	}
}

// addRecord appends an action record with the code and the instance set, and returns it. All other bytes are zero.
func (r *Reply) addRecord(code actionCode, instance uint32) []byte {
	r.reserveHeader()
	start := len(r.records)
	var zero [actionSize]byte
	r.records = append(r.records, zero[:]...)
	r.count++
	record := r.records[start:]
	record[codeOffset] = byte(code)
	byteOrder.PutUint32(record[instanceOffset:], instance)
	return record
}

// addRequestRecord appends an action record with the ID of a request.
func (r *Reply) addRequestRecord(code actionCode, instance uint32, id balancer.RequestID) []byte {
	record := r.addRecord(code, instance)
	byteOrder.PutUint64(record[requestIDOffset:], uint64(id))
	return record
}

// addTextRecord appends a text to the tail, and an action record that holds the text's offset in the tail and its
// length at the given position.
func (r *Reply) addTextRecord(code actionCode, instance uint32, position int, text string) []byte {
	record := r.addRecord(code, instance)
	byteOrder.PutUint32(record[position:], uint32(len(r.tail)))
	byteOrder.PutUint32(record[position+4:], uint32(len(text)))
	r.tail = append(r.tail, text...)
	return record
}
