package rules

import (
	"crypto/sha256"
	"net/http"
	"time"
)

// digest stands for a body.
type digest struct {
	sum  [sha256.Size]byte // zeros for an empty body
	size int64
}

// message is what the judge needs of a request or an answer.
type message struct {
	method     string // of a request
	target     string // of a request
	status     int    // of an answer
	id         string // X-Call-Id, the last one
	idCount    int    // number of X-Call-Id fields
	class      string // X-Call-Class
	budget     time.Duration
	rejected   bool // X-Rejected: 1, once
	close      bool // Connection: close
	body       digest
	storedBody []byte // the body itself, where it is stored
}

// provesNotRun reports whether an answer of a peer proves that the attempt has
// not run.
func (m *message) provesNotRun() bool {
	return m.rejected && (m.status == http.StatusServiceUnavailable || m.status == http.StatusGatewayTimeout)
}

// rejectsCall reports whether an answer of a node rejects a call.
func (m *message) rejectsCall() bool {
	return m.status == http.StatusTooManyRequests || m.status == http.StatusServiceUnavailable
}
