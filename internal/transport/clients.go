package transport

import (
	"cmp"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// patience is how long a new connection may say nothing, once room is needed.
// One that sends at once is read by then, or has bytes waiting to be.
const patience = 100 * time.Millisecond

// slowness is how long a request may stand still on its way, once room is
// needed. The one that has stood still for the longest goes, so that one that
// comes on in pieces is the last of a crowd that has stopped half way.
const slowness = 300 * time.Millisecond

// mostLooks bounds how many connections are looked at for one that can end.
const mostLooks = 16

// Crowd is how many client connections beyond the bound are taken to be turned away, at most.
const DefaultOverflow = 32

// ClientBounds bound the client connections of a node.
type ClientLimits struct {
	MaxOpen int // all of them
	// Idle bounds those between requests. Clients may hold only so many to a
	// node, and whoever asks once and keeps his takes one from the others:
	// beyond this the longest idle is closed.
	MaxIdle int
	// Crowd is how many beyond Open are taken to be turned away; 0: as many as are ever.
	MaxOverflow int
}

// clients bounds the client connections and closes them at need. When they are
// as many as may be, one makes room: first one that has never said anything,
// then the one idle for the longest, which costs its client a new connection at
// most, then one whose request stands still. If there is none, a few more
// are taken for a quick reject, since what a client has sent on a connection in
// the listener's queue counts as taken too; beyond that, new ones wait.
//
// http.Server could close idle connections itself, but it holds one for idle
// until a request's head is read: it may close one whose request it goes on to
// serve, and the client sends that request again. Here a connection is idle
// only while no byte of a request has been read, and once its end is decided
// no byte is read any more.
type clients struct {
	net.Listener
	log *slog.Logger

	mu      sync.Mutex
	changed sync.Cond
	max     int // open
	maxIdle int
	crowd   int // beyond max
	open    map[*clientConn]bool
	silent  list.List // nothing has ever been read; the oldest first
	idle    list.List // the longest idle first
	// lingering are those that wait for their last answer to arrive, the longest first
	lingering list.List
	closed    bool                     // the listener
	leaving   bool                     // the node closes what is idle
	over      bool                     // the planned end is: nothing lingers any more
	long      int                      // connections with a long message, which goes on as it comes, whatever time that takes
	give      func(syscall.Conn) error // to another process of the node, instead; nil: there is none
	aborted   atomic.Bool              // nothing is read or written any more; set under mu
}

func newClients(l net.Listener, b ClientLimits, log *slog.Logger) *clients {
	c := &clients{Listener: l, log: log, open: map[*clientConn]bool{}}
	c.changed.L = &c.mu
	c.bound(b)
	return c
}

func (c *clients) bound(b ClientLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.max, c.maxIdle, c.crowd = max(b.MaxOpen, 1), b.MaxIdle, cmp.Or(b.MaxOverflow, DefaultOverflow)
	if some := c.beyond(); len(some) > 0 {
		c.end("evicted", some...)
	}
	c.changed.Broadcast()
}

// beyond are the connections idle for the longest that the bounds have no room for any more, but for those with
// something to be read. Where bounds sink, the descriptors may be another process's by now. The lock is held.
func (c *clients) beyond() (some []*clientConn) {
	surplus := max(len(c.open)-c.max, c.idle.Len()-c.maxIdle)
	for e := c.idle.Front(); e != nil && len(some) < surplus; e = e.Next() {
		if k := e.Value.(*clientConn); !unread(k.Conn) {
			some = append(some, k)
		}
	}
	return some
}

// Accept implements net.Listener. It fails for good only with the listener: a
// connection that cannot be taken up is passed over.
func (c *clients) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, ofAccept(err)
		}
		if k, err := c.enter(conn); err == nil {
			return k, nil
		}
	}
}

// ofAccept lets http.Server try again, after a pause, where an error of
// accept(2) is one of the connection that it was to give, or of a moment's
// want: its page says which. http.Server knows of descriptors alone.
func ofAccept(err error) error {
	var no syscall.Errno
	if errors.As(err, &no) {
		switch no {
		case syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
			syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EPERM,
			syscall.ENOBUFS, syscall.ENOMEM:
			return passing{err}
		}
	}
	return err
}

