package transport

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// TestBuffersHaveOneOwner guards against a buffer with two owners: the bytes that an owner writes must stay unchanged
// until it puts the buffer back.
func TestBuffersHaveOneOwner(t *testing.T) {
	var home bufferPool
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			mark := bytes.Repeat([]byte{byte('a' + i)}, 200<<10)
			for n := range 300 {
				size := 1 + n*n%len(mark)
				b := home.get(size)
				copy(b.bytes, mark[:size])
				if len(b.bytes) < size || strings.Trim(string(b.bytes[:size]), string(mark[:1])) != "" {
					t.Errorf("buffer of %d bytes, want %d, or it contains bytes of another owner", len(b.bytes), size)
				}
				home.put(b)
			}
		})
	}
	all.Wait()
}
