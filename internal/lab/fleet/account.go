package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/live"
)

// OperatorCall is one command that an operator sent to a node, with the answer; Answer is empty if none arrived.
type OperatorCall struct {
	At     time.Duration // monotonic time at which the answer arrived
	Node   string
	Line   string
	Answer string
}

// The events of processes, and of the network between them, that the judges evaluate. All other events only appear in
// the output.
const (
	eventStarted         = "started"
	eventServes          = "serves"
	eventTerminated      = "told SIGTERM"
	eventEnded           = "ended"
	eventKilled          = "killed"
	eventStopped         = "stopped"
	eventResumed         = "goes on"
	eventStrangerStarted = "twin"
	eventStrangerKilled  = "twin killed"
	eventCut             = "cut"
	eventCutHealed       = "cut healed"
	eventImpaired        = "ail"
	eventImpairmentOver  = "ail over"
	eventAmounts         = "amounts"
	eventVoters          = "keepers"
	eventClockWrong      = "clock wrong"
)

// Event is one thing that the rig did to a process or to the network, or that it observed of a process.
type Event struct {
	At    time.Duration     `json:"at"` // monotonic time
	Node  string            `json:"node,omitempty"`
	What  string            `json:"what"`
	PID   int               `json:"pid,omitempty"`
	From  []string          `json:"from,omitempty"` // senders that a cut or an impairment affects
	To    []string          `json:"to,omitempty"`   // receivers that it affects
	Ails  *fault.Impairment `json:"ails,omitempty"`
	Ended bool              `json:"ended,omitempty"` // the cut or the impairment ends
	Wrong time.Duration     `json:"wrong,omitempty"` // offset of the node's wall clock from its next start on
	Share float64           `json:"share,omitempty"` // fraction of the budget amounts that all fleet files set from now on
}

// Account is everything that was observed of a run from outside, together with the records of its processes.
type Account struct {
	Names         []string
	Begin         time.Duration // monotonic time at which the clients started
	End           time.Duration
	Events        []Event
	Lines         []record.Line  // records of all processes, ordered by time
	Arrivals      []Arrival      // attempts at peers, ordered by time
	NotRun        []string       // IDs of the attempts that peers answered without running them
	Peers         []PeerEvent    // events of peers and of other parts of the world, ordered by time
	Falls         int            // the number of cold peers that failed under load
	ClientCalls   []ClientCall   // made by the scenario's own clients
	CopiedCalls   []CopiedCall   // made by the scenario's copying clients
	OperatorCalls []OperatorCall // made by operators
	ProbeCounts   []ProbeCount   // cumulative counts of the health checks at all peers
	Traffic       Traffic
	CPU           map[string]time.Duration
	RSS           map[string]int64
	Broken        []string // violations that the run itself found: crashes, refusals, broken rules of clients and peers
	RunError      error
	WallOffset    time.Duration // wall clock minus monotonic clock
	Tally         live.Tally
	Periods       int // the number of wall clock periods of length countPeriod that the run touched
}

// Arrival is the arrival of an attempt at a peer, or its end there.
type Arrival struct {
	At   time.Duration // monotonic time
	Peer string
	Call string
	Done bool // the peer has finished the attempt
}

// PeerEvent is one event of a peer or of another part of the world.
type PeerEvent struct {
	At   time.Duration // monotonic time
	Who  string
	What string
}

// ProbeCount is the number of health checks that had arrived at all peers by a point in time.
type ProbeCount struct {
	At     time.Duration // monotonic time
	Probes int
}

// String returns the event as the command's output and the page show it.
func (e Event) String() string {
	switch {
	case e.What == eventClockWrong:
		return fmt.Sprintf("%s has a wall clock that is wrong by %v", e.Node, e.Wrong)
	case e.Node != "":
		return e.Node + " " + e.What
	case e.What == eventVoters:
		return "the voters are to be " + strings.Join(e.To, " ")
	case e.Share != 0:
		return fmt.Sprintf("%s: %.2f of what they were", e.What, e.Share)
	case e.Ails != nil && !e.Ended:
		return fmt.Sprintf("%s %+v between %s and %s", e.What, *e.Ails, strings.Join(e.From, " "), strings.Join(e.To, " "))
	}
	return fmt.Sprintf("%s from %s to %s", e.What, strings.Join(e.From, " "), strings.Join(e.To, " "))
}

const (
	// recordSuffix is the file name suffix of the processes' records.
	recordSuffix = ".jsonl"
	// maxRecordLine is the maximum length of a record's line, in bytes.
	maxRecordLine = 4 << 20
)

// readRecords reads the records of all processes in a directory and returns their lines ordered by time.
func readRecords(directory string) ([]record.Line, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*"+recordSuffix))
	if err != nil {
		return nil, err
	}
	var all []record.Line
	for _, path := range paths {
		lines, err := readRecord(path)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", filepath.Base(path), err)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(x, y record.Line) int { return int(x.At - y.At) })
	return all, nil
}

// readRecord reads one record file. In the record of a stranger, a process that uses a node's name, it appends
// strangerMark to the node's name in each line.
func readRecord(path string) ([]record.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	isStranger := strings.HasSuffix(path, strangerMark+recordSuffix)
	var all []record.Line
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxRecordLine)
	for scanner.Scan() {
		var line record.Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, err
		}
		if isStranger {
			line.Node += strangerMark
		}
		all = append(all, line)
	}
	return all, scanner.Err()
}
