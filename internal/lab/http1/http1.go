// Package http1 parses HTTP/1.1 messages incrementally, for the parts of the lab that use HTTP without goroutines:
// peers, discovery and clients. It is strict: a message that net/http would repair is an error here.
package http1

import "strings"

// Message is a complete request or response.
type Message struct {
	Method string // of a request
	Target string // of a request
	Status int    // of a response
	Fields []Field
	Body   []byte
	Close  bool // the sender requests that the connection be closed
	Size   int  // length of the whole message on the wire, in bytes
}

// Field is one header field. The name is spelled as it was sent.
type Field struct {
	Name  string
	Value string
}

// Get returns the value of the last field of that name, ignoring case, and the number n of such fields.
func (m *Message) Get(name string) (value string, n int) {
	for _, f := range m.Fields {
		if strings.EqualFold(f.Name, name) {
			value = f.Value
			n++
		}
	}
	return value, n
}
