package protocol

import (
	"net/http"

	"olivebridge/balancer"
)

// ClassifyResponse returns what a server's whole response means for an attempt. rejected is its HeaderRejected. Only a
// rejection that is marked as such proves that the attempt never ran.
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
