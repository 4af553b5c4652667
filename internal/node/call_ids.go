package node

import (
	"time"

	"olivebridge/internal/handover"
	"olivebridge/internal/routing"
)

// maxCallsPerMessage is the maximum number of calls in a message. It keeps a message of calls with the longest ids
// below the link's limit.
const maxCallsPerMessage = 200

// linkedProcess is the node's process at the other end of a link. It implements routing.PeerProcess.
type linkedProcess struct{ link *handover.Link }

var _ routing.PeerProcess = linkedProcess{}

// Claim implements routing.PeerProcess.
func (p linkedProcess) Claim(number uint64, call routing.OpenCall) {
	p.link.Post(handover.Message{
		Kind:          handover.KindClaim,
		RequestNumber: number,
		Calls:         encodeCalls([]routing.OpenCall{call}),
	})
}

// AnswerClaim implements routing.PeerProcess.
func (p linkedProcess) AnswerClaim(number uint64, granted bool) {
	p.link.Post(handover.Message{Kind: handover.KindClaimResult, RequestNumber: number, Granted: granted})
}

// Opened implements routing.PeerProcess.
func (p linkedProcess) Opened(calls []routing.OpenCall) {
	for rest := encodeCalls(calls); len(rest) > 0; {
		count := min(len(rest), maxCallsPerMessage)
		p.link.Post(handover.Message{Kind: handover.KindOpened, Calls: rest[:count]})
		rest = rest[count:]
	}
}

// Closed implements routing.PeerProcess.
func (p linkedProcess) Closed(clientRequestID string) {
	p.link.Post(handover.Message{Kind: handover.KindClosed, Calls: []handover.OpenCall{{ID: clientRequestID}}})
}

func encodeCalls(calls []routing.OpenCall) []handover.OpenCall {
	encoded := make([]handover.OpenCall, 0, len(calls))
	for _, call := range calls {
		encoded = append(encoded, handover.OpenCall{
			ID:         call.ClientRequestID,
			Remaining:  time.Until(call.ExpiresAt),
			Repeatable: call.Repeatable,
			Ended:      call.Ended,
		})
	}
	return encoded
}

func decodeCalls(calls []handover.OpenCall) []routing.OpenCall {
	now := time.Now()
	decoded := make([]routing.OpenCall, 0, len(calls))
	for _, call := range calls {
		decoded = append(decoded, routing.OpenCall{
			ClientRequestID: call.ID,
			ExpiresAt:       now.Add(call.Remaining),
			Repeatable:      call.Repeatable,
			Ended:           call.Ended,
		})
	}
	return decoded
}

// handleCalls handles a message about the open calls of the node's other process.
func (n *Node) handleCalls(link *handover.Link, message handover.Message) {
	process := linkedProcess{link}
	calls := decodeCalls(message.Calls)
	switch message.Kind {
	case handover.KindClaim:
		if len(calls) == 1 {
			n.router.HandleClaim(process, message.RequestNumber, calls[0])
		}
	case handover.KindClaimResult:
		n.router.HandleClaimResult(message.RequestNumber, message.Granted)
	case handover.KindOpened:
		n.router.HandleOpened(process, calls)
	case handover.KindClosed:
		for _, call := range calls {
			n.router.HandleClosed(process, call.ClientRequestID)
		}
	}
}

// predecessor returns the process from which this process takes over, for the router.
func (n *Node) predecessor() routing.Predecessor {
	link := n.processes.predecessor // needs no lock: the link's messages are not received yet
	if link == nil {
		return routing.Predecessor{}
	}
	return routing.Predecessor{Process: linkedProcess{link}, AnswersClaims: n.processes.predecessorAnswersClaims}
}
