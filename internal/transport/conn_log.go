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

// life leaves the one log line of a connection when it ends. The first reason
// noted is the one told.
type connLog struct {
	log      *slog.Logger
	side     string
	addr     string
	openedAt time.Time
	mu       sync.Mutex
	reason   string
	once     sync.Once
	onEnd    func()
}

func newConnLog(log *slog.Logger, side, addr string, ended func()) *connLog {
	return &connLog{log: log, side: side, addr: addr, openedAt: time.Now(), onEnd: ended}
}

// because notes why the connection is about to end.
func (l *connLog) setReason(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason == "" {
		l.reason = reason
	}
}

// read notes what a failed read tells: the other side's end, or a break. A
// deadline set to stop a read tells nothing, nor does this side's own end.
func (l *connLog) noteReadError(err error, closed, broke string) {
	switch {
	case err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed):
	case errors.Is(err, io.EOF):
		l.setReason(closed)
	default:
		l.setReason(broke)
	}
}

// end leaves the line, once.
func (l *connLog) logEnd(otherwise string) {
	l.setReason(otherwise)
	l.once.Do(func() {
		l.log.Info("connection ended", "side", l.side, "addr", l.addr, "reason", l.reason,
			"lasted", time.Since(l.openedAt).Round(time.Millisecond))
		l.onEnd()
	})
}
