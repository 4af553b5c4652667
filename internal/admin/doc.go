// Package admin implements the listener for operators: a client sends one line with one command and receives one line
// that starts with SUCCESS or FAILURE and continues with a message.
package admin
