// Package settings decodes the settings of an instance of the load balancer. They come in one of two forms: as lines of
// path=value in the simulator's wire protocol (DecodeText), or as nested JSON in a node's configuration (DecodeNode).
// Both forms have the same names and units. Times are in nanoseconds.
package settings
