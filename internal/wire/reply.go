package wire

import (
	"io"
	"time"

	"olivebridge/balancer"
)

// Reply collects the actions of one batch. Its buffers are reused after Write.
type Reply struct {
	records []byte // the frame's header and the action records; empty: no action yet
	tail    []byte
	count   uint32 // of actions
}

// Send sends an attempt, to be abandoned at a time; 0: when the client gives up.
func (r *Reply) Send(instance uint32, id balancer.RequestID, to balancer.ServerID, abandonAt balancer.Time) {
	record := r.addRequest(actionSend, instance, id)
	putServer(record[sendServerOffset:], to)
	byteOrder.PutUint64(record[sendAbandonAtOffset:], uint64(abandonAt))
}

// Cancel cancels an attempt.
func (r *Reply) Cancel(instance uint32, id balancer.RequestID, attempt int) {
	record := r.addRequest(actionCancel, instance, id)
	byteOrder.PutUint16(record[cancelAttemptOffset:], uint16(attempt))
}

// Reject rejects a request; the client may come again after a while, 0: at once.
func (r *Reply) Reject(instance uint32, id balancer.RequestID, after time.Duration) {
	record := r.addRequest(actionReject, instance, id)
	byteOrder.PutUint64(record[rejectAfterOffset:], uint64(after))
}

// Fail fails a request.
func (r *Reply) Fail(instance uint32, id balancer.RequestID) { r.addRequest(actionFail, instance, id) }

// CheckHealth starts a health check.
func (r *Reply) CheckHealth(instance uint32, server balancer.ServerID) {
	putServer(r.add(actionCheckHealth, instance)[serverOffset:], server)
}

// CloseIdle closes the idle connections to a server.
func (r *Reply) CloseIdle(instance uint32, server balancer.ServerID) {
	putServer(r.add(actionCloseIdle, instance)[serverOffset:], server)
}

// SetTimer sets a timer, whose EventTimer has the reference.
func (r *Reply) SetTimer(instance uint32, after time.Duration, ref uint64) {
	record := r.add(actionSetTimer, instance)
	byteOrder.PutUint64(record[setTimerAfterOffset:], uint64(after))
	byteOrder.PutUint64(record[setTimerRefOffset:], ref)
}

// Watch starts or ends the watch on the endpoint list.
func (r *Reply) Watch(instance uint32, on bool) {
	record := r.add(actionWatch, instance)
	if on {
		record[watchOnOffset] = 1
	}
}

// FetchEndpoints asks for the whole endpoint list once.
func (r *Reply) FetchEndpoints(instance uint32) { r.add(actionFetchEndpoints, instance) }

// SendPeerMessage sends a message to one instance, or to AllInstances.
func (r *Reply) SendPeerMessage(instance, to uint32, data string) {
	record := r.addText(actionSendPeerMessage, instance, peerMessageTextOffset, data)
	byteOrder.PutUint32(record[peerMessageToOffset:], to)
}

// Log adds a line to the simulator's report.
func (r *Reply) Log(instance uint32, line string) { r.addText(actionLog, instance, textOffset, line) }

// ReportFault says that the decision code has failed, and why.
func (r *Reply) ReportFault(instance uint32, reason string) {
	r.addText(actionReportFault, instance, textOffset, reason)
}

// Write writes the reply to the batch of a number, and empties it.
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

// reserveHeader puts the frame's header, still empty, before the first record.
func (r *Reply) reserveHeader() {
	if len(r.records) == 0 {
		r.records = append(r.records, make([]byte, replyHeaderSize)...)
	}
}

// add appends a record that has no fields yet but its code and instance.
func (r *Reply) add(code actionCode, instance uint32) []byte {
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

func (r *Reply) addRequest(code actionCode, instance uint32, id balancer.RequestID) []byte {
	record := r.add(code, instance)
	byteOrder.PutUint64(record[requestIDOffset:], uint64(id))
	return record
}

// addText appends a record that refers to a text, by its offset in the tail and its length at a position.
func (r *Reply) addText(code actionCode, instance uint32, position int, text string) []byte {
	record := r.add(code, instance)
	byteOrder.PutUint32(record[position:], uint32(len(r.tail)))
	byteOrder.PutUint32(record[position+4:], uint32(len(text)))
	r.tail = append(r.tail, text...)
	return record
}
