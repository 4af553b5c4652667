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

// inMemory is a client's connection of which a byte is taken only as it is read.
type memoryConn struct{ pipeConn }

func (c memoryConn) ReadGate(b []byte, _ sync.Locker, _ func() error, _ func(int)) (int, error) {
	return c.Read(b)
}

// steps is how one side of a body goes on: so many bytes at a time, with a pause behind.
type pacing struct {
	bytes int
	pause time.Duration
}

// TestUploadPace: the time for which a body waits for its peer is not its client's, ahead of the first byte or between
// two parts. Who trickles, or stands still, is found out on either side, whatever the other does.
func TestUploadPace(t *testing.T) {
	const client, peer = "the client's fault", "the peer's fault"
	atOnce, trickle := pacing{streamBufferSize, 0}, pacing{1, time.Second}
	for name, c := range map[string]struct {
		waits        time.Duration // until the try begins
		sends, takes pacing
		fault        string
		within       time.Duration // of the try
	}{
		"at once":                               {0, atOnce, atOnce, "", 0},
		"a late connection":                     {time.Minute, atOnce, atOnce, "", 0},
		"a peer that is slow between parts":     {0, atOnce, pacing{streamBufferSize, 1200 * time.Millisecond}, "", 154 * time.Second},
		"a client at its pace, late":            {time.Minute, pacing{streamBufferSize / 2, 450 * time.Millisecond}, atOnce, "", 116 * time.Second},
		"a client that stands still":            {0, pacing{streamBufferSize, time.Minute}, atOnce, client, bodyStallTimeout},
		"one that stands still, late":           {time.Minute, pacing{streamBufferSize, time.Minute}, atOnce, client, bodyStallTimeout},
		"a client that trickles":                {0, trickle, atOnce, client, bodyStallTimeout + 10*time.Millisecond},
		"one that trickles, late":               {time.Minute, trickle, atOnce, client, bodyStallTimeout + 10*time.Millisecond},
		"a client too slow, and so is its peer": {0, pacing{8 << 10, 400 * time.Millisecond}, pacing{8 << 10, 100 * time.Millisecond}, client, 22 * time.Second},
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

// TestStopReadingBetweenParts: an answer that comes ahead of the body's end, just as the next part is about to be
// waited for, does not wait for a client that stands still.
func TestStopReadingBetweenParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, _, in, far := newMemoryUpload(4 << 20)
		defer far.Close()
		defer in.Close()
		close(u.done) // so that halt waits for nobody
		u.stopReading()
		begun := time.Now()
		if n, err := u.readNext(make([]byte, 1)); len(n) > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begun) > 0 {
			t.Errorf("%d bytes, %v after %v", len(n), err, time.Since(begun))
		}
	})
}

// uploadInMemory is a body of so many bytes that is to be sent to out, with the far ends of its client's connection
// and of its peer's.
func newMemoryUpload(length int64) (u *upload, out *upstreamConn, client, peer net.Conn) {
	log := slog.New(slog.DiscardHandler)
	client, near := net.Pipe()
	k := &clientConn{Conn: memoryConn{pipeConn{near}}, conns: newClientConns(nil, ClientLimits{}, log), requestStart: time.Now(),
		log: newConnLog(log, "client", "", func() {})}
	k.deadlines.init()
	r := &http.Request{Method: "POST", Body: io.NopCloser(io.LimitReader(k, length))}
	u = new(Frontend).newUploadMessage(requestBody{Request: r, target: "/", length: length, conn: k}, nil).upload
	to, peer := net.Pipe()
	return u, &upstreamConn{Conn: pipeConn{to}, log: newConnLog(log, "peer", "", func() {})}, client, peer
}
