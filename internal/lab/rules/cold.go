package rules

import "time"

// start is a peer's time since it started cold.
type start struct {
	at       time.Duration
	loads    []load // of the last Fall
	reported bool
}

// load is one attempt that came to a peer.
type load struct {
	at             time.Duration
	work, capacity float64
	knew           bool // its node had been told of the start
}

// knewShare is the part of a load that must come from nodes that knew.
const knewShare = 2.0 / 3

// work counts an attempt that came to a peer.
func (j *Judge) work(peer, call string, work, capacity float64) {
	t := j.met(peer, call)
	s := j.starts[peer]
	if s == nil || s.reported || j.now > s.at+j.c.Contract.Cold.D() || j.c.Contract.Overload <= 0 {
		return
	}
	knew := t != nil && t.start0 > 0 && t.start0 >= s.at-instant
	s.loads = append(s.loads, load{j.now, work, capacity, knew})
	fall := j.c.Contract.Fall.D()
	for s.loads[0].at <= j.now-fall {
		s.loads = s.loads[1:]
	}
	sum, known := 0.0, 0.0
	for _, l := range s.loads {
		sum += l.work
		if l.knew {
			known += l.work
		}
	}
	budget := j.c.Contract.Overload*s.capacity(j.now-fall)*fall.Seconds() + j.dearest
	if sum > budget && known >= knewShare*sum {
		s.reported = true
		const text = "peer %s, %v after its start: %.3f s of work in %v, %.3f s allowed, %.0f%% knowingly"
		j.breaks(Cold, j.now, text, peer, j.now-s.at, sum, fall, budget, 100*known/sum)
	}
}

// capacity is the mean over the window that began at an instant. Before the
// first load in it, capacity counts as it was then.
func (s *start) capacity(from time.Duration) float64 {
	now, sum := from, 0.0
	last := s.loads[0].capacity
	for _, l := range s.loads {
		sum += (last + l.capacity) / 2 * (l.at - now).Seconds()
		now, last = l.at, l.capacity
	}
	if now == from {
		return last
	}
	return sum / (now - from).Seconds()
}

// met finds the try that came to a peer, by its call; nil: it is not known.
func (j *Judge) met(peer, call string) *try {
	some := j.sent[call]
	for i, t := range some {
		if t.conn.name == peer {
			if some = append(some[:i:i], some[i+1:]...); len(some) == 0 {
				delete(j.sent, call)
			} else {
				j.sent[call] = some
			}
			return t
		}
	}
	return nil
}
