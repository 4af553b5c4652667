package rules

import "time"

// listing is one change that discovery knows of.
type listing struct {
	version int64
	peer    string
	addr    string
	state   string
	started time.Duration // the peer's last start since the run began; 0: before it
	at      time.Duration // when discovery got to know of the change
}

// listingLog holds what discovery knows, in order. A position in it is the
// number of listings up to there.
type listingLog struct {
	listings []listing
	peers    []string         // in the order of their first listing
	indexes  map[string][]int // of listings, by peer
}

func newListingLog() listingLog { return listingLog{indexes: map[string][]int{}} }

func (l *listingLog) append(added listing) {
	if len(l.indexes[added.peer]) == 0 {
		l.peers = append(l.peers, added.peer)
	}
	l.indexes[added.peer] = append(l.indexes[added.peer], len(l.listings))
	l.listings = append(l.listings, added)
}

// lastBefore is the index of the last listing of a peer up to a position; -1:
// there is none.
func (l *listingLog) lastBefore(peer string, position int) int {
	indexes := l.indexes[peer]
	for i := len(indexes) - 1; i >= 0; i-- {
		if indexes[i] < position {
			return indexes[i]
		}
	}
	return -1
}

// positionOfVersion is the position of a version. Discovery may begin its
// numbering anew, so the last listing with exactly this version counts, or else
// those up to it since the numbering last began.
func (l *listingLog) positionOfVersion(version int64) int {
	for i := len(l.listings) - 1; i >= 0; i-- {
		if l.listings[i].version == version {
			return i + 1
		}
	}
	position := len(l.listings)
	for position > 0 && l.listings[position-1].version > version {
		if position > 1 && l.listings[position-2].version > l.listings[position-1].version {
			return 0 // of an earlier numbering, or before this one: nothing is sure
		}
		position--
	}
	return position
}

// positionAt is the position at an instant.
func (l *listingLog) positionAt(at time.Duration) int {
	position := len(l.listings)
	for position > 0 && l.listings[position-1].at > at {
		position--
	}
	return position
}
