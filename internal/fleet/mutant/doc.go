// Package mutant makes a program built with the tag mutant or plant have faults, so that the fleet's tests over real
// processes can prove that they find them. Without these tags its functions do nothing.
package mutant
