package stage

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

// stageCase is a fault with the signs, in the nodes' log or in the tally, that it affected the stages of a call.
type stageCase struct {
	name        string
	fault       fault.Fault
	signs       map[string]string // sign by stage
	extraFaults []fault.Fault     // played together with fault, for longFault
}

// allPeers are all of the world's peers; somePeers are some that serve much of the load.
var (
	allPeers  = []string{"p01", "p02", "p03", "p04", "p05", "p06", "p07"}
	somePeers = []string{"p02", "p03", "p06"}
	// clients are the world's clients.
	clients = []string{"fernley-motors-tamworth", "fernley-motors-derby", "ashby-dental-tamworth", "ashby-dental-derby",
		"trentside-models-tamworth", "trentside-models-derby"}
)

// longFault exceeds the total time of all attempts of one request to discovery.
const longFault = figure.Span(12 * time.Second)

const ended, left = "upstream group watch ended", "out of the table"

var stageCases = []stageCase{
	{"silent after the last byte", fault.Fault{Kind: "silent", Share: 0.5, Peers: somePeers}, map[string]string{"relay": "try-timeout"}, nil},
	{"connections fall silent", fault.Fault{Kind: "hushing", Share: 0.5, Peers: somePeers}, map[string]string{"relay": "reason=called-off"}, nil},
	{"slow at every byte", fault.Fault{Kind: "slow", Factor: 30, Peers: somePeers}, map[string]string{"relay": "try-timeout", "route": left}, nil},
	{"stands still", fault.Fault{Kind: "stall", Peers: somePeers}, map[string]string{"relay": "try-timeout", "route": left}, nil},
	{"refused", fault.Fault{Kind: "death", Peers: somePeers}, map[string]string{"send": left, "probe": left, "relay": "reason=reset"}, nil},
	{"filtered", fault.Fault{Kind: "vanish", Peers: somePeers}, map[string]string{"send": left, "probe": left}, nil},
	{"reset under requests", fault.Fault{Kind: "break", Share: 0.5, Peers: somePeers}, map[string]string{"relay": "reason=reset"}, nil},
	{"answers 500", fault.Fault{Kind: "fail", Share: 0.9, Peers: somePeers}, map[string]string{"relay": left, "route": left}, nil},
	{"turns away", fault.Fault{Kind: "turnaway", Share: 0.9, Peers: somePeers}, map[string]string{"relay": "+tries"}, nil},
	{"spoilt answers", fault.Fault{Kind: "spoil", Share: 0.5, Peers: somePeers}, map[string]string{"relay": "reason=spoilt"}, nil},
	{"surplus behind answers", fault.Fault{Kind: "surplus", Share: 0.5, Peers: somePeers}, map[string]string{"relay": "reason=surplus"}, nil},
	{"all gone at once", fault.Fault{Kind: "death", Peers: allPeers}, map[string]string{"admit": "+refused", "send": left}, nil},
	{"drained, back cold", fault.Fault{Kind: "drain", Peers: somePeers, For: figure.Span(10 * time.Second), TurnAway: figure.Span(9 * time.Second),
		Back: figure.Span(500 * time.Millisecond), Pause: figure.Span(200 * time.Millisecond)},
		map[string]string{"route": left, "list": left, "send": "reason=idle"}, nil},
	{"many cold in a rush", fault.Fault{Kind: "death", Peers: allPeers[:5], For: figure.Span(500 * time.Millisecond)},
		map[string]string{"admit": "+refused", "route": left},
		[]fault.Fault{{Kind: "surge", Factor: 3, Clients: clients}}},
	{"a zone cut off", fault.Fault{Kind: "cut", Zone: "derby"}, map[string]string{"send": left, "probe": left}, nil},
	{"discovery refuses connections", fault.Fault{Kind: "discovery-down", For: longFault}, map[string]string{"list": ended}, nil},
	{"discovery silent", fault.Fault{Kind: "discovery-stall", Share: 1, For: longFault}, map[string]string{"list": ended}, nil},
	{"discovery breaks", fault.Fault{Kind: "discovery-break", Share: 1, For: longFault}, map[string]string{"list": ended}, nil},
	{"discovery says 503", fault.Fault{Kind: "discovery-refuse", Share: 1, For: longFault}, map[string]string{"list": ended}, nil},
	{"lists cannot be read", fault.Fault{Kind: "discovery-garble", Share: 1, For: longFault}, map[string]string{"list": ended}, nil},
	{"discovery moves", fault.Fault{Kind: "move", Pause: figure.Span(300 * time.Millisecond)}, map[string]string{"list": "msg=reloaded"}, nil},
	{"a rush of clients", fault.Fault{Kind: "surge", Factor: 12, Clients: clients}, map[string]string{"take in": "+asked", "admit": "+refused"}, nil},
	{"clients leave early", fault.Fault{Kind: "leave", Share: 0.5, Clients: clients}, map[string]string{"take in": "+left", "relay": "reason=client-closed"}, nil},
	{"clients fall silent", fault.Fault{Kind: "mute", Share: 0.6}, map[string]string{"relay": "side=client"}, nil},
}

