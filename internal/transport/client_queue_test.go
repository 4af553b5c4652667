package transport

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"olivebridge/internal/routing"
)

// TestRequestInListenerQueue: the time of a request that waited in the listener's queue counts from its arrival, and
// that of a connection that sends later does not. Before, both counted from the time when the node read the request.
func TestRequestInListenerQueue(t *testing.T) {
	const wait = 6 * minQueueTime
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	queued, quiet := dialClient(t, l.Addr().String()), dialClient(t, l.Addr().String())
	const request = callHead + "Content-Length: 0\r\n\r\n"
	io.WriteString(queued, request)
	time.Sleep(wait)
	ages := make(chan time.Duration, 1)
	newTestFrontendOn(t, l, 10, func(_ context.Context, c routing.Call) (routing.Answer, bool) {
		ages <- time.Since(c.ReceivedAt)
		return routing.Answer{Verdict: routing.Failed}, true
	})
	if age := <-ages; age < wait-minQueueTime {
		t.Errorf("a request that waited %v in the queue is %v old", wait, age)
	}
	for _, c := range []*testClient{queued, quiet} { // on the kept connection, too
		io.WriteString(c, request)
		if age := <-ages; age > wait-minQueueTime {
			t.Errorf("a request that did not wait is %v old", age)
		}
	}
}

// TestStalledCrowdInListenerQueue: incomplete requests that stalled while they waited in the listener's queue do not
// hold up the request behind them. Before, the node granted each lot of them stalledGrace from their reading.
func TestStalledCrowdInListenerQueue(t *testing.T) {
	const crowd, answeredWithin = 300, time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for range crowd {
		io.WriteString(dialClient(t, l.Addr().String()), callHead[:len(callHead)/2])
	}
	behind := dialClient(t, l.Addr().String())
	io.WriteString(behind, callHead+"Content-Length: 0\r\n\r\n")
	time.Sleep(stalledGrace + minQueueTime)
	begun := time.Now()
	newTestFrontendOn(t, l, 5, func(context.Context, routing.Call) (routing.Answer, bool) {
		return routing.Answer{Verdict: routing.Failed}, true
	})
	behind.SetReadDeadline(begun.Add(5 * time.Second))
	if _, err := behind.in.ReadString('\n'); err != nil || time.Since(begun) > answeredWithin {
		t.Errorf("answer after %v, error %v; want an answer within %v", time.Since(begun), err, answeredWithin)
	}
}
