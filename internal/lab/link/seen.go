package link

import "strings"

// Seer is a Fabric on which programs outside the world (the nodes) reach its
// machines elsewhere than under the names that the world has for them.
type Seer interface {
	// Seen is where the program on a machine reaches an address of the world's.
	Seen(by, addr string) string
}

// Seen is where the program on a machine reaches an address: there, unless the
// Fabric is a Seer and knows otherwise.
func Seen(f Fabric, by, addr string) string {
	if s, ok := f.(Seer); ok && addr != "" {
		return s.Seen(by, addr)
	}
	return addr
}

// Dialer is the host that dialed a connection, by its ID.
func Dialer(id string) string {
	host, _, _ := strings.Cut(id, ">")
	return host
}
