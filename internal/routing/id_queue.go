package routing

import (
	"hash/maphash"
	"time"
)

const (
	// idBlockSize is the number of ids for which memory is allocated at once.
	idBlockSize = 64
	// minIDBuckets is the initial number of buckets of an idQueue, a power of two.
	minIDBuckets = 256
)

// idQueue holds the ids of calls in the order in which they were added, and finds each without a search. A map and a
// slice would allocate and copy all of their ids again and again while their number grows.
type idQueue struct {
	seed    maphash.Seed
	buckets []*idEntry // a power of two; entries with the same bucket are linked
	oldest  *idBlock   // nil if the queue is empty
	newest  *idBlock
	first   int // index of the first entry of oldest
	last    int // number of entries of newest
	count   int
}

// idEntry is an entry of an idQueue.
type idEntry struct {
	endedCall
	hash uint64
	next *idEntry // in the same bucket
}

// idBlock is a part of the entries of an idQueue.
type idBlock struct {
	entries [idBlockSize]idEntry
	next    *idBlock
}

func newIDQueue() idQueue {
	return idQueue{seed: maphash.MakeSeed(), buckets: make([]*idEntry, minIDBuckets)}
}

// bucket returns the first entry of the bucket of a hash.
func (q *idQueue) bucket(hash uint64) **idEntry { return &q.buckets[hash&uint64(len(q.buckets)-1)] }

// contains reports whether the queue has an id.
func (q *idQueue) contains(id string) bool {
	for entry := *q.bucket(maphash.String(q.seed, id)); entry != nil; entry = entry.next {
		if entry.clientRequestID == id {
			return true
		}
	}
	return false
}

// push adds the id of a call, which the queue must not contain.
func (q *idQueue) push(call endedCall) {
	if q.count == len(q.buckets) {
		q.growBuckets()
	}
	entry := q.newEntry()
	entry.endedCall = call
	entry.hash = maphash.String(q.seed, call.clientRequestID)
	q.link(entry)
	q.count++
}

// newEntry returns the next entry behind the newest one.
func (q *idQueue) newEntry() *idEntry {
	if q.newest == nil || q.last == idBlockSize {
		block := &idBlock{}
		if q.newest == nil {
			q.oldest = block
			q.first = 0
		} else {
			q.newest.next = block
		}
		q.newest = block
		q.last = 0
	}
	q.last++
	return &q.newest.entries[q.last-1]
}

func (q *idQueue) link(entry *idEntry) {
	bucket := q.bucket(entry.hash)
	entry.next = *bucket
	*bucket = entry
}

// growBuckets doubles the number of buckets.
func (q *idQueue) growBuckets() {
	old := q.buckets
	q.buckets = make([]*idEntry, 2*len(old))
	for _, entry := range old {
		for entry != nil {
			next := entry.next
			q.link(entry)
			entry = next
		}
	}
}

// peek returns the oldest call. The queue must not be empty.
func (q *idQueue) peek() endedCall { return q.oldest.entries[q.first].endedCall }

// pop removes and returns the oldest call. The queue must not be empty.
func (q *idQueue) pop() endedCall {
	entry := &q.oldest.entries[q.first]
	link := q.bucket(entry.hash)
	for *link != entry {
		link = &(*link).next
	}
	*link = entry.next
	call := entry.endedCall
	*entry = idEntry{}
	q.count--
	q.first++
	switch {
	case q.count == 0:
		q.oldest, q.newest, q.first, q.last = nil, nil, 0, 0
	case q.first == idBlockSize:
		q.oldest = q.oldest.next
		q.first = 0
	}
	return call
}

// oldestEndedAt returns the end of the oldest call; ok is false if the queue is empty.
func (q *idQueue) oldestEndedAt() (at time.Time, ok bool) {
	if q.count == 0 {
		return time.Time{}, false
	}
	return q.peek().endedAt, true
}

// all returns the calls from the oldest to the newest.
func (q *idQueue) all(yield func(endedCall) bool) {
	first := q.first
	left := q.count
	for block := q.oldest; block != nil; block = block.next {
		for i := first; i < idBlockSize && left > 0; i++ {
			if !yield(block.entries[i].endedCall) {
				return
			}
			left--
		}
		first = 0
	}
}
