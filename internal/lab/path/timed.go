package path

import (
	"slices"
	"strings"
	"time"

	"olivebridge/internal/transport"
)

// Names of entries with events that depend on time instead of requests. They are reported but are no part of a count:
// the slower the machine, and the tracer on it, the more of them fall to each request.
const (
	// periodicWork are events of timers and of the watch of the endpoint list.
	periodicWork = "periodic work"
	// lateClientCheck are checks whether the client of an old request has disconnected.
	lateClientCheck = "late client check"
)

// periodicFunctions are prefixes of the functions of the node's periodic work. Only the watch of the endpoint list uses
// an http.Transport, to which persistConn belongs.
var periodicFunctions = []string{
	modulePrefix + "internal/transport.(*EndpointWatcher).",
	modulePrefix + "internal/transport.(*pollState).",
	modulePrefix + "internal/transport.(*upstreamPool).sweep",
	modulePrefix + "internal/routing.(*Router).Watch",
	modulePrefix + "internal/routing.(*Router).SetTimer.func",
	modulePrefix + "balancer.(*Balancer).HandleTimer",
	"net/http.(*persistConn).",
	"time.sendTime",
}

// isPeriodic reports whether a stack belongs to the node's periodic work.
func isPeriodic(stack []string) bool {
	return slices.ContainsFunc(stack, func(function string) bool {
		return slices.ContainsFunc(periodicFunctions, func(prefix string) bool { return strings.HasPrefix(function, prefix) })
	})
}

// clientChecks are the functions that check whether a client has disconnected, with the time since the arrival of the
// request before which each makes no check.
var clientChecks = map[string]time.Duration{
	modulePrefix + "internal/transport.(*clientConn).hasDisconnected": transport.ImmediateSendWindow,
	modulePrefix + "internal/transport.(*clientConn).watchForClose":   transport.WatchDelay,
}

// isLateClientCheck reports whether a stack belongs to a check of a client whose last bytes were read long enough ago.
func isLateClientCheck(stack []string, sinceLastRead time.Duration) bool {
	return slices.ContainsFunc(stack, func(function string) bool {
		delay, isCheck := clientChecks[function]
		return isCheck && sinceLastRead > delay
	})
}

// dependsOnRequests reports whether the entry with this name is a part of a count.
func dependsOnRequests(name string) bool { return name != periodicWork && name != lateClientCheck }
