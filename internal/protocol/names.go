// Package protocol knows the platform's names and forms: headers, budgets,
// the configuration, upstream-group lists and what a peer's answer means. It
// takes out only the fields that decisions need; all else stays as it came.
package protocol

import "hash/fnv"

// The platform's headers.
const (
	HeaderID       = "X-Call-Id"
	HeaderClass    = "X-Call-Class"
	HeaderCaller   = "X-Caller"
	HeaderBudget   = "X-Budget"
	HeaderAgain    = "X-Again"
	HeaderInfo     = "X-Call-Info"
	HeaderRejected = "X-Rejected"
	KeyParameter   = "user"
)

// Owned reports whether a header, in canonical form, is one that calls carry
// for the platform.
func Owned(name string) bool {
	switch name {
	case HeaderID, HeaderClass, HeaderCaller, HeaderBudget, HeaderAgain, HeaderInfo:
		return true
	}
	return false
}

// The platform's paths.
const (
	PathReady = "/health/ready" // at a node
	PathLive  = "/health/live"  // at a peer
	PathGroup = "/registry/instances"
)

// MaxBody is the most bytes a body holds, either way.
const MaxBody = 64 << 10

// hash is the same at every node and in every release: keys and peers must
// hash alike wherever they are met. It is never 0.
func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return max(h.Sum64(), 1)
}
