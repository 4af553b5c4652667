package callstore

// State is the state of a call in the ledger.
type State string

// The states of a call. The ledger has no entry for a call that was never begun or that has expired.
const (
	Free     State = "free"     // begun, but certainly not run: the next owner that begins it may run it
	Running  State = "running"  // its owner has permission to send it, so it may have run
	Answered State = "answered" // run, and its outcome is stored
	Unknown  State = "unknown"  // it may have run, and no owner is allowed to run it again
)

// Outcome is the final response of a call.
type Outcome struct {
	Status      int                 `json:"status"`
	Header      map[string][]string `json:"header,omitempty"`
	Body        []byte              `json:"body,omitempty"`
	BodyOmitted bool                `json:"long,omitempty"` // the body was too large to store
}

// Owner identifies one attempt of one process to run a call. Only the owner of a running call may send that call. No
// two attempts have the same owner.
type Owner struct {
	Name        string `json:"name"` // node name
	Incarnation string `json:"life"`
	Call        uint64 `json:"call"` // number of the attempt within the incarnation
}

func (o Owner) process() process {
	return process{Name: o.Name, Incarnation: o.Incarnation}
}

// process is one incarnation of a node.
type process struct {
	Name        string `json:"Name"`
	Incarnation string `json:"Life"`
}
