package protocol

import (
	"net/http"

	"olivebridge/balancer"
)

// ClassifyResponse returns the result of an attempt from the server's complete response. rejected are the values of its
// HeaderRejected. Only a 503 or 504 with exactly one such value of "1" proves that the server did not process the
// request.
func ClassifyResponse(status int, rejected []string) balancer.Result {
	switch {
	case status == http.StatusOK:
		return balancer.OK
	case (status == 503 || status == 504) && len(rejected) == 1 && rejected[0] == "1":
		return balancer.Rejected
	default:
		return balancer.Errored
	}
}
