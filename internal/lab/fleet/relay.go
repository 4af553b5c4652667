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
	// fleetPort is the port on which every process listens for the others. Each process has its own address.
	fleetPort = 7946
	// slotsPerNode is the number of addresses per node: two between which the node moves, and one for a stranger, another
	// process that uses its name.
	slotsPerNode = 3
	// maxSlots is the number of addresses of a block that may be used.
	maxSlots = 250
	// blocks is the number of address blocks from which rigs that run at the same time choose one each.
	blocks = 250
	// blockAttempts is the number of blocks that a rig tries until it finds a free one. The first one follows from its
	// process ID, and blockStride is the distance to the next.
	blockAttempts = 200
	blockStride   = 7
	// relayStream separates the random numbers of the relays from others drawn with the same seed.
	relayStream = 0x6f6c697665
)

// Relays forward the traffic between the processes. Each address of a process has a relay, and the other processes only
// know the relay's address. A relay identifies the sender by its address, so that each ordered pair of nodes has its
// own link.
type Relays struct {
	processBlock string // first three numbers of the processes' addresses
	relayBlock   string // first three numbers of the relays' addresses
	names        []string
	cutsIgnored  bool // the rig is a mutant that makes no cuts

	mu    sync.RWMutex
	links map[linkKey]*link

	randomMu sync.Mutex // guards random
	random   *rand.Rand

	relays  []*relay
	closed  atomic.Bool
	running sync.WaitGroup
	streams sync.Map // set of the open connections (net.Conn)
}

// relay forwards the traffic to one address.
type relay struct {
	relays  *Relays
	node    int // index of the node behind it; see Relays.nodeOf
	slot    int
	udp     *net.UDPConn
	tcp     *net.TCPListener
	process netip.AddrPort // address of the process behind it
}

// NewRelays opens the relays of the given nodes. The seed determines their random decisions.
func NewRelays(names []string, seed uint64) (*Relays, error) {
	if len(names) == 0 || len(names) > MaxNodes {
		return nil, fmt.Errorf("%d processes, but there must be from 1 to %d", len(names), MaxNodes)
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
	return nil, fmt.Errorf("no free addresses for the relays: %w", err)
}

// open opens and starts all relays. If one fails, it closes all of them.
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

// nodeOf returns the index of the node that a slot belongs to. The slot of a stranger belongs to no node; its own
// number serves as index, which is greater than that of any node.
func (r *Relays) nodeOf(slot int) int {
	if nodes := len(r.names); slot < 2*nodes {
		return slot % nodes
	}
	return slot
}

// ProcessAddress returns the address on which the process in a slot listens.
func (r *Relays) ProcessAddress(slot int) string {
	return fmt.Sprintf("%s.%d:%d", r.processBlock, slot+1, fleetPort)
}

// RelayAddress returns the address at which the other processes reach the process in a slot.
func (r *Relays) RelayAddress(slot int) string {
	return fmt.Sprintf("%s.%d:%d", r.relayBlock, slot+1, fleetPort)
}

// sender returns the index of the node whose process has an address, and false if no process has it.
func (r *Relays) sender(address netip.Addr) (int, bool) {
	b := address.Unmap().As4()
	block := fmt.Sprintf("%d.%d.%d", b[0], b[1], b[2])
	host := int(b[3])
	if block != r.processBlock || host < 1 || host > slotsPerNode*len(r.names) {
		return 0, false
	}
	return r.nodeOf(host - 1), true
}

// chance decides at random whether an event of the given probability happens. It draws no random number if the
// probability is 0.
func (r *Relays) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Float64() < probability
}
