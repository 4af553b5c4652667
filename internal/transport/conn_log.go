package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"
)

// closeReason is the reason code of the log line that a connection leaves when it ends. docs/ONCALL.md lists them all.
type closeReason string

// The reasons why connections end.
const (
	reasonNone         closeReason = "" // unknown so far
	reasonCancelled    closeReason = "called-off"
	reasonClientClosed closeReason = "client-closed"
	reasonClientGone   closeReason = "client-gone"
	reasonClientReset  closeReason = "client-reset"
	reasonDrain        closeReason = "drain"
	reasonEvicted      closeReason = "evicted"
	reasonHandedOver   closeReason = "handed-over"
	reasonIdle         closeReason = "idle"
	reasonMalformed    closeReason = "spoilt"
	reasonNodeClosed   closeReason = "node-closed"
	reasonNotSent      closeReason = "not-sent"
	reasonOversize     closeReason = "oversize"
	reasonServerAsked  closeReason = "peer-asked"
	reasonServerClosed closeReason = "peer-closed"
	reasonReset        closeReason = "reset"
	reasonSilent       closeReason = "silent"
	reasonStalled      closeReason = "slow"
	reasonExtraBytes   closeReason = "surplus"
	reasonTimeout      closeReason = "try-timeout"
)

// connLog writes the one log line of a connection when it ends. The first reason that is set is the one logged.
type connLog struct {
	log      *slog.Logger
	side     string // client, peer or discovery
	addr     string
	openedAt time.Time
	onEnd    func() // called once, behind the line

	mu     sync.Mutex
	reason closeReason
	once   sync.Once
}

func newConnLog(log *slog.Logger, side, addr string, onEnd func()) *connLog {
	return &connLog{log: log, side: side, addr: addr, openedAt: time.Now(), onEnd: onEnd}
}

// setReason notes why the connection is about to end.
func (l *connLog) setReason(reason closeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason == reasonNone {
		l.reason = reason
	}
}

// noteReadError notes what a failed read says of the other side: it closed, or the connection broke. An expired
// deadline says nothing, nor does a close on this side.
func (l *connLog) noteReadError(err error, closed, broke closeReason) {
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, net.ErrClosed):
	case errors.Is(err, io.EOF):
		l.setReason(closed)
	default:
		l.setReason(broke)
	}
}

// logEnd writes the line, once, with a reason unless an earlier one is known.
func (l *connLog) logEnd(reason closeReason) {
	l.setReason(reason)
	l.once.Do(func() {
		l.log.Info("connection ended", "side", l.side, "addr", l.addr, "reason", string(l.reason),
			"lasted", time.Since(l.openedAt).Round(time.Millisecond))
		l.onEnd()
	})
}
