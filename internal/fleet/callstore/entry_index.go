package callstore

import "container/heap"

// entryIndex indexes the ledger's entries: running calls by the process that owns them, all others by the time of their
// last change. Each entry is in exactly one of the two indexes.
type entryIndex struct {
	expiring expiryQueue
	running  map[process]map[*entry]bool
}

func newEntryIndex() entryIndex {
	return entryIndex{running: map[process]map[*entry]bool{}}
}

func (x *entryIndex) add(e *entry) {
	if e.State != Running {
		heap.Push(&x.expiring, e)
		return
	}
	owner := e.Owner.process()
	if x.running[owner] == nil {
		x.running[owner] = map[*entry]bool{}
	}
	x.running[owner][e] = true
}

func (x *entryIndex) remove(e *entry) {
	if e.State != Running {
		heap.Remove(&x.expiring, e.heapIndex)
		return
	}
	owner := e.Owner.process()
	delete(x.running[owner], e)
	if len(x.running[owner]) == 0 {
		delete(x.running, owner)
	}
}

// popChangedBefore removes and returns the entry that changed least recently, if it changed before cutoff, in
// milliseconds of the ledger's clock. It returns nil if there is none. Running calls are never returned.
func (x *entryIndex) popChangedBefore(cutoff int64) *entry {
	if len(x.expiring) == 0 || x.expiring[0].ChangedAt >= cutoff {
		return nil
	}
	return heap.Pop(&x.expiring).(*entry)
}

// expiryQueue is a min-heap of entries by the time of their last change. It implements heap.Interface.
type expiryQueue []*entry

func (q expiryQueue) Len() int { return len(q) }

func (q expiryQueue) Less(i, j int) bool { return q[i].ChangedAt < q[j].ChangedAt }

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
