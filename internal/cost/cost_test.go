package cost

import "testing"

var allocated [][]byte // keeps the compiler from leaving the allocations out

// TestRead: every allocation is counted, of the smallest objects as well, and Parse reads what String writes.
func TestRead(t *testing.T) {
	before := Read()
	const objects, size = 5000, 8
	for range objects {
		allocated = append(allocated, make([]byte, size))
	}
	after, err := Parse(Read().String())
	if err != nil {
		t.Fatal(err)
	}
	u := after.Sub(before)
	if u.Allocations < objects || u.Allocations > objects+200 || u.AllocatedBytes < objects*size {
		t.Errorf("%d objects of %d bytes: %+v", objects, size, u)
	}
	if after.UserMicros+after.SystemMicros <= 0 {
		t.Errorf("no processor time: %+v", after)
	}
	if _, err := Parse("allocations=x"); err == nil {
		t.Error("no error for a torn line")
	}
}
