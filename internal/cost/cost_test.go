package cost

import "testing"

var allocated [][]byte // a package variable, so that the compiler cannot omit the allocations

// TestRead: Read counts every allocation, including those of the smallest objects, and Parse reads the line that String
// writes.
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
		t.Errorf("after allocating %d objects of %d bytes: got usage %+v", objects, size, u)
	}
	if after.UserMicros+after.SystemMicros <= 0 {
		t.Errorf("got usage %+v, want processor time above 0", after)
	}
	if _, err := Parse("allocations=x"); err == nil {
		t.Error("parsing a truncated line succeeded, want an error")
	}
}