// passing is an error that passes.
type passing struct{ error }

// Timeout implements net.Error.
func (passing) Timeout() bool { return false }

// Temporary implements net.Error.
func (passing) Temporary() bool { return true }

// errGone says that a connection has no other side any more.
var errGone = errors.New("client: it has gone")

// enter takes a connection up.
func (c *clients) enter(conn net.Conn) (*clientConn, error) {
	from := conn.RemoteAddr()
	if from == nil { // handed over by another process, after its client had reset it: the kernel knows of nobody
		conn.Close()
		return nil, errGone
	}
	c.makeRoom()
	gated, err := connOf(conn)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("client: %w", err)
	}
	k := &clientConn{Conn: gated, all: c, since: time.Now()}
	k.deadlines.init()
	k.open, k.took = k.mayRead, k.hasRead
	k.life = newLife(c.log, "client", from.String(), func() { c.forget(k) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted.Load() {
		conn.Close()
		return nil, net.ErrClosed
	}
	c.open[k] = true
	k.moveTo(&c.silent)
	return k, nil
}

func (c *clients) makeRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.open) >= c.max && !c.closed {
		if reason, k := c.spare(time.Now()); k != nil {
			c.end(reason, k)
		} else if len(c.open) < c.max+c.crowd {
			return
		} else {
			wake := time.AfterFunc(patience/2, c.changed.Broadcast) // a silent one may have become old enough
			c.changed.Wait()
			wake.Stop()
		}
	}
}

// spare finds the connection whose end costs least. One with bytes to be read
// is none: they may be a whole request. The lock is held.
func (c *clients) spare(now time.Time) (reason string, k *clientConn) {
	if e := c.lingering.Front(); e != nil {
		return "evicted", e.Value.(*clientConn)
	}
	looks := 0 // at the kernel: the lock holds every read up
	for e := c.silent.Front(); e != nil && looks < mostLooks; e = e.Next() {
		looks++
		if k = e.Value.(*clientConn); now.Sub(k.since) < patience {
			break
		} else if !unread(k.Conn) {
			return "silent", k
		}
	}
	if k = c.longestIdle(); k != nil {
		return "evicted", k
	}
	for o := range c.open { // the longest, so that which one it is does not hang on chance
		if o.active && !o.whole && !o.gone && now.Sub(o.moved) >= slowness &&
			(k == nil || o.moved.Before(k.moved)) && !unread(o.Conn) {
			k = o
		}
	}
	if k == nil {
		return "", nil
	}
	return "slow", k
}

// longestIdle is the connection idle for the longest that has nothing to be
// read; nil if there is none. The lock is held.
func (c *clients) longestIdle() *clientConn {
	looks := 0
	for e := c.idle.Front(); e != nil && looks < mostLooks; e = e.Next() {
		looks++
		if k := e.Value.(*clientConn); !unread(k.Conn) {
			return k
		}
	}
	return nil
}

// end closes connections on which no byte of a request was read. The lock is
// held, but for the closing itself.
func (c *clients) end(reason string, some ...*clientConn) {
	give := c.give
	for _, k := range some {
		k.gone, k.given = true, give != nil
		k.moveTo(nil)
	}
	c.mu.Unlock()
	defer c.mu.Lock()
	for _, k := range some {
		if give != nil {
			k.handOn(give)
		}
		k.life.because(reason)
		k.close(reason)
	}
}

// crowded reports whether calls must be turned away to keep the bound. Those
// that have stopped half way make no crowd: a whole request among them is served.
func (c *clients) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) <= c.max {
		return false
	}
	calls := 0
	for k := range c.open {
		if k.active && k.whole && !k.gone {
			calls++
		}
	}
	return calls > c.max
}

// leaves reports whether the node closes client connections by now.
func (c *clients) leaves() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// leave closes every connection that carries nothing. Later ones end with
// their answer, until stay.
func (c *clients) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.hurryLingering()
	c.endIdle()
}

// stay lets connections be kept again.
func (c *clients) stay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = false
}

