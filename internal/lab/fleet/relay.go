// Package fleet is the rig for a fleet of processes: it starts the real program many times over, stands between the
// processes, breaks what lies there and what they stand on, and judges from outside what they made of it.
package fleet

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/internal/lab/fault"
)

// fleetPort is where every process listens for the others, each on an address of its own.
const fleetPort = 7946

// overtaken is by how much a packet is late that others are to overtake: several of a member's own intervals.
const overtaken = 60 * time.Millisecond

// Relays stand between the processes: every node has one, whose address is what others are told of the node. A relay
// knows who sends by the address it comes from, so that each ordered pair has a way of its own.
type Relays struct {
	block string // the first three numbers of the processes' own addresses
	front string // and of the relays'
	names []string
	index map[string]int

	mu    sync.RWMutex
	ways  map[pair]*way
	drawn *rand.Rand
	drawm sync.Mutex
	leaks bool // the rig is a mutant: cuts are not made

	all     []*relay
	closed  atomic.Bool
	running sync.WaitGroup
	streams sync.Map // of net.Conn, those that are open
}

type pair struct{ from, to int }

// way is one ordered pair's, as faults have made it.
type way struct {
	cuts  int
	ails  []fault.Ails // each in force
	stats Passed
}

// Passed is what a way has let through and what not.
type Passed struct {
	Packets, Dropped, Doubled, Delayed, Bytes, Streams, Resets int64
	Lost                                                       int64   // of Dropped, by chance
	Due                                                        float64 // how many chance should have taken
}

type relay struct {
	r        *Relays
	to, slot int
	udp      *net.UDPConn
	tcp      *net.TCPListener
	at       netip.AddrPort // of the process behind it
}

// NewRelays opens a relay for each of the names.
func NewRelays(names []string, seed uint64) (*Relays, error) {
	if len(names) == 0 || len(names) > 250/perNode {
		return nil, fmt.Errorf("%d processes, not from 1 to %d", len(names), 250/perNode)
	}
	r := &Relays{names: names, index: map[string]int{}, ways: map[pair]*way{},
		drawn: rand.New(rand.NewPCG(seed, 0x6f6c697665))}
	for i, n := range names {
		r.index[n] = i
	}
	var err error
	for try := range 200 { // rigs that run at one time take different blocks
		block := (os.Getpid() + try*7) % 250
		r.block, r.front = fmt.Sprintf("127.250.%d", block), fmt.Sprintf("127.251.%d", block)
		if err = r.open(); err == nil {
			return r, nil
		}
	}
	return nil, fmt.Errorf("no addresses for relays: %w", err)
}

func (r *Relays) open() error {
	for i := range perNode * len(r.names) {
		at := netip.MustParseAddrPort(r.Front(i))
		tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
		if err != nil {
			r.shut()
			return err
		}
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		if err != nil {
			tcp.Close()
			r.shut()
			return err
		}
		r.all = append(r.all, &relay{r: r, to: r.who(i), slot: i, udp: udp, tcp: tcp, at: netip.MustParseAddrPort(r.Own(i))})
	}
	for _, one := range r.all {
		r.running.Go(one.packets)
		r.running.Go(one.accept)
	}
	return nil
}

func (r *Relays) shut() {
	for _, one := range r.all {
		one.udp.Close()
		one.tcp.Close()
	}
	r.all = nil
}

// perNode is how many places there are for each node: two that it moves between, and one for a stranger.
const perNode = 3

// who is whose a place is; strangers are nobody's, and have numbers beyond the nodes'.
func (r *Relays) who(slot int) int {
	if n := len(r.names); slot < 2*n {
		return slot % n
	}
	return slot
}

// Own is where the process at a place listens.
func (r *Relays) Own(i int) string { return fmt.Sprintf("%s.%d:%d", r.block, i+1, fleetPort) }

// Front is where others reach it.
func (r *Relays) Front(i int) string { return fmt.Sprintf("%s.%d:%d", r.front, i+1, fleetPort) }

// Close ends all relays.
func (r *Relays) Close() {
	if r.closed.Swap(true) {
		return
	}
	for _, one := range r.all {
		one.udp.Close()
		one.tcp.Close()
	}
	r.streams.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
	r.running.Wait()
}

func (r *Relays) way(p pair) *way {
	w := r.ways[p]
	if w == nil {
		w = &way{}
		r.ways[p] = w
	}
	return w
}

// each does something to every way of a set.
func (r *Relays) each(from, to func(name string) bool, do func(w *way)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, a := range r.names {
		for j, b := range r.names {
			if i != j && from(a) && to(b) {
				do(r.way(pair{i, j}))
			}
		}
	}
}

// Cut lets nothing through from some nodes to others, until it is healed. Bytes on a stream wait, as they would on a
// network that has fallen silent.
func (r *Relays) Cut(from, to func(name string) bool) (heal func()) {
	if r.leaks {
		return func() {}
	}
	r.each(from, to, func(w *way) { w.cuts++ })
	return func() { r.each(from, to, func(w *way) { w.cuts-- }) }
}

// Ail lets what goes from some nodes to others suffer.
func (r *Relays) Ail(from, to func(name string) bool, a fault.Ails) (heal func()) {
	r.each(from, to, func(w *way) { w.ails = append(w.ails, a) })
	return func() {
		r.each(from, to, func(w *way) {
			for i := range w.ails {
				if w.ails[i] == a {
					w.ails = append(w.ails[:i:i], w.ails[i+1:]...)
					return
				}
			}
		})
	}
}

