package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// TestRequestInListenerQueue: the time of a request that waited in the listener's queue counts from its arrival, and
// that of a connection that sends later does not. Before, both counted from the time when the node read the request.
func TestRequestInListenerQueue(t *testing.T) {
	for name, long := range map[string]bool{"short": false, "long": true} {
		t.Run(name, func(t *testing.T) { testRequestInListenerQueue(t, long) })
	}
}

func testRequestInListenerQueue(t *testing.T, long bool) {
	const wait = 6 * minQueueTime
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	queued, quiet := dialClient(t, l.Addr().String()), dialClient(t, l.Addr().String())
	const request, longBody = callHead + "Content-Length: 0\r\n\r\n", protocol.MaxBufferedBody + 1
	if long {
		io.WriteString(queued, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", callHead, longBody, make([]byte, longBody)))
	} else {
		io.WriteString(queued, request)
	}
	time.Sleep(wait)
	ages := make(chan time.Duration, 1)
	newTestFrontendOn(t, l, 10, func(_ context.Context, c routing.Call) (routing.Answer, bool) {
		receivedAt := c.ReceivedAt
		if c.StreamsBody {
			receivedAt = <-c.BodyReceived
		}
		if d := receivedAt.Sub(c.ReceivedAt); d.Abs() > minQueueTime {
			t.Errorf("the time of a long request begins %v after its arrival", d)
		}
		ages <- time.Since(receivedAt)
		return routing.Answer{Verdict: routing.Failed}, true
	})
	if age := <-ages; age < wait-minQueueTime {
		t.Errorf("a request that waited %v in the queue is %v old", wait, age)
	}
	clients := []*testClient{quiet, queued} // on the kept connection, too
	if long {
		clients = clients[:1] // the connection ends, since the body was not read
	}
	for _, c := range clients {
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
