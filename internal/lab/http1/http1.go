// Package http1 parses HTTP/1.1 messages out of bytes as they arrive, for the
// parts of the lab that speak it without goroutines: peers, discovery and
// clients. It is strict: a message that net/http would repair is an error here.
package http1

import "strings"

// Message is a complete request or answer.
type Message struct {
	Method string // of a request
	Target string // of a request
	Status int    // of an answer
	Fields []Field
	Body   []byte
	Close  bool // the sender asks for the end of the connection
	Size   int  // bytes of the whole message on the wire
}

// Field is one field of a head. The name is as it was sent.
type Field struct {
	Name  string
	Value string
}

// Get returns the value of a field, whose name it compares in any case: the last
// one if there are several. n is how many there are.
func (m *Message) Get(name string) (value string, n int) {
	for _, f := range m.Fields {
		if strings.EqualFold(f.Name, name) {
			value = f.Value
			n++
		}
	}
	return value, n
}
