package direct

import "olivebridge/internal/lab/link"

// end is one end of a connection.
type end struct {
	fabric          *Fabric
	id              string
	other           *end
	handler         link.Handler // nil: the listener did not accept
	up              bool
	closed          bool     // closed or reset here
	handlerEnded    bool     // handler.End was called
	finishedSending bool     // CloseWrite was called
	beforeUp        []func() // calls made before Up
	paused          bool
	whilePaused     []func() // deliveries withheld while reading is paused
	unread          int      // bytes in flight to this end, or not read because of the pause
}

// dialDone processes the result of the dial. listening tells whether a listener existed; if it rejected the
// connection, the other end has no handler.
func (e *end) dialDone(listening bool) {
	server := e.other
	switch {
	case e.closed && server.handler != nil:
		server.handlerEnded = true
		server.handler.End(server, link.ErrEOF)
	case e.closed:
	case !listening:
		e.fail(link.ErrRefused)
	case server.handler == nil:
		server.markClosed()
		e.fail(link.ErrReset)
	default:
		e.opened()
	}
}

// opened reports that the dialed connection is up, and performs the stored calls.
func (e *end) opened() {
	e.up = true
	e.handler.Up(e)
	stored := e.beforeUp
	e.beforeUp = nil
	for _, call := range stored {
		call()
	}
}

func (e *end) markClosed() {
	if !e.closed {
		e.closed = true
		e.fabric.OpenEnds--
	}
}

// fail ends the connection here with an error other than ErrEOF.
func (e *end) fail(err error) {
	if e.closed {
		return
	}
	e.markClosed()
	if !e.handlerEnded {
		e.handlerEnded = true
		e.handler.End(e, err)
	}
}

// runAtOther calls run for the other end after the delay, in order, and once its reading is not paused.
func (e *end) runAtOther(run func()) {
	other := e.other
	e.fabric.loop.After(e.fabric.delay, func() {
		if other.paused {
			other.whilePaused = append(other.whilePaused, run)
		} else {
			run()
		}
	})
}

// ID implements link.Conn.
func (e *end) ID() string { return e.id }

// Write implements link.Conn.
func (e *end) Write(b []byte) {
	b = append([]byte(nil), b...) // the caller may reuse it
	if !e.up && !e.closed {
		e.beforeUp = append(e.beforeUp, func() { e.Write(b) })
		return
	}
	if e.closed || e.finishedSending {
		return
	}
	other := e.other
	other.unread += len(b)
	e.runAtOther(func() {
		if other.closed {
			e.fabric.loop.After(e.fabric.delay, func() { e.fail(link.ErrReset) })
			return
		}
		other.unread -= len(b)
		other.handler.Data(other, b)
	})
}

// CloseWrite implements link.Conn.
func (e *end) CloseWrite() {
	if !e.up && !e.closed {
		e.beforeUp = append(e.beforeUp, e.CloseWrite)
		return
	}
	if e.closed || e.finishedSending {
		return
	}
	e.finishedSending = true
	other := e.other
	e.runAtOther(func() {
		if !other.closed && !other.handlerEnded {
			other.handlerEnded = true
			other.handler.End(other, link.ErrEOF)
		}
	})
}

// Close implements link.Conn.
func (e *end) Close() {
	if e.closed {
		return
	}
	other := e.other
	switch {
	case e.up && e.unread > 0:
		e.runAtOther(func() { other.fail(link.ErrUnread) })
	case e.up:
		e.CloseWrite()
	}
	e.markClosed()
}

// Reset implements link.Conn.
func (e *end) Reset() {
	if e.closed {
		return
	}
	e.markClosed()
	other := e.other
	if e.up && other.handler != nil {
		err := link.ErrReset
		if e.fabric.ResetsLeaveUnread {
			err = link.ErrUnread
		}
		e.runAtOther(func() { other.fail(err) })
	}
}

// PauseReading implements link.Conn.
func (e *end) PauseReading(paused bool) {
	e.paused = paused
	for !e.paused && len(e.whilePaused) > 0 {
		run := e.whilePaused[0]
		e.whilePaused = e.whilePaused[1:]
		run()
	}
}