// Passed tells what went from a node to another.
func (r *Relays) Passed(from, to string) Passed {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if w := r.ways[pair{r.index[from], r.index[to]}]; w != nil {
		return w.stats
	}
	return Passed{}
}

// Total is what went over all ways.
func (r *Relays) Total() (t Passed) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, w := range r.ways {
		t.Packets += w.stats.Packets
		t.Dropped += w.stats.Dropped
		t.Doubled += w.stats.Doubled
		t.Delayed += w.stats.Delayed
		t.Bytes += w.stats.Bytes
		t.Streams += w.stats.Streams
		t.Resets += w.stats.Resets
		t.Lost += w.stats.Lost
		t.Due += w.stats.Due
	}
	return t
}

func (r *Relays) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	r.drawm.Lock()
	defer r.drawm.Unlock()
	return r.drawn.Float64() < p
}

// fate is what becomes of one packet.
func (r *Relays) fate(p pair, bytes int) (copies int, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.way(p)
	copies = 1
	if w.cuts > 0 {
		w.stats.Dropped++
		return 0, 0
	}
	for _, a := range w.ails {
		w.stats.Due += a.Lose
		if r.chance(a.Lose) {
			w.stats.Dropped++
			w.stats.Lost++
			return 0, 0
		}
		if r.chance(a.Double) {
			copies++
		}
		late += a.Delay
		if r.chance(a.Reorder) {
			late += overtaken
		}
	}
	w.stats.Packets += int64(copies)
	w.stats.Bytes += int64(bytes * copies)
	w.stats.Doubled += int64(copies - 1)
	if late > 0 {
		w.stats.Delayed++
	}
	return copies, late
}

// sender is the node that an address is of.
func (r *Relays) sender(a netip.Addr) (int, bool) {
	b := a.Unmap().As4()
	if fmt.Sprintf("%d.%d.%d", b[0], b[1], b[2]) != r.block || int(b[3]) < 1 || int(b[3]) > perNode*len(r.names) {
		return 0, false
	}
	return r.who(int(b[3]) - 1), true
}

func (l *relay) packets() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.udp.ReadFromUDPAddrPort(buf)
		if l.r.closed.Load() {
			return
		}
		if err != nil { // nobody listens behind it, which a write has found
			time.Sleep(time.Millisecond)
			continue
		}
		i, ok := l.r.sender(from.Addr())
		if !ok {
			continue
		}
		copies, late := l.r.fate(pair{i, l.to}, n)
		if copies == 0 {
			continue
		}
		p := append([]byte(nil), buf[:n]...)
		pass := func() {
			for range copies {
				l.udp.WriteToUDPAddrPort(p, l.at) // one that is down hears nothing
			}
		}
		if late == 0 {
			pass()
			continue
		}
		time.AfterFunc(late, pass)
	}
}

func (l *relay) accept() {
	for {
		c, err := l.tcp.Accept()
		if l.r.closed.Load() {
			if err == nil {
				c.Close()
			}
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		from, ok := l.r.sender(netip.MustParseAddrPort(c.RemoteAddr().String()).Addr())
		if !ok {
			c.Close()
			continue
		}
		l.r.streams.Store(c, nil)
		l.r.running.Go(func() {
			defer l.r.streams.Delete(c)
			defer c.Close()
			l.stream(c, from)
		})
	}
}

// stream carries one connection. A cut that is there when it begins lets nothing of it arrive at all.
func (l *relay) stream(c net.Conn, from int) {
	there, back := pair{from, l.to}, pair{l.to, from}
	if !l.r.wait(there, c) {
		return
	}
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s.%d", l.r.front, l.slot+1))}}
	far, err := d.Dial("tcp", l.at.String())
	if err != nil {
		reset(c)
		return
	}
	defer far.Close()
	l.r.streams.Store(far, nil)
	defer l.r.streams.Delete(far)
	l.r.began(there)
	done := make(chan struct{}, 2)
	go func() { l.r.copy(far, c, there); done <- struct{}{} }()
	go func() { l.r.copy(c, far, back); done <- struct{}{} }()
	<-done
	<-done
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (r *Relays) began(p pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.way(p).stats.Streams++
}

// held is how often a stream looks whether its way is open again.
const held = 5 * time.Millisecond

// wait waits until the way is open; false: the relay ends, or the connection does.
func (r *Relays) wait(p pair, c net.Conn) bool {
	for n := 0; ; n++ {
		r.mu.RLock()
		w := r.ways[p]
		open := w == nil || w.cuts == 0
		r.mu.RUnlock()
		switch {
		case r.closed.Load():
			return false
		case open:
			return true
		case n > int(30*time.Second/held): // longer than any process waits
			return false
		}
		time.Sleep(held)
	}
}

var errReset = errors.New("reset by the rig")

// stung is what a piece of a stream suffers.
func (r *Relays) stung(p pair, n int) (late time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.way(p)
	for _, a := range w.ails {
		if r.chance(a.Reset) {
			w.stats.Resets++
			return 0, errReset
		}
		late += a.Delay
		if r.chance(a.Lose) { // it is sent again after a while
			late += 200 * time.Millisecond
		}
	}
	w.stats.Bytes += int64(n)
	return late, nil
}

func (r *Relays) copy(to, from net.Conn, p pair) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			late, sting := r.stung(p, n)
			if sting != nil {
				reset(to)
				reset(from)
				return
			}
			time.Sleep(late)
			if !r.wait(p, from) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				t.CloseWrite()
				return
			}
			reset(to)
			return
		}
	}
}
