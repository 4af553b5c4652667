package handover

import (
	"sync"
	"time"
)

const (
	// outboxLength is the maximum number of messages that wait in an outbox: those of a second of heavy traffic.
	outboxLength = 1024
	// postTimeout bounds the duration for which a posted message blocks the link while the other process does not read.
	// An operator's command waits for it, and must be answered within 1 s.
	postTimeout = 100 * time.Millisecond
)

// outbox holds messages that a goroutine of the link sends, so that their senders do not block. The goroutine runs from
// the first message to the end of the link.
type outbox struct {
	link     *Link
	messages chan Message

	mu      sync.Mutex
	started bool
	closed  bool
	sender  sync.WaitGroup
}

func (o *outbox) init(l *Link) {
	o.link = l
	o.messages = make(chan Message, outboxLength)
}

// Post sends a message without a descriptor and never blocks. The messages of one link that are posted arrive in the
// order of the calls. Post reports false if the message is dropped because too many are waiting or the link is closed.
// Later the message is lost if the other process does not read within postTimeout, or ends.
func (l *Link) Post(m Message) bool {
	if !l.outbox.start() {
		return false
	}
	select {
	case l.outbox.messages <- m:
		return true
	default:
		return false
	}
}

// start starts the goroutine unless it runs. It reports false if the outbox is closed.
func (o *outbox) start() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	if !o.started {
		o.started = true
		o.sender.Go(o.send)
	}
	return true
}

// send sends messages until the link is closed. It drops those that cannot be sent: the next Receive of the link
// reports the end of the other process.
func (o *outbox) send() {
	for {
		select {
		case m := <-o.messages:
			_ = o.link.send(m, nil, postTimeout)
		case <-o.link.closed:
			return
		}
	}
}

// close waits for the goroutine to end. The link is closed already, which interrupts a blocked send.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.sender.Wait()
}
