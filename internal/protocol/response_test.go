package protocol

import (
	"testing"

	"olivebridge/balancer"
)

// TestClassifyResponse: a 503 or 504 proves that the server did not process the request only if HeaderRejected has
// exactly one value, "1".
func TestClassifyResponse(t *testing.T) {
	for _, c := range []struct {
		status   int
		rejected []string
		want     balancer.Result
	}{
		{200, nil, balancer.OK},
		{500, nil, balancer.Errored},
		{503, []string{"1"}, balancer.Rejected},
		{504, []string{"1"}, balancer.Rejected},
		{503, nil, balancer.Errored},
		{503, []string{"1", "0"}, balancer.Errored},
		{504, []string{"0"}, balancer.Errored},
		{500, []string{"1"}, balancer.Errored},
		{404, nil, balancer.Errored},
		{302, nil, balancer.Errored},
		{206, nil, balancer.Errored},
	} {
		if got := ClassifyResponse(c.status, c.rejected); got != c.want {
			t.Errorf("status %d, header values %q: got result %d, want %d", c.status, c.rejected, got, c.want)
		}
	}
}
