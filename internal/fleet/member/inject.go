package member

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// numbersPerIncarnation is how many of memberlist's own incarnation numbers one incarnation of a node has room for:
// memberlist uses one for each refutation of a suspicion, from the first on, and one for each mass failure in which
// nobody reached the node, from the middle on. What is left of its 32 bits is enough for half a million starts.
const numbersPerIncarnation = 1 << 13

// errAgentClosed is returned where a message comes too late for memberlist.
var errAgentClosed = errors.New("this place is over")

// raiseOwnNumber makes memberlist begin above all numbers that the node's past incarnations may have used, which others
// still gossip: memberlist refutes whatever it hears of itself with a greater number, so it is sent a suspicion before
// it has met anybody.
func (a *agent) raiseOwnNumber() error {
	number := uint32(a.incarnation.Number) * numbersPerIncarnation
	return a.injectMessage(suspectMessage, number, a.service.config.Name)
}

// declareDead makes memberlist declare a member dead that nobody reached: it tells others, also those that start later,
// and the member itself, which refutes it if it is alive after all.
func (a *agent) declareDead(name string, incarnation Incarnation) {
	a.mu.Lock()
	minNumber := uint32(incarnation.Number)*numbersPerIncarnation + numbersPerIncarnation/2
	number := max(minNumber, a.latestNumbers[name]+1)
	a.mu.Unlock()
	if err := a.injectMessage(deadMessage, number, name); err != nil {
		a.service.counters.rejected.Add(1)
	}
}

// injectMessage gives memberlist a message about a member, as if this node had sent it.
func (a *agent) injectMessage(kind byte, number uint32, name string) error {
	message := swimMessage{Incarnation: number, Node: name, From: a.service.config.Name}
	var body []byte
	if err := codec.NewEncoderBytes(&body, &codec.MsgpackHandle{}).Encode(&message); err != nil {
		return fmt.Errorf("a message about %s: %w", name, err)
	}
	packet := &memberlist.Packet{
		Buf:       append([]byte{kind}, body...),
		From:      a.transport.udp.LocalAddr(),
		Timestamp: time.Now(),
	}
	select {
	case a.transport.packets <- packet:
		return nil
	case <-a.stop:
		return errAgentClosed
	}
}
