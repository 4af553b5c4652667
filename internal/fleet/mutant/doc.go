// Package mutant injects faults into a program that is built with the tag mutant or plant. With them the fleet's tests,
// which run real processes, prove that they detect each fault. Without these tags the package injects no faults.
package mutant
