// Package settings decodes the settings of an instance, which it gets in one of two forms: the simulator's wire has
// them as lines of path=value (DecodeText), and a node's configuration as nested JSON (DecodeNode). Both forms have the
// same names and units: times are in nanoseconds.
package settings
