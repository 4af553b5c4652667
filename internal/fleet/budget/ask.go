package budget

import (
	"encoding/json"
	"net"
	"time"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/record"
)

// asker asks the leader, whoever that is, over one stream at a time.
type asker struct {
	s    *Service
	who  string // is asked next; "": not known
	turn int    // of the voters, where nobody knows
	conn net.Conn
	to   string // whom the stream goes to
	in   *json.Decoder
	out  *json.Encoder
}

// ask asks for parts until it is told to stop, and then gives all of them up.
func (s *Service) ask(stop chan struct{}) {
	a := &asker{s: s}
	defer a.hangUp()
	each := time.NewTicker(s.c.Terms.Lease / asksPerLease)
	defer each.Stop()
	s.mu.Lock()
	h := s.holder
	s.mu.Unlock()
	for h != nil {
		a.once(h, false)
		select {
		case <-stop:
			a.once(h, true) // if nobody hears it, the parts end by themselves
			return
		case <-each.C:
		}
	}
}

// once asks once. An answer that does not come in time is as good as lost.
func (a *asker) once(h *Holder, over bool) {
	s := a.s
	terms := s.describe()
	s.mu.Lock()
	began := record.Now()
	q := asked{Ask: h.Ask(s.now(), mutant.WallClock()), Home: s.home, Seat: s.seat, Terms: terms}
	if q.Over = over; over {
		q.Have, q.Counts, q.Using = nil, h.back(), h.using()
	}
	s.mu.Unlock()
	s.count.asks.Add(1)
	r, err := a.exchange(q, over)
	a.tell(q, r, began, err)
	switch {
	case err != nil:
		s.count.lost.Add(1)
		a.hangUp()
		a.who = ""
		a.turn++
	case r.Refuse != "":
		s.count.refused.Add(1)
		if r.Leader != a.who {
			a.who = r.Leader
		} else if r.Leader == "" {
			a.turn++
		}
	}
	if err != nil || over {
		return
	}
	s.sit(r.Seat, terms)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == h && h.Take(s.now(), r.Answer) {
		s.count.answered.Add(1)
	}
	s.record()
}

// Counted is an ask for a stock of a count in the record of its holder.
type Counted struct {
	Budget string     `json:"budget"`
	Began  int64      `json:"began"` // as record.Line has times
	Ask    CountAsk   `json:"ask"`
	Got    CountGrant `json:"got"`
	Known  bool       `json:"known"` // an answer came, whether or not it gave something
}

// tell records asks for stocks, for whoever holds the ledger against a model.
func (a *asker) tell(q asked, r answered, began time.Duration, err error) {
	if a.s.c.Record == nil {
		return
	}
	for name, ask := range q.Counts {
		got, known := r.Counts[name]
		a.s.c.Record.Write("counted", Counted{name, int64(began), ask, got, err == nil && known})
	}
}

// exchange sends an ask to whoever keeps the book, and waits for the answer.
func (a *asker) exchange(q asked, last bool) (r answered, err error) {
	who := a.who
	if who == "" {
		voters := a.s.part.Voters().Names
		if len(voters) == 0 {
			return r, errNobody
		}
		who = voters[a.turn%len(voters)]
	}
	if who == a.s.c.Name {
		return a.s.answer(q), nil
	}
	patience := a.s.c.Terms.Lease / 4
	if last {
		patience /= 5
	}
	if a.conn == nil || a.to != who {
		a.hangUp()
		if a.conn, err = a.s.c.Dial(who, BookChannel, patience); err != nil {
			return r, err
		}
		a.to, a.in, a.out = who, json.NewDecoder(a.conn), json.NewEncoder(a.conn)
	}
	a.conn.SetDeadline(time.Now().Add(patience))
	if err = a.out.Encode(q); err != nil {
		return r, err
	}
	err = a.in.Decode(&r)
	return r, err
}

func (a *asker) hangUp() {
	if a.conn != nil {
		a.conn.Close()
		a.conn = nil
	}
}
