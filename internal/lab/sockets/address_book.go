package sockets

import (
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
)

// addressView is a modelled address as seen by one viewer: a node, or, if viewer is empty, any other program.
type addressView struct{ viewer, addr string }

// addressBook assigns loopback addresses: each machine has an IP, and each of its addresses has a port per viewer,
// which stays the same however often somebody listens there. No port number is fixed in advance.
type addressBook struct {
	mu        sync.Mutex
	ipPrefix  string // first two bytes of all IPs; empty: 127.0.0.1 is the only IP
	ips       map[string]string
	nodes     []string
	realAddrs map[addressView]string // real address of each view
	usedAddrs map[string]bool        // the values of realAddrs
}

// networkCount is the number of networks created by this process.
var networkCount atomic.Int64

func newAddressBook() *addressBook {
	b := &addressBook{ips: map[string]string{}, realAddrs: map[addressView]string{}, usedAddrs: map[string]bool{}}
	// Processes that run at the same time rarely share a prefix, and neither do several networks of one process. A port
	// on which nobody listens for a moment is therefore not taken by another one.
	prefix := fmt.Sprintf("127.%d", 8+(os.Getpid()+int(networkCount.Add(1))*17)%240)
	if l, err := net.Listen("tcp", prefix+".0.1:0"); err == nil { // some systems have only 127.0.0.1
		l.Close()
		b.ipPrefix = prefix
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

// viewers returns every viewer: the empty one for programs that are not nodes, and each node.
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

// viewOf returns the view of addr for a program. All programs share one view of a node's address, and unknown
// programs have the view of the empty viewer.
func (b *addressBook) viewOf(viewer, addr string) addressView {
	if slices.Contains(b.nodes, hostOf(addr)) || !slices.Contains(b.nodes, viewer) {
		viewer = ""
	}
	return addressView{viewer, addr}
}

// realAddr returns the real address. If nobody has listened at it yet, it reserves one for a later listener.
func (b *addressBook) realAddr(viewer, addr string) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := b.viewOf(viewer, addr)
	if at := b.realAddrs[view]; at != "" {
		return at, nil
	}
	l, err := b.bind(view)
	if err != nil {
		return b.ipOf(hostOf(addr)) + ":0", err // an address at which nobody listens
	}
	l.Close()
	return b.realAddrs[view], nil
}

// listen listens at the real address of a view.
func (b *addressBook) listen(view addressView) (*net.TCPListener, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bind(view)
}

// bind listens at the address of the view, or at a new one that no other view has.
func (b *addressBook) bind(view addressView) (*net.TCPListener, error) {
	at, known := b.realAddrs[view]
	if !known {
		at = b.ipOf(hostOf(view.addr)) + ":0"
	}
	for {
		l, err := net.Listen("tcp", at)
		if err != nil {
			return nil, err
		}
		realAddr := l.Addr().String()
		if !known && b.usedAddrs[realAddr] { // the view that owns the port does not listen at this moment
			defer l.Close() // held until another port is found
			continue
		}
		b.realAddrs[view], b.usedAddrs[realAddr] = realAddr, true
		return l.(*net.TCPListener), nil
	}
}