// drain goes on with that until none is open or ctx ends, and returns how many are. While a long message goes on
// as it comes it waits for that too, until most ends.
func (c *clients) drain(ctx, most context.Context) int {
	wake := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	}
	defer context.AfterFunc(ctx, wake)()
	defer context.AfterFunc(most, wake)()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.open) > 0 && (ctx.Err() == nil || c.long > 0 && most.Err() == nil) {
		if !c.endIdle() {
			c.changed.Wait()
		}
	}
	c.over = true
	return len(c.open)
}

// goesOn notes a long message on a connection, until that has carried its answer.
func (k *clientConn) goesOn() {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	if !k.long && k.all.open[k] {
		k.long = true
		k.all.long++
	}
}

// carried notes that no long message is on a connection any more. The lock is held.
func (c *clients) carried(k *clientConn) {
	if k.long {
		k.long = false
		c.long--
	}
}

// abort lets no byte be read or written any more, on connections still to come
// either. Closing them is left to http.Server.
func (c *clients) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted.Store(true)
	for k := range c.open {
		k.gone = true
		k.moveTo(nil)
	}
}

// count says how many are open.
func (c *clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// endIdle ends what carries nothing and reports whether there was any. The lock is held.
func (c *clients) endIdle() bool {
	var some []*clientConn
	for k := range c.open {
		if !k.active && !k.gone && !c.comesOn(k) {
			some = append(some, k)
		}
	}
	if len(some) > 0 {
		c.end("drain", some...)
	}
	return len(some) > 0
}

// comesOn reports whether the next request is there behind an answer. It is served, and ends its connection: a
// close over it would be a reset, and might take the answer with it. The lock is held.
func (c *clients) comesOn(k *clientConn) bool {
	return c.give == nil && k.answered.Load() && unread(k.Conn)
}

// String counts the client connections by what they do, one line.
func (c *clients) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	reading, calls, ending := 0, 0, 0
	for k := range c.open {
		switch {
		case k.gone:
			ending++
		case k.active && k.whole:
			calls++
		case k.active:
			reading++
		}
	}
	return fmt.Sprintf("open=%d silent=%d idle=%d reading=%d calls=%d ending=%d",
		len(c.open), c.silent.Len(), c.idle.Len(), reading, calls, ending)
}

// Close implements net.Listener.
func (c *clients) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Listener.Close()
}

func (c *clients) forget(k *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.moveTo(nil)
	c.carried(k)
	delete(c.open, k)
	c.changed.Broadcast()
}

// state hears from http.Server when a connection has carried its answer.
func (c *clients) state(conn net.Conn, s http.ConnState) {
	k, ok := conn.(*clientConn)
	if !ok || s != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carried(k)
	k.answers++
	k.active, k.behind = k.next, k.next || k.early
	k.whole, k.early, k.next = false, false, k.framing.begun > k.answers+1
	if k.active {
		k.since = time.Now() // its turn has come: the call before it took none of its time
		k.moved = k.since
	}
	if !k.active && c.open[k] {
		k.moveTo(&c.idle)
		if c.leaving {
			if !c.comesOn(k) {
				c.end("drain", k)
			}
		} else if c.idle.Len() > c.maxIdle {
			if first := c.longestIdle(); first != nil {
				c.end("evicted", first)
			}
		}
	}
	c.changed.Broadcast()
}

// clientConn is a client connection. Its marks belong to the lock of all.
type clientConn struct {
	Conn
	life *life
	all  *clients

	list    *list.List // the one of all's that it stands in; nil: none
	place   *list.Element
	since   time.Time // when it was accepted, or its request's first byte was read
	moved   time.Time // when bytes were last read
	active  bool      // a byte of an unanswered request has been read
	whole   bool      // that request has been read whole
	next    bool      // a byte of the one after it has been read: it is owed an answer, too
	early   bool      // bytes of the one after it wait to be read
	behind  bool      // one of the two was so of the request
	answers int       // requests that were answered
	gone    bool      // its end is decided
	given   bool      // so that another process goes on with it: it must be open until it is sent there
	long    bool      // a long message is on it
	framing framing

	// for Read, of which one runs at a time
	buf  []byte
	open func() error // mayRead
	took func(n int)  // hasRead

	answered  atomic.Bool // bytes were written since its request began, or to the one before
	lingering bool
	ends      time.Time // until when it lingers

	deadlines deadlines
}

