package fleet

import (
	"math"
	"slices"
	"time"

	"olivebridge/internal/fleet/member"
)

const (
	// agreeTimeout is the maximum time until all views agree after the last event: the documented 10 s for healing a
	// split, which takes longest, and 2 s because the machine may run several rigs at once.
	agreeTimeout = 12 * time.Second
	// removalTimeout is the maximum time for which a killed process may stay in a view: the documented 6 s, and 1 s
	// because the machine may be busy.
	removalTimeout = 7 * time.Second
	// briefStop is the maximum duration of a stop after which a process must not have been declared dead.
	briefStop = time.Second
	// undisturbedTime is the time without any event that has to pass before a wrong view counts as a violation.
	undisturbedTime = 15 * time.Second
	// leaveQuietTime is the time without a cut, an impairment or a stop before a planned end after which all processes
	// have to know of the leave.
	leaveQuietTime = 4 * time.Second
	// inFlightTime is the maximum time from a cut until a message sent before it is received, since a process on a busy
	// machine may read late. If the rig fails to make a cut, messages arrive for the whole time of the cut and exceed this
	// limit.
	inFlightTime = 1500 * time.Millisecond
	// massCheckTime is the maximum duration of a check of many silent members: two rounds, and a margin for a busy
	// machine.
	massCheckTime = 4 * time.Second
	// stopGrace is the time after a stop in which a process may still finish a line of its record.
	stopGrace = 100 * time.Millisecond
)

// Rules returns the names of the rules that a run of the members scenario is checked against.
func Rules() []string {
	return []string{"agree", "false", "told", "life", "twice", "order", "kept", "rig", "world"}
}

// Members is the result of a run of the members scenario.
type Members struct {
	Nodes       int         `json:"nodes"`
	Seconds     float64     `json:"seconds"`
	Agree       Times       `json:"agree_s"`  // time from a change until all views agree
	Detect      Times       `json:"detect_s"` // time from a kill until a view shows it
	Changes     int         `json:"changes"`
	Unsettled   int         `json:"unsettled"`    // changes followed by another before all views agreed
	BriefDeaths int         `json:"brief_deaths"` // processes declared dead after a stop of at most 1 s
	FalseDeaths int         `json:"false_deaths"`
	Flaps       int         `json:"flaps"` // suspicions of healthy processes
	Bytes       float64     `json:"bytes_s"`
	CPU         float64     `json:"cpu_share"`
	RSS         float64     `json:"rss_mb"`
	Dropped     int64       `json:"dropped"`
	Broken      []Violation `json:"broken"`
}

// Times summarizes a set of durations, in seconds.
type Times struct {
	Count  int     `json:"count"`
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
	all    []time.Duration
}

func (t *Times) add(d time.Duration) { t.all = append(t.all, d) }

func (t *Times) summarize() {
	slices.Sort(t.all)
	t.Count = len(t.all)
	if t.Count > 0 {
		t.Median = t.all[t.Count/2].Seconds()
		t.Worst = t.all[t.Count-1].Seconds()
	}
}

// judge checks the events and the records of a run in the order of time.
type judge struct {
	account *Account
	result  *Members
	report  reporter                   // adds a violation to result
	truth   *timeline                  // actual state of the nodes
	nodes   map[string]*nodeHistory    // by name, including strangers; read through node
	observe func(at time.Duration)     // called before each line of the records; may be nil
	cutAt   map[nodePair]time.Duration // start of the cut between two nodes

	changedAt          time.Duration // time of the last event that changes the correct views; 0 before the first one
	disturbedAt        time.Duration // time of the last cut, impairment or stop, or of the end of one
	impairedAt         time.Duration // time at which an impairment last began or ended
	viewsAgree         bool          // all views have agreed since the last change
	reportedDifference bool          // the difference after the last change was reported
	differedAtChange   bool          // the views did not agree at the time of the change
}