// nodeChanges are the lifecycle changes of nodes that are combined with each fault, by name. The empty name is no
// change.
var nodeChanges = map[string]fault.Fault{
	"":       {},
	"start":  {Kind: "node-kill", At: figure.Span(2500 * time.Millisecond), For: figure.Span(500 * time.Millisecond), Nodes: []string{"n1"}},
	"reload": {Kind: "node-reload", At: figure.Span(2500 * time.Millisecond), Nodes: []string{"n1", "n2"}},
	"end":    {Kind: "node-restart", At: figure.Span(2500 * time.Millisecond), For: figure.Span(2500 * time.Millisecond), Nodes: []string{"n1"}},
	"pause":  {Kind: "pause", At: figure.Span(2500 * time.Millisecond), For: figure.Span(1500 * time.Millisecond), Nodes: []string{"n2"}},
}

// TestFaultsAgainstStages plays each fault alone and with each lifecycle change of a node. The judge of the lab checks
// all rules at the end of each run. Without a lifecycle change, the fault must affect the listed stages of a call;
// docs/FAILURES.md has the table.
func TestFaultsAgainstStages(t *testing.T) {
	if racing {
		t.Skip("too many timers for the race detector; .ci/run plays them without it")
	}
	base, err := fault.Load("../testdata/operators-maintenance.toml")
	if err != nil {
		t.Fatal(err)
	}
	base.Length, base.Faults = figure.Span(15*time.Second), nil
	calm := play(t, base.Clone(), Options{}).Tally
	for _, c := range stageCases {
		for changeName, change := range nodeChanges {
			t.Run(c.name+"/"+changeName, func(t *testing.T) {
				t.Parallel()
				s := base.Clone()
				f := c.fault
				f.At = figure.Span(2 * time.Second)
				if f.For == 0 && f.Kind != "mute" && f.Kind != "move" {
					f.For = figure.Span(3 * time.Second)
				}
				s.Faults = []fault.Fault{f}
				for _, m := range c.extraFaults {
					m.At, m.For = f.At, longFault
					s.Faults = append(s.Faults, m)
				}
				if changeName != "" {
					s.Faults = append(s.Faults, change)
				}
				var log lockedBuffer
				r := play(t, s, Options{Log: &log})
				for _, v := range r.Violations {
					t.Error(v)
				}
				if changeName != "" {
					return // with a lifecycle change, the affected stages differ
				}
				for stage, sign := range c.signs {
					if !signSeen(sign, log.String(), calm, r.Tally) {
						t.Errorf("stage %s: no sign %q of the fault: tally %+v, %+v without the fault", stage, sign, r.Tally, calm)
					}
				}
			})
		}
	}
}

// lockedBuffer is a buffer to which several nodes write their logs.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lockedBuffer) String() string { return l.text.String() }

// signSeen reports whether a sign is present: a sign that begins with a plus in the tally, any other in the log.
func signSeen(sign, log string, calm, now Tally) bool {
	switch sign {
	case "+tries":
		return now.Tries > calm.Tries+calm.Tries/40
	case "+refused":
		return now.Refused > calm.Refused+calm.Asked/20
	case "+asked":
		return now.Asked > 2*calm.Asked
	case "+left":
		return now.Left > 2*calm.Left
	}
	return strings.Contains(log, sign)
}

// TestPartitionsAreReported verifies that the observers receive which nodes a partition separates from discovery, and
// when it ends.
func TestPartitionsAreReported(t *testing.T) {
	s, err := fault.Load("../testdata/operators-maintenance.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Length = figure.Span(3 * time.Second)
	s.Faults = []fault.Fault{{Kind: "cut", Zone: "derby", At: figure.Span(time.Second), For: figure.Span(time.Second)}}
	var trace bytes.Buffer
	play(t, s, Options{Trace: &trace})
	var reported []string
	for line := range strings.Lines(trace.String()) {
		if _, fact, ok := strings.Cut(line, " fact reach "); ok {
			reported = append(reported, strings.TrimSpace(fact))
		}
	}
	want := `"n1" to registry:8500: false "n1" to registry-spare:8500: false "n1" to registry:8500: true "n1" to registry-spare:8500: true`
	if got := strings.Join(reported, " "); got != want {
		t.Errorf("reported reachability %s, want the partition and its end", got)
	}
}