// mayRead says whether a read may go on. The lock is held.
func (k *clientConn) mayRead() error {
	switch {
	case k.gone && k.all.give != nil:
		return io.EOF // http.Server would answer any other error, to a client that is another process's by now
	case k.gone:
		return net.ErrClosed
	}
	return nil
}

// CloseWrite ends the sending, unless another process goes on with it.
func (k *clientConn) CloseWrite() error {
	if k.isGone() {
		return net.ErrClosed
	}
	return k.Conn.CloseWrite()
}

func (k *clientConn) isGone() bool {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	return k.gone
}

// hasRead notes that n bytes were read. The lock is held.
func (k *clientConn) hasRead(n int) {
	k.begin()
	k.moved = time.Now()
	k.framing.read(k.buf[:n])
	k.next = k.next || k.whole || k.framing.begun > k.answers+1
}

// owesMore reports whether a further request has been read, or a part of it, behind the one that is answered, whose end
// is beyond doubt. While that one is open no more is read: see watch.
func (k *clientConn) owesMore() bool {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	return k.next && !k.framing.tornAt(k.answers+1)
}

// most is how many bytes a read of so many may take. While the node closes connections, it takes none behind a request
// that has begun: who always sends the next one ahead would be owed an answer for ever.
func (k *clientConn) most(n int) int {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	if k.all.leaving && k.active {
		return k.framing.needs(n)
	}
	return n
}

// isWhole reports whether the request that is read has come whole.
func (k *clientConn) isWhole() bool {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	return k.whole || k.framing.whole(k.answers+1)
}

// comesEarly notes that bytes wait behind a request that is open.
func (k *clientConn) comesEarly() {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	k.early = true
}

// pipelined reports whether the request that is read began to come while the one before was open.
func (k *clientConn) pipelined() bool {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	return k.behind
}

// torn reports whether the head of the request that is read leaves any doubt about where it ends.
func (k *clientConn) torn() bool {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	return k.framing.tornAt(k.answers + 1)
}

// isLast reports whether the connection ends with the request that is answered, for how that one's body came.
func (k *clientConn) isLast() bool {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	return k.framing.last(k.answers + 1)
}

// begin notes that a request has begun. The lock is held.
func (k *clientConn) begin() {
	if !k.active {
		k.active, k.since = true, time.Now()
		k.answered.Store(false)
	}
	k.moveTo(nil)
}

// moveTo moves the connection to the end of a list, or, by nil, out of any. The lock is held.
func (k *clientConn) moveTo(l *list.List) {
	if k.list != nil {
		k.list.Remove(k.place)
	}
	if k.list = l; l != nil {
		k.place = l.PushBack(k)
	}
}

// requestRead notes that all bytes from now on are of the next request, and
// reports whether this one may be passed on. Until now its connection may have
// been ended for standing still, though its last bytes had come.
func (k *clientConn) requestRead() bool {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	k.whole = true
	return !k.gone
}

// Write implements net.Conn.
func (k *clientConn) Write(b []byte) (int, error) {
	if k.all.aborted.Load() {
		return 0, net.ErrClosed
	}
	k.answered.Store(true)
	n, err := k.Conn.Write(b)
	if err != nil {
		k.life.because("client-gone")
	}
	return n, err
}

// Close implements net.Conn, and lets the last answer arrive first: see linger. http.Server, whose read finds that the
// connection has gone, closes it at once. Where it is being handed on that would be too early: the descriptor were closed
// under the sending, and the bytes that have just come would be answered by a reset.
func (k *clientConn) Close() error {
	k.all.mu.Lock()
	reason, given := "node-closed", k.given
	if k.all.leaving {
		reason = "drain"
	}
	k.all.mu.Unlock()
	if given {
		return nil // by whoever hands it on
	}
	k.life.because(reason)
	k.linger()
	return k.close(reason)
}

func (k *clientConn) close(reason string) error {
	k.life.end(reason)
	return k.Conn.Close()
}
