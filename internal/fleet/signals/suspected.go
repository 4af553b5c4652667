package signals

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a server of which other nodes report failures.
type suspect struct {
	id     uint64
	weight float64 // sum of the weights of the reports
}

// Suspected returns the IDs of the servers of a group that this node should avoid, sorted. Enough other nodes report
// failures of a suspected server since the last answer that this node knows of. Servers of which this node has recently
// observed a failure itself are omitted: its own decisions apply to them, so that it tries them again and reports an
// answer.
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
	limit := int(maxSuspectedFraction * float64(len(group)))
	var ids []uint64
	for _, s := range suspects[:min(len(suspects), limit)] {
		ids = append(ids, s.id)
	}
	slices.Sort(ids)
	return ids
}

// credibleReports returns the reported observations of each node, without those that are old or of servers outside the
// group or of another incarnation. It omits nodes that report failures of too many servers. startedAt has the start
// time of each server of the group, by ID.
func (d *Detector) credibleReports(
	now time.Duration, startedAt map[uint64]int64, groupSize int,
) (credible []map[uint64]observed) {
	for _, report := range d.reports {
		current := map[uint64]observed{}
		failed := 0
		for id, o := range report.servers {
			if at, listed := startedAt[id]; !listed || at != o.startedAt || now-o.at > maxAge {
				continue
			}
			current[id] = o
			if o.condition != Recovered {
				failed++
			}
		}
		if float64(failed) <= max(maxFailedFraction*float64(groupSize), 1) {
			credible = append(credible, current)
		}
	}
	return credible
}

// weights returns, by server ID, the sum of the weights of the failures that other nodes report since the last answer
// of the server to any node.
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
