package rules

import (
	"crypto/sha256"
	"net/http"
	"time"
)

// digest identifies a body by its checksum and size.
type digest struct {
	sum  [sha256.Size]byte // zeros for an empty body
	size int64
}

// message holds the parsed fields of a request or an answer that the judge needs.
type message struct {
	method     string        // of a request
	target     string        // of a request
	status     int           // of an answer
	id         string        // value of the last X-Call-Id field
	idCount    int           // number of X-Call-Id fields
	class      string        // value of X-Call-Class
	budget     time.Duration // value of X-Budget; 0: absent or invalid
	rejected   bool          // there is exactly one X-Rejected field, with value 1
	close      bool          // Connection contains close
	body       digest
	storedBody []byte // the body, if the scanner stores bodies
}

// provesAttemptNotRun reports whether an answer of a peer proves that its attempt has
// not run.
func (m *message) provesAttemptNotRun() bool {
	return m.rejected && (m.status == http.StatusServiceUnavailable || m.status == http.StatusGatewayTimeout)
}

// rejectsCall reports whether an answer of a node rejects a call.
func (m *message) rejectsCall() bool {
	return m.status == http.StatusTooManyRequests || m.status == http.StatusServiceUnavailable
}
