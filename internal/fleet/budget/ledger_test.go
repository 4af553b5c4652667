package budget

import (
	"testing"

	"github.com/hashicorp/raft"
)

// The ledger assigns each home one seat and keeps it, accepts a stored seat only if no other home has it, and returns
// an error for a malformed entry.
func TestSeatAssignment(t *testing.T) {
	l := newLedger()
	for _, c := range []struct {
		command string
		seat    any
	}{
		{`{"home":"a","seats":3}`, 1}, {`{"home":"b","seats":3}`, 2}, {`{"home":"a","seats":3}`, 1},
		{`{"home":"c","seat":2,"seats":3}`, 0}, {`{"home":"c","seats":3}`, 3}, {`{"home":"d","seats":3}`, 0},
	} {
		if got := l.Apply(&raft.Log{Data: []byte(`{"seat":` + c.command + `}`)}); got != c.seat {
			t.Errorf("%s: got seat %v, which is wrong", c.command, got)
		}
	}
	for _, text := range []string{`{}`, `{`, `{"seat":{}}`} {
		if _, failed := l.Apply(&raft.Log{Data: []byte(text)}).(error); !failed {
			t.Errorf("malformed entry %s: no error", text)
		}
	}
}
