package sockets

import (
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
)

// addressView is an address of the world's as a program outside of it reaches it; by
// is empty for whoever is no Guest.
type addressView struct{ viewer, addr string }

// addressBook knows where on loopback the machines are: each has an IP of its own, and
// each of its addresses a port of its own for every Guest, which stays the same
// however often somebody listens there. No port is fixed beforehand.
type addressBook struct {
	mu        sync.Mutex
	ipPrefix  string // the first two numbers of all IPs; empty: there is 127.0.0.1 only
	ips       map[string]string
	nodes     []string
	realAddrs map[addressView]string // real addresses
	usedAddrs map[string]bool        // they, the other way round
}

// networkCount counts those of this process.
var networkCount atomic.Int64

func newAddressBook() *addressBook {
	b := &addressBook{ips: map[string]string{}, realAddrs: map[addressView]string{}, usedAddrs: map[string]bool{}}
	// Processes that run at one time seldom share a block: a port that nobody
	// listens at for a moment is then taken by nobody else.
	// So do several networks of one process.
	block := fmt.Sprintf("127.%d", 8+(os.Getpid()+int(networkCount.Add(1))*17)%240)
	if l, err := net.Listen("tcp", block+".0.1:0"); err == nil { // some systems have 127.0.0.1 alone
		l.Close()
		b.ipPrefix = block
	}
	return b
}

func (b *addressBook) addNode(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Contains(b.nodes, host) {
		b.nodes = append(b.nodes, host)
	}
}

// viewers are the ways to look at the world: anyone's, and each Guest's.
func (b *addressBook) viewers() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string{""}, b.nodes...)
}

func (b *addressBook) assignIP(host string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ipOf(host)
}

func (b *addressBook) ipOf(host string) string {
	if b.ipPrefix == "" {
		return "127.0.0.1"
	}
	ip := b.ips[host]
	if ip == "" {
		n := len(b.ips)
		ip = fmt.Sprintf("%s.%d.%d", b.ipPrefix, n/254%256, 1+n%254)
		b.ips[host] = ip
	}
	return ip
}

// viewOf is how by reaches addr. Guests are looked at by all alike, and by a
// stranger as by anyone.
func (b *addressBook) viewOf(by, addr string) addressView {
	if slices.Contains(b.nodes, hostOf(addr)) || !slices.Contains(b.nodes, by) {
		by = ""
	}
	return addressView{by, addr}
}

// realAddr is the real address. One that nobody has listened at yet is kept for whoever will.
func (b *addressBook) realAddr(by, addr string) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.viewOf(by, addr)
	if at := b.realAddrs[d]; at != "" {
		return at, nil
	}
	l, err := b.bind(d)
	if err != nil {
		return b.ipOf(hostOf(addr)) + ":0", err // where nobody listens
	}
	l.Close()
	return b.realAddrs[d], nil
}

// listen listens at a door.
func (b *addressBook) listen(d addressView) (*net.TCPListener, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bind(d)
}

// bind takes the door's port, or a new one that no other door has.
func (b *addressBook) bind(d addressView) (*net.TCPListener, error) {
	at, known := b.realAddrs[d]
	if !known {
		at = b.ipOf(hostOf(d.addr)) + ":0"
	}
	for {
		l, err := net.Listen("tcp", at)
		if err != nil {
			return nil, err
		}
		real := l.Addr().String()
		if !known && b.usedAddrs[real] { // its owner does not listen at this moment
			defer l.Close() // not before another is found
			continue
		}
		b.realAddrs[d], b.usedAddrs[real] = real, true
		return l.(*net.TCPListener), nil
	}
}
