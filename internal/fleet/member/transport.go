package member

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// socketBuffer is the size of the receive buffer requested from the kernel, in bytes. The packets of many nodes that
	// join at once fit into half of it.
	socketBuffer = 256 << 10
	// packetQueue is the maximum number of packets that wait for memberlist.
	packetQueue = 256
)

// transport carries memberlist's packets and the streams of all channels over UDP and TCP on one port. Its methods are
// safe for concurrent use.
type transport struct {
	fleet     string
	self      string // name of this node
	udp       *net.UDPConn
	tcp       *net.TCPListener
	local     netip.AddrPort
	advertise netip.AddrPort
	traffic   *traffic
	limiter   packetLimiter // owned by readPackets

	packets      chan *memberlist.Packet
	streams      chan net.Conn // streams of memberlistChannel
	channels     map[byte]func(net.Conn, string)
	observe      func(payload []byte, out bool) // called with each packet of memberlist
	serveWitness func(conn net.Conn)            // serves witnessChannel

	mu          sync.Mutex
	receptions  map[string]*reception // by sender
	nextNumbers map[string]uint32     // number of the next packet, by address
	openStreams map[*stream]bool      // streams that functions of channels serve
	closing     bool                  // Shutdown has begun, so no further stream is served

	closed     atomic.Bool
	tasks      sync.WaitGroup
	handshakes chan struct{} // semaphore with one entry for each running handshake
}

var _ memberlist.Transport = (*transport)(nil)

// openTransport listens on the node's address. The transport receives nothing before start.
func openTransport(c Config, t *traffic) (*transport, error) {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(c.Listen))
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Listen))
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	_ = udp.SetReadBuffer(socketBuffer) // best effort: the kernel may allow less
	return &transport{
		fleet:       c.Fleet,
		self:        c.Name,
		udp:         udp,
		tcp:         tcp,
		local:       c.Listen,
		advertise:   c.Advertise,
		traffic:     t,
		limiter:     packetLimiter{tokens: maxPacketsPerSecond, updatedAt: time.Now()},
		packets:     make(chan *memberlist.Packet, packetQueue),
		streams:     make(chan net.Conn),
		channels:    c.Channels,
		receptions:  map[string]*reception{},
		nextNumbers: map[string]uint32{},
		openStreams: map[*stream]bool{},
		handshakes:  make(chan struct{}, maxHandshakes),
	}, nil
}

// dialOnlyTransport returns a transport that only opens streams, because the node's other process listens on the node's
// addresses.
func dialOnlyTransport(c Config, t *traffic) *transport {
	return &transport{
		fleet:      c.Fleet,
		self:       c.Name,
		local:      c.Listen,
		traffic:    t,
		receptions: map[string]*reception{},
	}
}

// start begins to receive packets and connections. The caller must have set observe and serveWitness.
func (t *transport) start() {
	t.tasks.Go(t.readPackets)
	t.tasks.Go(t.acceptStreams)
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.Addr().AsSlice(), int(t.advertise.Port()), nil
}

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(payload []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	t.observe(payload, true)
	packet := encodePacket(t.fleet, t.self, t.nextNumber(addr), payload)
	_, err = t.udp.WriteToUDPAddrPort(packet, to)
	t.traffic.packetsOut.Add(1)
	t.traffic.bytesOut.Add(int64(len(packet)))
	return time.Now(), err
}

// nextNumber returns the number of the next packet to an address.
func (t *transport) nextNumber(addr string) uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.nextNumbers) > 4*MaxMembers { // drop addresses no longer used; receivers assume a restart
		clear(t.nextNumbers)
	}
	number := t.nextNumbers[addr]
	t.nextNumbers[addr] = number + 1
	return number
}

// PacketCh implements memberlist.Transport.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout implements memberlist.Transport. The connection's source is the process's own IP address, by which other
// members, and devices on the path, identify the process.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.dial(addr, memberlistChannel, timeout)
}

// dial opens a stream to a channel of the node at an address.
func (t *transport) dial(addr string, channel byte, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.local.Addr().AsSlice()}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	t.traffic.streamsOut.Add(1)
	s := t.newStream(conn)
	s.channel = channel
	return s, nil
}

// newStream returns a stream on a connection.
func (t *transport) newStream(conn net.Conn) *stream {
	return &stream{
		Conn:      countedConn{conn, t.traffic},
		fleet:     t.fleet,
		self:      t.self,
		onFrame:   t.recordStreamFrame,
		onForeign: func() { t.traffic.foreign.Add(1) },
	}
}

// Shutdown implements memberlist.Transport. It also closes the streams that functions of channels serve.
func (t *transport) Shutdown() error {
	if t.closed.Swap(true) {
		return nil
	}
	err := errors.Join(t.udp.Close(), t.tcp.Close())
	t.mu.Lock()
	t.closing = true
	for s := range t.openStreams {
		_ = s.Close()
	}
	t.mu.Unlock()
	t.tasks.Wait()
	return err
}
