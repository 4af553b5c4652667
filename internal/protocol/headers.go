package protocol

import "hash/fnv"

// The platform's headers, in canonical form.
const (
	// HeaderCallID identifies a request; a client's retry has one of its own.
	HeaderCallID = "X-Call-Id"
	// HeaderClass names the request's class.
	HeaderClass = "X-Call-Class"
	// HeaderTenant names the request's tenant.
	HeaderTenant = "X-Caller"
	// HeaderTimeout is how long the sender waits for the answer, in seconds.
	HeaderTimeout = "X-Budget"
	// HeaderRetry marks a client's retry with "1".
	HeaderRetry = "X-Again"
	// HeaderCallInfo carries figures of the platform's, which are not read.
	HeaderCallInfo = "X-Call-Info"
	// HeaderRejected marks with "1" a response of a server that has not run the request.
	HeaderRejected = "X-Rejected"
)

// AffinityKeyParameter is the query parameter whose value decides which server a request goes to.
const AffinityKeyParameter = "user"

// The platform's paths.
const (
	// PathReady is where a node is asked whether it takes requests.
	PathReady = "/health/ready"
	// PathHealthCheck is where a server is checked.
	PathHealthCheck = "/health/live"
	// PathEndpoints is where discovery gives the endpoint list.
	PathEndpoints = "/registry/instances"
)

// MaxBufferedBody is the longest body, either way, that is buffered whole. Longer ones are streamed.
const MaxBufferedBody = 64 << 10

// IsPlatformHeader reports whether a header, in canonical form, is one that requests carry for the platform.
func IsPlatformHeader(name string) bool {
	switch name {
	case HeaderCallID, HeaderClass, HeaderTenant, HeaderTimeout, HeaderRetry, HeaderCallInfo:
		return true
	}
	return false
}

// hash is the same at every node and in every release, so that keys and servers have one hash everywhere. It is
// never 0.
func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return max(h.Sum64(), 1)
}
