package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/internal/routing"
)

// memoryConn is a client's connection of which a byte is taken only as it is read.
type memoryConn struct{ pipeConn }

// ReadUnderLock implements Conn.
func (c memoryConn) ReadUnderLock(b []byte, _ sync.Locker, _ func() error, _ func(int)) (int, error) {
	return c.Read(b)
}

// pacing is how one side of a body goes on: so many bytes at a time, with a pause behind.
type pacing struct {
	bytes int
	pause time.Duration
}

// TestUploadPace: the time for which a body waits for its server does not count against its client, ahead of the
// first byte or between two parts. A side that trickles, or stands still, is found out, whatever the other one
// does.
func TestUploadPace(t *testing.T) {
	const client, peer = "the client's fault", "the peer's fault"
	const slightlyLater = bodyStallTimeout + 10*time.Millisecond
	atOnce := pacing{streamBufferSize, 0}
	trickle := pacing{1, time.Second}
	slow := pacing{streamBufferSize, 1200 * time.Millisecond}
	steady := pacing{streamBufferSize / 2, 450 * time.Millisecond}
	stalled := pacing{streamBufferSize, time.Minute}
	tooSlow := pacing{8 << 10, 400 * time.Millisecond}
	slowServer := pacing{8 << 10, 100 * time.Millisecond}
	for name, c := range map[string]struct {
		waits        time.Duration // until the try begins
		sends, takes pacing
		fault        string
		within       time.Duration // of the try
	}{
		"at once":                               {0, atOnce, atOnce, "", 0},
		"a late connection":                     {time.Minute, atOnce, atOnce, "", 0},
		"a peer that is slow between parts":     {0, atOnce, slow, "", 154 * time.Second},
		"a client at its pace, late":            {time.Minute, steady, atOnce, "", 116 * time.Second},
		"a client that stands still":            {0, stalled, atOnce, client, bodyStallTimeout},
		"one that stands still, late":           {time.Minute, stalled, atOnce, client, bodyStallTimeout},
		"a client that trickles":                {0, trickle, atOnce, client, slightlyLater},
		"one that trickles, late":               {time.Minute, trickle, atOnce, client, slightlyLater},
		"a client too slow, and so is its peer": {0, tooSlow, slowServer, client, 22 * time.Second},
		"a peer that stands still":              {0, atOnce, pacing{streamBufferSize, time.Hour}, peer, streamStallTimeout},
		"a peer that trickles":                  {0, atOnce, pacing{2 << 10, 100 * time.Millisecond}, peer, 82 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sides sync.WaitGroup
				defer sides.Wait()
				u, out, in, far := newMemoryUpload(4 << 20)
				defer far.Close()
				defer in.Close()
				time.Sleep(c.waits)
				sides.Go(func() {
					for err := error(nil); err == nil; time.Sleep(c.sends.pause) {
						_, err = in.Write(make([]byte, c.sends.bytes))
					}
				})
				sides.Go(func() {
					for err := error(nil); err == nil; time.Sleep(c.takes.pause) {
						_, err = io.ReadFull(far, make([]byte, c.takes.bytes))
					}
				})
				begun := time.Now()
				u.send(t.Context(), out, []byte(callHead), routing.Attempt{OnBodySent: func() {}})
				late := errors.Is(u.clientErr, os.ErrDeadlineExceeded)
				if u.bodySent.Load() != (c.fault == "") || late != (c.fault == client) || u.clientErr != nil && !late {
					t.Errorf("whole: %v, refused: %v", u.bodySent.Load(), u.clientErr)
				}
				if took := time.Since(begun); took > c.within {
					t.Errorf("it took %v", took)
				}
			})
		})
	}
}

// TestStopReadingBetweenParts: a response that comes ahead of the body's end, just as the next part is about to be
// waited for, does not wait for a client that stands still.
func TestStopReadingBetweenParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, _, in, far := newMemoryUpload(4 << 20)
		defer far.Close()
		defer in.Close()
		close(u.done) // so that stopReading waits for nobody
		u.stopReading()
		begun := time.Now()
		part, err := u.readNext(make([]byte, 1))
		if len(part) > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begun) > 0 {
			t.Errorf("%d bytes, %v after %v", len(part), err, time.Since(begun))
		}
	})
}

// newMemoryUpload is a body of so many bytes that is to be sent to out, with the far ends of its client's
// connection and of its server's.
func newMemoryUpload(length int64) (u *upload, out *upstreamConn, client, peer net.Conn) {
	log := slog.New(slog.DiscardHandler)
	client, near := net.Pipe()
	accepted := &clientConn{
		Conn:             memoryConn{pipeConn{near}},
		conns:            newClientConns(nil, ClientLimits{}, log),
		requestStartedAt: time.Now(),
		log:              newConnLog(log, "client", "", func() {}),
	}
	accepted.deadlines.init()
	r := &http.Request{Method: "POST", Body: io.NopCloser(io.LimitReader(accepted, length))}
	u = new(Frontend).newUploadMessage(requestBody{Request: r, target: "/", length: length, conn: accepted}, nil).upload
	to, peer := net.Pipe()
	return u, &upstreamConn{Conn: pipeConn{to}, log: newConnLog(log, "peer", "", func() {})}, client, peer
}
