// Package admin is the operators' listener: a client sends one line with one command and gets one line back, SUCCESS or
// FAILURE and what there is to say.
package admin
