package callstore

import "container/heap"

// entryIndex finds the entries that expire next, and those that a process has running. Each entry of the ledger is in
// one of the two.
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

// popOlderThan removes an entry that changed before a time, and does not run; nil if there is none.
func (x *entryIndex) popOlderThan(oldest int64) *entry {
	if len(x.expiring) == 0 || x.expiring[0].ChangedAt >= oldest {
		return nil
	}
	return heap.Pop(&x.expiring).(*entry)
}

// expiryQueue is a heap of entries by their last change. It implements heap.Interface.
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
