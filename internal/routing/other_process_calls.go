package routing

import (
	"maps"
	"slices"
	"time"
)

// sweepSlack is the number of calls of other processes above which the first sweep for expired ones runs.
const sweepSlack = 256

// otherProcessCall is a call that is open in another process of the node.
type otherProcessCall struct {
	OpenCall
	process PeerProcess // which has claimed or reported the call
}

// otherProcessCalls are the open calls of other processes, as far as this process knows them: all calls of the
// successor, and those that the predecessor has reported. It belongs to the event loop.
type otherProcessCalls struct {
	inOtherProcess map[string]otherProcessCall // by client request id
	sweepAt        int                         // number of calls at which expired ones are removed
}

func newOtherProcessCalls() otherProcessCalls {
	return otherProcessCalls{inOtherProcess: map[string]otherProcessCall{}, sweepAt: sweepSlack}
}

// isOpenElsewhere reports whether a call is open in another process.
func (o *otherProcessCalls) isOpenElsewhere(clientRequestID string) bool {
	if len(o.inOtherProcess) == 0 { // no upgrade
		return false
	}
	call, known := o.inOtherProcess[clientRequestID]
	return known && time.Now().Before(call.ExpiresAt)
}

// addOtherProcess records that a call is open in a process.
func (o *otherProcessCalls) addOtherProcess(process PeerProcess, call OpenCall) {
	if len(o.inOtherProcess) >= o.sweepAt {
		o.removeExpired(time.Now())
		o.sweepAt = 2*len(o.inOtherProcess) + sweepSlack
	}
	o.inOtherProcess[call.ClientRequestID] = otherProcessCall{call, process}
}

// removeOtherProcess records that a call has ended in a process. It reports false if the call was not open there.
func (o *otherProcessCalls) removeOtherProcess(process PeerProcess, clientRequestID string) bool {
	if o.inOtherProcess[clientRequestID].process != process {
		return false
	}
	delete(o.inOtherProcess, clientRequestID)
	return true
}

// repeatableIn returns the ids of the calls of a process that may run more than once, in ascending order.
func (o *otherProcessCalls) repeatableIn(process PeerProcess) []string {
	var ids []string
	for id, call := range o.inOtherProcess {
		if call.Repeatable && call.process == process {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// removeExpired removes the calls that have expired.
func (o *otherProcessCalls) removeExpired(now time.Time) {
	maps.DeleteFunc(o.inOtherProcess, func(_ string, call otherProcessCall) bool {
		return !now.Before(call.ExpiresAt)
	})
}

// openInOtherProcesses returns the calls in ascending order of their client request ids.
func (o *otherProcessCalls) openInOtherProcesses() []OpenCall {
	var calls []OpenCall
	for _, id := range slices.Sorted(maps.Keys(o.inOtherProcess)) {
		calls = append(calls, o.inOtherProcess[id].OpenCall)
	}
	return calls
}
