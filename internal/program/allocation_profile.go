//go:build !meter

package program

// writeAllocationProfile does nothing. Only builds with the tag meter, for the benchmarks of the request path, write an
// allocation profile.
func writeAllocationProfile() error { return nil }
