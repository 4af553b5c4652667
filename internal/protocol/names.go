// Package protocol knows the platform's names and forms: headers, budgets,
// the configuration, upstream-group lists and what a peer's answer means. It
// takes out only the fields that decisions need; all else stays as it came.
package protocol

import "hash/fnv"

// The platform's headers.
const (
	HeaderCallID         = "X-Call-Id"
	HeaderClass          = "X-Call-Class"
	HeaderTenant         = "X-Caller"
	HeaderTimeout        = "X-Budget"
	HeaderRetry          = "X-Again"
	HeaderCallInfo       = "X-Call-Info"
	HeaderRejected       = "X-Rejected"
	AffinityKeyParameter = "user"
)

// Owned reports whether a header, in canonical form, is one that calls carry
// for the platform.
func IsPlatformHeader(name string) bool {
	switch name {
	case HeaderCallID, HeaderClass, HeaderTenant, HeaderTimeout, HeaderRetry, HeaderCallInfo:
		return true
	}
	return false
}

// The platform's paths.
const (
	PathReady       = "/health/ready" // at a node
	PathHealthCheck = "/health/live"  // at a peer
	PathEndpoints   = "/registry/instances"
)

// MaxBody is the most bytes a body holds, either way.
const MaxBodyBytes = 64 << 10

// hash is the same at every node and in every release: keys and peers must
// hash alike wherever they are met. It is never 0.
func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return max(h.Sum64(), 1)
}
