package protocol

import "olivebridge/brain"

// ResultOf says what a peer's whole answer means for a try. Only a turning
// away that says so, and only so, proves that it never ran.
func ResultOf(status int, rejected []string) brain.Result {
	switch {
	case status == 200:
		return brain.OK
	case (status == 503 || status == 504) && len(rejected) == 1 && rejected[0] == "1":
		return brain.Rejected
	default:
		return brain.Errored
	}
}
