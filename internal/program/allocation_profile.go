//go:build !meter

package program

// writeAllocationProfile does nothing: only builds for the benchmarks of the request path have the profile.
func writeAllocationProfile() error { return nil }
