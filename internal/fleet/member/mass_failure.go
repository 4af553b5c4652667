package member

import (
	"slices"
	"time"
)

// SWIM probes one member after the other, and more slowly the fewer answer, so that after the loss of most members the
// rest need long to find out. Whoever learns of a silent member therefore probes a sample of the others at once, and
// where several of those are silent, too, it probes all of them. A member is dead that neither this process nor any of
// the witnesses that it asks can reach. The rules stand here; massFailureDetector carries them out.

const (
	// recentFailureWindow is how long ago a member may have been found silent to be a reason to probe a sample.
	recentFailureWindow = 3 * time.Second
	// sampleSize is how many members a sample has.
	sampleSize = 8
	// sampleInterval is the least time between two samples.
	sampleInterval = time.Second
	// minSilent is how many members of a sample have to be silent for a mass failure.
	minSilent = 2
	// minSilentDivisor is which part of a sample has to be silent for one: one in silentPart. With one packet in ten lost
	// that happens by chance now and then, and probing all changes nothing.
	minSilentDivisor = 4
	// maxWitnesses is how many members are asked for a witness report. One that reached a member is enough for it to
	// stay.
	maxWitnesses = 3
)

// HasRecentFailure reports whether any member has fallen silent just now.
func (v *View) HasRecentFailure(now time.Duration) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool {
		return (m.State == Suspect || m.State == Dead) && now-m.Since <= recentFailureWindow
	})
}

// IsMassFailure reports whether so many members of a sample are silent that all should be probed.
func IsMassFailure(silent, sampled int) bool {
	return silent >= minSilent && silent*minSilentDivisor >= sampled
}

// ConfirmedFailures returns the members that nobody reached: they are silent here and in each of the witness reports,
// which list silent members and of which there has to be one. A process that is cut off from many members, and not
// from all, learns from the reports that they are alive.
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