// nodeHistory is the judge's state of one node.
type nodeHistory struct {
	view        *latestView        // of the process that holds the node's name; nil if there is none
	holder      int                // PID of that process; 0 if there is none
	incarnation member.Incarnation // the newest one; valid if hasStarted
	hasStarted  bool

	killed        bool // and not started again since
	killedAt      time.Duration
	killSeenBy    map[string]bool // viewers that saw the death, or were reported for not seeing it
	leftAsPlanned bool            // the last process ended after a planned leave
	endedAt       time.Duration   // time of the last end; 0 if none, or if killed during a leave

	stopped           bool
	stoppedAt         time.Duration
	resumedAt         time.Duration
	wasStoppedBriefly bool          // the last stop was at most briefStop long
	excusedUntil      time.Duration // end of the time after a stop in which its views are not judged
	undisturbedSince  time.Duration // start of the time in which it was not stopped or cut off
	lastEventAt       time.Duration // time of the last event of the node or of the network
	strangerUntil     time.Duration // end of the time in which others may take a killed stranger for it
}

// latestView is the newest view of a process.
type latestView struct {
	pid     int
	view    member.View
	members map[string]member.Member // members of the view, by name
}

func newLatestView(pid int, view member.View) *latestView {
	b := &latestView{pid: pid, view: view, members: make(map[string]member.Member, len(view.Members))}
	for _, m := range view.Members {
		b.members[m.Name] = m
	}
	return b
}

// JudgeMembers checks a run against the rules and measures it.
func JudgeMembers(a *Account) *Members {
	j := newJudge(a)
	j.play()
	j.finish()
	return j.result
}

func newJudge(a *Account) *judge {
	result := &Members{
		Nodes:   len(a.Names),
		Seconds: (a.End - a.Begin).Seconds(),
		Broken:  []Violation{},
	}
	return &judge{
		account: a,
		result:  result,
		report:  newReporter(&result.Broken, a.Begin),
		truth:   &timeline{truth: newTruth(a.Names), events: a.Events},
		nodes:   map[string]*nodeHistory{},
		cutAt:   map[nodePair]time.Duration{},
	}
}

// node returns the history of a node, which it creates at the first call.
func (j *judge) node(name string) *nodeHistory {
	n := j.nodes[name]
	if n == nil {
		n = &nodeHistory{}
		j.nodes[name] = n
	}
	return n
}

// play processes all events and records of the run.
func (j *judge) play() {
	a := j.account
	reportRun(a, j.report)
	checkClocks(a, j.report)
	for _, line := range a.Lines {
		at := time.Duration(line.At)
		if at > a.End {
			break
		}
		j.advance(at)
		if j.observe != nil {
			j.observe(at)
		}
		j.applyRecord(at, line)
	}
	j.advance(a.End)
}

// The number of messages lost by chance may differ from its expected value by five standard deviations, and by
// lossSlack more, since a small expected value makes the deviation small.
const (
	lossDeviations = 5
	lossSlack      = 5
)

// finish computes the figures that no single event or record shows, and checks the number of lost messages.
func (j *judge) finish() {
	result := j.result
	result.Agree.summarize()
	result.Detect.summarize()
	span := (j.account.End - j.account.Begin).Seconds()
	nodes := float64(len(j.account.Names))
	result.Dropped = j.account.Traffic.Dropped
	result.Bytes = float64(j.account.Traffic.Bytes) / span / nodes
	for _, name := range j.account.Names {
		result.CPU += j.account.CPU[name].Seconds() / span / nodes
		result.RSS = max(result.RSS, float64(j.account.RSS[name])/(1<<20))
	}
	traffic := j.account.Traffic
	tolerance := lossDeviations*math.Sqrt(traffic.ExpectedLost) + lossSlack
	if math.Abs(float64(traffic.Lost)-traffic.ExpectedLost) > tolerance {
		j.report("rig", j.account.End, "%.0f messages should be lost by chance, but %d were",
			traffic.ExpectedLost, traffic.Lost)
	}
}
