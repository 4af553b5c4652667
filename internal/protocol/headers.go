package protocol

import "hash/fnv"

// The platform's headers, in canonical form.
const (
	// HeaderCallID has the ID of a request; a client's retry has a new ID.
	HeaderCallID = "X-Call-Id"
	// HeaderClass has the name of the request's class.
	HeaderClass = "X-Call-Class"
	// HeaderTenant has the name of the request's tenant.
	HeaderTenant = "X-Caller"
	// HeaderTimeout has the duration for which the sender waits for the response, in seconds.
	HeaderTimeout = "X-Budget"
	// HeaderRetry has the value "1" in a client's retry.
	HeaderRetry = "X-Again"
	// HeaderCallInfo has data of the platform, which the node does not read.
	HeaderCallInfo = "X-Call-Info"
	// HeaderRejected has the value "1" in the response of a server that has not processed the request.
	HeaderRejected = "X-Rejected"
)

// AffinityKeyParameter is the query parameter with the affinity key, which determines the server of a request.
const AffinityKeyParameter = "user"

// The platform's paths.
const (
	// PathReady is the node's path for readiness checks: whether it accepts requests.
	PathReady = "/health/ready"
	// PathHealthCheck is the servers' path for health checks.
	PathHealthCheck = "/health/live"
	// PathEndpoints is discovery's path for the endpoint list.
	PathEndpoints = "/registry/instances"
)

// MaxBufferedBody is the maximum length in bytes of a request or response body that is buffered completely. Longer
// bodies are streamed.
const MaxBufferedBody = 64 << 10

// IsPlatformHeader reports whether name, in canonical form, is a request header that the platform defines.
func IsPlatformHeader(name string) bool {
	switch name {
	case HeaderCallID, HeaderClass, HeaderTenant, HeaderTimeout, HeaderRetry, HeaderCallInfo:
		return true
	}
	return false
}

// hash returns the hash of an affinity key or a server's name; it is never 0. All nodes must agree on it, so it must
// not change in any release.
func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return max(h.Sum64(), 1)
}
