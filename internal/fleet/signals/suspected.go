package signals

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a server that others have failed with.
type suspect struct {
	id     uint64
	weight float64 // of the witnesses
}

// Suspected returns the servers of a group that this node should avoid, sorted: enough nodes have failed with them
// since anybody had an answer from them, as far as this one knows, and it has not failed with them itself. With those
// its own decisions go on, and others learn of that.
func (d *Detector) Suspected(now time.Duration, group []Server) []uint64 {
	startedAt := make(map[uint64]int64, len(group))
	for _, server := range group {
		startedAt[server.ID] = server.StartedAt
	}
	var suspects []suspect
	for id, weight := range d.weights(d.credibleReports(now, startedAt, len(group))) {
		own := d.own[id]
		if own != nil && own.startedAt == startedAt[id] && own.failed() && now-own.at <= maxAge {
			continue
		}
		if weight >= float64(d.witnesses)-weightTolerance || d.mutant("one-witness") {
			suspects = append(suspects, suspect{id, weight})
		}
	}
	slices.SortFunc(suspects, func(x, y suspect) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.id, y.id))
	})
	limit := int(maxSuspectedPart * float64(len(group)))
	var ids []uint64
	for _, s := range suspects[:min(len(suspects), limit)] {
		ids = append(ids, s.id)
	}
	slices.Sort(ids)
	return ids
}

// credibleReports returns what nodes report of a group's servers and is not old, without the nodes that have failed
// with too many of them. The servers are given by when they started.
func (d *Detector) credibleReports(
	now time.Duration, startedAt map[uint64]int64, groupSize int,
) (credible []map[uint64]observed) {
	for _, report := range d.reports {
		counting := map[uint64]observed{}
		failed := 0
		for id, o := range report.servers {
			if at, listed := startedAt[id]; !listed || at != o.startedAt || now-o.at > maxAge {
				continue
			}
			counting[id] = o
			if o.condition != Recovered {
				failed++
			}
		}
		if float64(failed) <= max(maxFailedPart*float64(groupSize), 1) {
			credible = append(credible, counting)
		}
	}
	return credible
}

// weights sums up how much others have failed with each server since anybody had an answer from it.
func (d *Detector) weights(reports []map[uint64]observed) map[uint64]float64 {
	recoveredAt := map[uint64]time.Duration{}
	for _, report := range reports {
		for id, o := range report {
			if o.condition == Recovered {
				recoveredAt[id] = max(recoveredAt[id], o.at)
			}
		}
	}
	weights := map[uint64]float64{}
	for _, report := range reports {
		for id, o := range report {
			since := recoveredAt[id]
			if own := d.own[id]; own != nil && own.startedAt == o.startedAt {
				since = max(since, own.answeredAt)
			}
			if o.condition != Recovered && o.at > since {
				weights[id] += o.condition.weight()
			}
		}
	}
	return weights
}
