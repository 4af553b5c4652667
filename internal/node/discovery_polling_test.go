package node

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestPollingOfRejectingDiscovery: discovery that rejects requests is asked again soon enough, however often it has
// rejected, that five requests fit into the 6 s in which a change is due: many nodes may lose four in a row. And no
// more than 1.2 a second are made.
func TestPollingOfRejectingDiscovery(t *testing.T) {
	const most, length, rate = 6 * time.Second / 5, 5 * time.Minute, 1.2
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		var mu sync.Mutex
		var requests []time.Time
		l, _ := network.listen("discovery:1")
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, time.Now())
			w.WriteHeader(http.StatusServiceUnavailable)
		})}
		go server.Serve(l)
		defer server.Close()
		c := testConfig()
		c.Settings.Nodes, c.Settings.PollInterval, c.Settings.HealthChecks = 300, 10*time.Second, false
		n, err := Start(c, Options{Listen: network.listen, Dial: network.dial})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(length)
		n.Abort()
		mu.Lock()
		defer mu.Unlock()
		longest := time.Duration(0)
		for i, at := range requests[1:] {
			longest = max(longest, at.Sub(requests[i]))
		}
		perSecond := float64(len(requests)) / length.Seconds()
		t.Logf("%v without a request at worst, and %.2f a second", longest, perSecond)
		if longest > most || perSecond > rate {
			t.Errorf("want %v and %.2f at most", most, rate)
		}
	})
}
