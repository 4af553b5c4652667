//go:build !race

package stage

const racing = false
