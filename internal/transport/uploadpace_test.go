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
type inMemory struct{ pipe }

func (c inMemory) ReadGate(b []byte, _ sync.Locker, _ func() error, _ func(int)) (int, error) {
	return c.Read(b)
}

// steps is how one side of a body goes on: so many bytes at a time, with a pause behind.
type steps struct {
	bytes int
	pause time.Duration
}

// TestPaceOfAnUpload: the time for which a body waits for its peer is not its client's, ahead of the first byte or between
// two parts. Who trickles, or stands still, is found out on either side, whatever the other does.
func TestPaceOfAnUpload(t *testing.T) {
	const client, peer = "the client's fault", "the peer's fault"
	atOnce, trickle := steps{streamBuffer, 0}, steps{1, time.Second}
	for name, c := range map[string]struct {
		waits        time.Duration // until the try begins
		sends, takes steps
		fault        string
		within       time.Duration // of the try
	}{
		"at once":                               {0, atOnce, atOnce, "", 0},
		"a late connection":                     {time.Minute, atOnce, atOnce, "", 0},
		"a peer that is slow between parts":     {0, atOnce, steps{streamBuffer, 1200 * time.Millisecond}, "", 154 * time.Second},
		"a client at its pace, late":            {time.Minute, steps{streamBuffer / 2, 450 * time.Millisecond}, atOnce, "", 116 * time.Second},
		"a client that stands still":            {0, steps{streamBuffer, time.Minute}, atOnce, client, bodyAllowance},
		"one that stands still, late":           {time.Minute, steps{streamBuffer, time.Minute}, atOnce, client, bodyAllowance},
		"a client that trickles":                {0, trickle, atOnce, client, bodyAllowance + 10*time.Millisecond},
		"one that trickles, late":               {time.Minute, trickle, atOnce, client, bodyAllowance + 10*time.Millisecond},
		"a client too slow, and so is its peer": {0, steps{8 << 10, 400 * time.Millisecond}, steps{8 << 10, 100 * time.Millisecond}, client, 22 * time.Second},
		"a peer that stands still":              {0, atOnce, steps{streamBuffer, time.Hour}, peer, streamStall},
		"a peer that trickles":                  {0, atOnce, steps{2 << 10, 100 * time.Millisecond}, peer, 82 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sides sync.WaitGroup
				defer sides.Wait()
				u, out, in, far := uploadInMemory(4 << 20)
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
				u.send(t.Context(), out, []byte(head), routing.Attempt{OnBodySent: func() {}})
				late := errors.Is(u.refused, os.ErrDeadlineExceeded)
				if u.whole.Load() != (c.fault == "") || late != (c.fault == client) || u.refused != nil && !late {
					t.Errorf("whole: %v, refused: %v", u.whole.Load(), u.refused)
				}
				if took := time.Since(begun); took > c.within {
					t.Errorf("it took %v", took)
				}
			})
		})
	}
}

// TestHaltBetweenTwoParts: an answer that comes ahead of the body's end, just as the next part is about to be waited for, does not
// wait for a client that stands still.
func TestHaltBetweenTwoParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, _, in, far := uploadInMemory(4 << 20)
		defer far.Close()
		defer in.Close()
		close(u.done) // so that halt waits for nobody
		u.halt()
		begun := time.Now()
		if n, err := u.next(make([]byte, 1)); len(n) > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begun) > 0 {
			t.Errorf("%d bytes, %v after %v", len(n), err, time.Since(begun))
		}
	})
}

// uploadInMemory is a body of so many bytes that is to be sent to out, with the far ends of its client's connection and
// of its peer's.
func uploadInMemory(length int64) (u *upload, out *peerConn, client, peer net.Conn) {
	log := slog.New(slog.DiscardHandler)
	client, near := net.Pipe()
	k := &clientConn{Conn: inMemory{pipe{near}}, all: newClients(nil, ClientLimits{}, log), since: time.Now(),
		life: newLife(log, "client", "", func() {})}
	k.deadlines.init()
	r := &http.Request{Method: "POST", Body: io.NopCloser(io.LimitReader(k, length))}
	u = new(Frontend).uploading(requestBody{Request: r, target: "/", length: length, k: k}, nil).up
	to, peer := net.Pipe()
	return u, &peerConn{Conn: pipe{to}, life: newLife(log, "peer", "", func() {})}, client, peer
}
