package link

import "strings"

// AddressMapper is a Fabric on which programs outside the modelled services (the nodes) reach the modelled machines
// at other addresses than the services do.
type AddressMapper interface {
	// MapAddress returns the address at which the program on the machine by reaches a modelled address.
	MapAddress(by, addr string) string
}

// MapAddress returns the address at which the program on the machine by reaches addr: addr itself, unless the Fabric
// is an AddressMapper. An empty address stays empty.
func MapAddress(f Fabric, by, addr string) string {
	mapper, ok := f.(AddressMapper)
	if !ok || addr == "" {
		return addr
	}
	return mapper.MapAddress(by, addr)
}

// Dialer returns the host that dialed a connection, by the connection's ID.
func Dialer(id string) string {
	host, _, _ := strings.Cut(id, ">")
	return host
}
