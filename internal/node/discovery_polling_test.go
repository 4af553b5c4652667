package node

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestPollingOfRejectingDiscovery checks the polling of a discovery service that rejects every request. However many
// requests were rejected, five polls fit into the 6 s within which a change must reach the node, since with many nodes
// some lose four requests in a row. The poll rate stays at or below 1.2 requests per second.
func TestPollingOfRejectingDiscovery(t *testing.T) {
	const maxInterval, testDuration, maxRate = 6 * time.Second / 5, 5 * time.Minute, 1.2
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
		time.Sleep(testDuration)
		n.Abort()
		mu.Lock()
		defer mu.Unlock()
		longest := time.Duration(0)
		for i, sentAt := range requests[1:] {
			longest = max(longest, sentAt.Sub(requests[i]))
		}
		perSecond := float64(len(requests)) / testDuration.Seconds()
		t.Logf("longest interval between requests: %v, rate: %.2f requests per second", longest, perSecond)
		if longest > maxInterval || perSecond > maxRate {
			t.Errorf("want an interval of at most %v and a rate of at most %.2f requests per second", maxInterval, maxRate)
		}
	})
}
