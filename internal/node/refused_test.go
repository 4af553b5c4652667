package node

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestAskedOnWhereRefused: discovery that refuses is asked again soon enough, however often it has refused, that five calls fit
// into the 6 s in which a change is due: a crowd of nodes may lose four in a row. And no more than 1.2 a second are made.
func TestAskedOnWhereRefused(t *testing.T) {
	const most, length, rate = 6 * time.Second / 5, 5 * time.Minute, 1.2
	synctest.Test(t, func(t *testing.T) {
		m, mu, calls := &memory{ports: map[string]chan net.Conn{}}, sync.Mutex{}, []time.Time{}
		l, _ := m.listen("discovery:1")
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, time.Now())
			w.WriteHeader(http.StatusServiceUnavailable)
		})}
		go server.Serve(l)
		defer server.Close()
		c := config()
		c.Settings.Nodes, c.Settings.PollInterval, c.Settings.HealthChecks = 300, 10*time.Second, false
		n, err := Start(c, Options{Listen: m.listen, Dial: m.dial})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(length)
		n.Abort()
		mu.Lock()
		defer mu.Unlock()
		longest := time.Duration(0)
		for i, at := range calls[1:] {
			longest = max(longest, at.Sub(calls[i]))
		}
		if each := float64(len(calls)) / length.Seconds(); longest > most || each > rate {
			t.Errorf("%v without a call at worst, and %.2f a second; want %v and %.2f at most", longest, each, most, rate)
		} else {
			t.Logf("%v without a call at worst, and %.2f a second", longest, each)
		}
	})
}
