package protocol

import "olivebridge/balancer"

// ResultOf says what a peer's whole answer means for a try. Only a turning
// away that says so, and only so, proves that it never ran.
func ClassifyResponse(status int, rejected []string) balancer.Result {
	switch {
	case status == 200:
		return balancer.OK
	case (status == 503 || status == 504) && len(rejected) == 1 && rejected[0] == "1":
		return balancer.Rejected
	default:
		return balancer.Errored
	}
}
