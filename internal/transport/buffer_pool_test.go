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
	var pool bufferPool
	var workers sync.WaitGroup
	for i := range 8 {
		workers.Go(func() {
			mark := bytes.Repeat([]byte{byte('a' + i)}, 200<<10)
			for n := range 300 {
				size := 1 + n*n%len(mark)
				b := pool.get(size)
				copy(b.bytes, mark[:size])
				if len(b.bytes) < size || strings.Trim(string(b.bytes[:size]), string(mark[:1])) != "" {
					t.Errorf("buffer of %d bytes, want %d, or it contains bytes of another owner", len(b.bytes), size)
				}
				pool.put(b)
			}
		})
	}
	workers.Wait()
}
