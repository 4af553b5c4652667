package budget

import (
	"testing"

	"github.com/hashicorp/raft"
)

func TestSeats(t *testing.T) {
	s := newLedger()
	for _, c := range []struct {
		command string
		seat    any
	}{
		{`{"home":"a","seats":3}`, 1}, {`{"home":"b","seats":3}`, 2}, {`{"home":"a","seats":3}`, 1},
		{`{"home":"c","seat":2,"seats":3}`, 0}, {`{"home":"c","seats":3}`, 3}, {`{"home":"d","seats":3}`, 0},
	} {
		if got := s.Apply(&raft.Log{Data: []byte(`{"seat":` + c.command + `}`)}); got != c.seat {
			t.Errorf("%s: %v", c.command, got)
		}
	}
	for _, text := range []string{`{}`, `{`, `{"seat":{}}`} {
		if _, bad := s.Apply(&raft.Log{Data: []byte(text)}).(error); !bad {
			t.Errorf("%s is taken", text)
		}
	}
}
