package callstore

// State is how a call stands.
type State string

// The states. A call that nobody has begun, or that has expired, is not in the ledger.
const (
	Free     State = "free"     // it was begun, and surely did not run: whoever asks next may run it
	Running  State = "running"  // its owner may send it: it may have run
	Answered State = "answered" // it has run, and its outcome is stored
	Unknown  State = "unknown"  // it may have run; nobody will ever run it again
)

// Outcome is a final answer.
type Outcome struct {
	Status      int                 `json:"status"`
	Header      map[string][]string `json:"header,omitempty"`
	Body        []byte              `json:"body,omitempty"`
	BodyOmitted bool                `json:"long,omitempty"` // the body was too long to be stored
}

// Owner is who may send a call: one attempt of one process to run it. No two attempts have the same owner.
type Owner struct {
	Name        string `json:"name"` // of the node
	Incarnation string `json:"life"`
	Call        uint64 `json:"call"` // number within the incarnation
}

func (o Owner) process() process {
	return process{Name: o.Name, Incarnation: o.Incarnation}
}

// process is one incarnation of a node.
type process struct {
	Name        string `json:"Name"`
	Incarnation string `json:"Life"`
}
