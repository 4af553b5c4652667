package member

import (
	"slices"
	"time"
)

// SWIM probes one member after another, and more slowly the fewer members answer. After the loss of most members, the
// remaining ones therefore need a long time to detect all failures. To detect them sooner, a process that learns of a
// silent member probes a sample of the other members at once. If several members of the sample are silent, it probes
// all members. A member is dead if neither this process nor any of the witnesses that it asks can reach the member.
// This file contains the rules, and massFailureDetector applies them.

const (
	// recentFailureWindow is the time after a member became suspect or dead during which samples are probed.
	recentFailureWindow = 3 * time.Second
	// sampleSize is the number of members in a sample.
	sampleSize = 8
	// sampleInterval is the minimum time between two samples.
	sampleInterval = time.Second
	// minSilent is the minimum number of silent members of a sample that indicates a mass failure.
	minSilent = 2
	// minSilentDivisor is the divisor of the minimum fraction of silent members: at least 1/minSilentDivisor of a sample
	// has to be silent. At a loss of one packet in ten, this occasionally happens by chance; probing all members then
	// changes nothing.
	minSilentDivisor = 4
	// maxWitnesses is the maximum number of members that are asked for a witness report. A member that one witness reached
	// is not declared dead.
	maxWitnesses = 3
)

// HasRecentFailure reports whether a member became suspect or dead at most recentFailureWindow before now, a time of
// the table.
func (v *View) HasRecentFailure(now time.Duration) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool {
		return (m.State == Suspect || m.State == Dead) && now-m.Since <= recentFailureWindow
	})
}

// IsMassFailure reports whether enough members of a sample are silent that all members should be probed.
func IsMassFailure(silent, sampled int) bool {
	return silent >= minSilent && silent*minSilentDivisor >= sampled
}

// ConfirmedFailures returns the members that no process reached: they are silent for this process and listed as silent
// in each witness report. Without any report there are none. A process that is cut off from many members, but not from
// all, learns from the reports that those members are alive.
func ConfirmedFailures(silent []string, reports [][]string) []string {
	if len(reports) == 0 {
		return nil
	}
	var failed []string
	for _, name := range silent {
		reached := slices.ContainsFunc(reports, func(report []string) bool { return !slices.Contains(report, name) })
		if !reached {
			failed = append(failed, name)
		}
	}
	return failed
}
