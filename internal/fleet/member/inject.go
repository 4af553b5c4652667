package member

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// numbersPerIncarnation is the number of memberlist's own incarnation numbers reserved for one incarnation of a node.
// memberlist uses one number for each refutation of a suspicion, starting with the first of the range. declareDead uses
// one for each mass failure in which no member reached the node, starting in the middle of the range. memberlist's
// numbers have 32 bits, which leaves room for half a million starts of a node.
const numbersPerIncarnation = 1 << 13

// errAgentClosed is returned by injectMessage once the agent is closed.
var errAgentClosed = errors.New("the agent is closed")

// raiseOwnNumber makes memberlist start above all of its incarnation numbers that past incarnations of the node may
// have used and other members may still gossip. It injects a suspicion of this node before any other member is known,
// because memberlist refutes a suspicion of its own node with a greater number.
func (a *agent) raiseOwnNumber() error {
	number := uint32(a.incarnation.Number) * numbersPerIncarnation
	return a.injectMessage(suspectMessage, number, a.service.config.Name)
}

// declareDead makes memberlist declare a member dead that no process reached. memberlist sends the declaration to other
// members, including those that start later, and to the member itself, which refutes it if it is still alive.
func (a *agent) declareDead(name string, incarnation Incarnation) {
	a.mu.Lock()
	minNumber := uint32(incarnation.Number)*numbersPerIncarnation + numbersPerIncarnation/2
	number := max(minNumber, a.latestNumbers[name]+1)
	a.mu.Unlock()
	if err := a.injectMessage(deadMessage, number, name); err != nil {
		a.service.counters.rejected.Add(1)
	}
}

// injectMessage passes a message about a member to memberlist, with this node as the sender.
func (a *agent) injectMessage(kind byte, number uint32, name string) error {
	message := swimMessage{Incarnation: number, Node: name, From: a.service.config.Name}
	var body []byte
	if err := codec.NewEncoderBytes(&body, &codec.MsgpackHandle{}).Encode(&message); err != nil {
		return fmt.Errorf("encoding a message about %s: %w", name, err)
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
