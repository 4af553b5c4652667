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

// closeReason is the reason code in the log line of a connection that has ended. docs/ONCALL.md lists all codes.
type closeReason string

// The reasons for which connections end.
const (
	reasonNone         closeReason = "" // not known yet
	reasonCancelled    closeReason = "called-off"
	reasonClientClosed closeReason = "client-closed"
	reasonClientGone   closeReason = "client-gone"
	reasonClientReset  closeReason = "client-reset"
	reasonDrain        closeReason = "drain"
	reasonEvicted      closeReason = "evicted"
	reasonHandedOver   closeReason = "handed-over"
	reasonIdle         closeReason = "idle"
	reasonMalformed    closeReason = "spoilt"
	reasonNoMemory     closeReason = "no-memory"
	reasonManyFields   closeReason = "many-fields"
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

// connLog writes the only log line of a connection, when the connection ends. It logs the first reason that was set.
type connLog struct {
	log      *slog.Logger
	side     string // client, peer or discovery
	addr     string
	openedAt time.Time
	onEnd    func() // called once, after the line is written

	mu     sync.Mutex
	reason closeReason
	once   sync.Once
}

func newConnLog(log *slog.Logger, side, addr string, onEnd func()) *connLog {
	return &connLog{log: log, side: side, addr: addr, openedAt: time.Now(), onEnd: onEnd}
}

// setReason sets the reason for which the connection is about to end, unless one is set already.
func (l *connLog) setReason(reason closeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason == reasonNone {
		l.reason = reason
	}
}

// noteReadError sets the reason according to the error of a read: closed if the remote side closed the connection,
// broke if the connection broke. A nil error, an expired deadline and a close on this side set no reason.
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

// logEnd writes the log line, once, with reason unless an earlier one was set.
func (l *connLog) logEnd(reason closeReason) {
	l.setReason(reason)
	l.once.Do(func() {
		l.log.Info("connection ended", "side", l.side, "addr", l.addr, "reason", string(l.reason),
			"lasted", time.Since(l.openedAt).Round(time.Millisecond))
		l.onEnd()
	})
}
