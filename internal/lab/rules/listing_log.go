package rules

import "time"

// listing is one change of the endpoint list.
type listing struct {
	version int64
	peer    string
	addr    string
	state   string
	started time.Duration // the peer's last start since the run began; 0: it started before the run
	at      time.Duration // when discovery received the change
}

// listingLog records the changes of the endpoint list in order. A position in
// it is the number of listings before that position.
type listingLog struct {
	listings []listing
	peers    []string         // in the order of their first listing
	indexes  map[string][]int // indexes of a peer's listings, by peer
}

func newListingLog() listingLog { return listingLog{indexes: map[string][]int{}} }

func (l *listingLog) append(added listing) {
	if len(l.indexes[added.peer]) == 0 {
		l.peers = append(l.peers, added.peer)
	}
	l.indexes[added.peer] = append(l.indexes[added.peer], len(l.listings))
	l.listings = append(l.listings, added)
}

// lastBefore returns the index of the last listing of a peer before a position,
// or -1 if there is none.
func (l *listingLog) lastBefore(peer string, position int) int {
	indexes := l.indexes[peer]
	for i := len(indexes) - 1; i >= 0; i-- {
		if indexes[i] < position {
			return indexes[i]
		}
	}
	return -1
}

// positionOfVersion returns the position after a version. Discovery may restart
// its version numbers, so the last listing with exactly this version counts. If
// there is none, the lower versions since the last restart of the numbers count.
func (l *listingLog) positionOfVersion(version int64) int {
	for i := len(l.listings) - 1; i >= 0; i-- {
		if l.listings[i].version == version {
			return i + 1
		}
	}
	position := len(l.listings)
	for position > 0 && l.listings[position-1].version > version {
		if position > 1 && l.listings[position-2].version > l.listings[position-1].version {
			return 0 // the version precedes the last restart of the numbers, so its position is unknown
		}
		position--
	}
	return position
}

// positionAt returns the position after the last listing up to an instant.
func (l *listingLog) positionAt(at time.Duration) int {
	position := len(l.listings)
	for position > 0 && l.listings[position-1].at > at {
		position--
	}
	return position
}
