package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
)

const (
	// fleetPort is where every process listens for the others, each on an address of its own.
	fleetPort = 7946
	// slotsPerNode is how many addresses there are for each node: two that it moves between, and one for a stranger that
	// uses its name.
	slotsPerNode = 3
	// maxSlots is how many addresses of a block are used.
	maxSlots = 250
	// blocks is how many blocks of addresses rigs that run at one time may choose from.
	blocks = 250
	// blockAttempts and blockStride are how a rig looks for a free block, from one that its process ID gives.
	blockAttempts = 200
	blockStride   = 7
	// relayStream distinguishes the relays' random draws from others of the same seed.
	relayStream = 0x6f6c697665
)

// Relays forward what the processes send each other. Each address of a process has a relay, whose address is what
// others are told of the process. A relay knows the sender by its address, so that each ordered pair of nodes has a
// link of its own.
type Relays struct {
	processBlock string // the first three numbers of the processes' own addresses
	relayBlock   string // and of the relays'
	names        []string
	cutsIgnored  bool // the rig has a fault on purpose: it makes no cuts

	mu    sync.RWMutex
	links map[linkKey]*link

	drawing sync.Mutex // held while a number is drawn
	random  *rand.Rand

	relays  []*relay
	closed  atomic.Bool
	running sync.WaitGroup
	streams sync.Map // of net.Conn, those that are open
}

// relay is one address.
type relay struct {
	relays  *Relays
	node    int // that it stands for; see Relays.nodeOf
	slot    int
	udp     *net.UDPConn
	tcp     *net.TCPListener
	process netip.AddrPort // of the process behind it
}

// NewRelays opens the relays of some nodes. The seed gives their random draws.
func NewRelays(names []string, seed uint64) (*Relays, error) {
	if len(names) == 0 || len(names) > MaxNodes {
		return nil, fmt.Errorf("%d processes, not from 1 to %d", len(names), MaxNodes)
	}
	r := &Relays{
		names:  names,
		links:  map[linkKey]*link{},
		random: rand.New(rand.NewPCG(seed, relayStream)),
	}
	var err error
	for attempt := range blockAttempts {
		block := (os.Getpid() + attempt*blockStride) % blocks
		r.processBlock = fmt.Sprintf("127.250.%d", block)
		r.relayBlock = fmt.Sprintf("127.251.%d", block)
		if err = r.open(); err == nil {
			return r, nil
		}
	}
	return nil, fmt.Errorf("no addresses for relays: %w", err)
}

// open opens and starts all relays, or none.
func (r *Relays) open() error {
	for slot := range slotsPerNode * len(r.names) {
		one, err := r.listen(slot)
		if err != nil {
			r.closeListeners()
			r.relays = nil
			return err
		}
		r.relays = append(r.relays, one)
	}
	for _, one := range r.relays {
		r.running.Go(one.forwardPackets)
		r.running.Go(one.acceptStreams)
	}
	return nil
}

func (r *Relays) listen(slot int) (*relay, error) {
	address := netip.MustParseAddrPort(r.RelayAddress(slot))
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return &relay{
		relays:  r,
		node:    r.nodeOf(slot),
		slot:    slot,
		udp:     udp,
		tcp:     tcp,
		process: netip.MustParseAddrPort(r.ProcessAddress(slot)),
	}, nil
}

func (r *Relays) closeListeners() {
	for _, one := range r.relays {
		_ = one.udp.Close()
		_ = one.tcp.Close()
	}
}

// Close closes all relays and the streams over them.
func (r *Relays) Close() {
	if r.closed.Swap(true) {
		return
	}
	r.closeListeners()
	r.streams.Range(func(conn, _ any) bool {
		_ = conn.(net.Conn).Close()
		return true
	})
	r.running.Wait()
}

// nodeOf is the index of the node that a slot belongs to. A stranger's slot belongs to no node, and has an index of its
// own beyond theirs.
func (r *Relays) nodeOf(slot int) int {
	if nodes := len(r.names); slot < 2*nodes {
		return slot % nodes
	}
	return slot
}

// ProcessAddress is where the process in a slot listens.
func (r *Relays) ProcessAddress(slot int) string {
	return fmt.Sprintf("%s.%d:%d", r.processBlock, slot+1, fleetPort)
}

// RelayAddress is where others reach the process in a slot.
func (r *Relays) RelayAddress(slot int) string {
	return fmt.Sprintf("%s.%d:%d", r.relayBlock, slot+1, fleetPort)
}

// sender is the index of the node whose process has an address; false: none has.
func (r *Relays) sender(address netip.Addr) (int, bool) {
	b := address.Unmap().As4()
	block := fmt.Sprintf("%d.%d.%d", b[0], b[1], b[2])
	host := int(b[3])
	if block != r.processBlock || host < 1 || host > slotsPerNode*len(r.names) {
		return 0, false
	}
	return r.nodeOf(host - 1), true
}

// chance draws whether something of a probability happens. Nothing is drawn for a probability of 0.
func (r *Relays) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	r.drawing.Lock()
	defer r.drawing.Unlock()
	return r.random.Float64() < probability
}
