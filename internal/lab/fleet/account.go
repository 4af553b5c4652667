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

// OperatorCall is one call of an operator's, and what was answered; "": nobody did.
type OperatorCall struct {
	At     time.Duration // when the answer was in, by the monotonic clock
	Node   string
	Line   string
	Answer string
}

// What happens to a node's processes, and to the network between them. Others are for people alone.
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

// Event is one thing that was done to a process, or that it was seen to do, by the machine's monotonic clock.
type Event struct {
	At    time.Duration     `json:"at"`
	Node  string            `json:"node,omitempty"`
	What  string            `json:"what"`
	PID   int               `json:"pid,omitempty"`
	From  []string          `json:"from,omitempty"` // of cuts and impairments
	To    []string          `json:"to,omitempty"`   // likewise
	Ails  *fault.Impairment `json:"ails,omitempty"`
	Ended bool              `json:"ended,omitempty"` // of a cut or an impairment: its end
	Wrong time.Duration     `json:"wrong,omitempty"` // by which a node's wall clock is wrong from its next start on
	Share float64           `json:"share,omitempty"` // of the amounts of budgets that all fleet files say from now on
}

// Account is all that is known of a run from outside, and what its processes recorded.
type Account struct {
	Names         []string
	Begin         time.Duration // when clients were sent, by the monotonic clock
	End           time.Duration
	Events        []Event
	Lines         []record.Line  // of all processes, in order
	Arrivals      []Arrival      // attempts that came to peers, in order
	NotRun        []string       // attempts that peers answered without having run them
	Peers         []PeerEvent    // what happened to peers and others of the world, in order
	Falls         int            // cold peers that were pushed over
	ClientCalls   []ClientCall   // of the scenario's own clients
	OperatorCalls []OperatorCall // by operators
	ProbeCounts   []ProbeCount   // how many probes had come to all peers
	Traffic       Traffic
	CPU           map[string]time.Duration
	RSS           map[string]int64
	Broken        []string // what the run itself found: crashes, refusals, rules of clients and peers
	RunError      error
	WallOffset    time.Duration // the wall clock less the monotonic one
	Tally         live.Tally
	Periods       int // of the wall clock, of countPeriod each, that the run was in
}

// Arrival is an attempt that came to a peer, or that one is done with.
type Arrival struct {
	At   time.Duration // by the monotonic clock
	Peer string
	Call string
	Done bool // the peer is done with it
}

// PeerEvent is one thing that happened to a peer, or to another part of the world.
type PeerEvent struct {
	At   time.Duration // by the monotonic clock
	Who  string
	What string
}

// ProbeCount is how many probes had come to peers at some time.
type ProbeCount struct {
	At     time.Duration // by the monotonic clock
	Probes int
}

// String is for people.
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
	// recordSuffix ends the names of the processes' records.
	recordSuffix = ".jsonl"
	// maxRecordLine bounds a line of a record.
	maxRecordLine = 4 << 20
)

// readRecords reads what the processes recorded, in order.
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

// readRecord reads the record of one node. Lines of a stranger that uses its name have a mark behind it.
func readRecord(path string) ([]record.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	ofStranger := strings.HasSuffix(path, strangerMark+recordSuffix)
	var all []record.Line
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxRecordLine)
	for scanner.Scan() {
		var line record.Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, err
		}
		if ofStranger {
			line.Node += strangerMark
		}
		all = append(all, line)
	}
	return all, scanner.Err()
}
