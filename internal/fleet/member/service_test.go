package member

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// freeAddr returns an address at which no process listens.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := netip.MustParseAddrPort(l.Addr().String())
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		l.Close()
		if err == nil {
			u.Close()
			return addr
		}
	}
}

// newService returns a service that joins the given addresses and is closed after the test.
func newService(t *testing.T, name, dir string, addr netip.AddrPort, join ...netip.AddrPort) *Service {
	t.Helper()
	c := Config{Name: name, Zone: "east", Fleet: "test", Listen: addr, Advertise: addr, Directory: dir}
	for _, a := range join {
		c.Join = append(c.Join, a.String())
	}
	s := New(c)
	t.Cleanup(s.Close)
	return s
}

func joinFleet(t *testing.T, s *Service) {
	t.Helper()
	if err := s.Join(false); err != nil {
		t.Fatal(err)
	}
}

// awaitView waits for a view that meets a condition, and fails the test after 30 s.
func awaitView(t *testing.T, s *Service, description string, condition func(v *View) bool) *View {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	defer stop()
	for after := uint64(0); ; {
		v, err := s.Next(ctx, after)
		if err != nil {
			t.Fatalf("%s: %v; %s; %s", description, err, s.Status(), s.Counters())
		}
		if condition(v) {
			return v
		}
		after = v.Number
	}
}

func hasState(name string, state State) func(v *View) bool {
	return func(v *View) bool {
		m, _ := v.Lookup(name)
		return m.State == state
	}
}

// A planned leave must be distinguished from a failure, and the next incarnation of a failed node must be accepted.
func TestLeaveFailureAndRestart(t *testing.T) {
	a, b, c := freeAddr(t), freeAddr(t), freeAddr(t)
	dir := t.TempDir()
	n1 := newService(t, "n1", dir+"/1", a)
	n2, n3 := newService(t, "n2", dir+"/2", b, a), newService(t, "n3", dir+"/3", c, a)
	for _, s := range []*Service{n1, n2, n3} {
		joinFleet(t, s)
	}
	for _, s := range []*Service{n1, n2, n3} {
		awaitView(t, s, "three", func(v *View) bool { return len(v.Present()) == 3 })
	}
	n2.AnnounceLeave()
	awaitView(t, n1, "n2 announces that it leaves", hasState("n2", Leaving))
	n2.Leave()
	awaitView(t, n1, "n2 has left", hasState("n2", Left))
	n3.Close()
	awaitView(t, n1, "n3 has failed", hasState("n3", Dead))
	restarted := newService(t, "n3", dir+"/3", c, a)
	joinFleet(t, restarted)
	v := awaitView(t, n1, "the next incarnation of n3", hasState("n3", Alive))
	if m, _ := v.Lookup("n3"); m.Incarnation.Number != 2 {
		t.Errorf("got incarnation %v, want number 2", m.Incarnation)
	}
	if status := n1.Status(); !strings.Contains(status, "n2 left") || !strings.Contains(n1.Counters(), "deaths=1 ") {
		t.Errorf("got status %s and counters %s, want n2 left and deaths=1", status, n1.Counters())
	}
}

// In an upgrade one process passes the membership to the other. No view may miss the node or contain it twice.
func TestUpgradeTransfersMembership(t *testing.T) {
	a, b := freeAddr(t), freeAddr(t)
	dir := t.TempDir()
	n1, predecessor := newService(t, "n1", dir+"/1", a), newService(t, "n2", dir+"/2", b, a)
	joinFleet(t, n1)
	joinFleet(t, predecessor)
	awaitView(t, n1, "two", hasState("n2", Alive))
	next := newService(t, "n2", dir+"/2", b, a)
	if err := next.Join(false); err == nil || !strings.Contains(err.Error(), "is in use") {
		t.Errorf("Join without waiting: got error %v, want an address in use", err)
	}
	if err := next.Join(true); err != nil {
		t.Fatal(err)
	}
	predecessor.Release()
	awaitView(t, n1, "the next incarnation of n2", func(v *View) bool {
		m, _ := v.Lookup("n2")
		if len(v.Members) != 2 || !m.State.Present() {
			t.Errorf("view during the upgrade: %s", v)
		}
		return m.Incarnation.Number == 2
	})
	if status := predecessor.Status(); !strings.HasPrefix(status, "no place") {
		t.Error(status)
	}
}

// If two nodes use one name, the node with the settled claim keeps the name, and the other gives it up and reports the
// reason.
func TestNameConflict(t *testing.T) {
	a, b, c := freeAddr(t), freeAddr(t), freeAddr(t)
	dir := t.TempDir()
	n1, n2 := newService(t, "n1", dir+"/1", a), newService(t, "n2", dir+"/2", b, a)
	joinFleet(t, n1)
	joinFleet(t, n2)
	v := awaitView(t, n1, "two", hasState("n2", Alive))
	settled, _ := v.Lookup("n2")
	time.Sleep(claimSettleDelay + time.Second) // n2's claim settles after claimSettleDelay
	newcomer := newService(t, "n2", dir+"/3", c, a)
	joinFleet(t, newcomer)
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(newcomer.Status(), "is used by another process"); {
		if time.Now().After(deadline) {
			t.Fatalf("the newcomer does not give up the name: %s", newcomer.Status())
		}
		time.Sleep(20 * time.Millisecond)
	}
	if m, _ := n1.View().Lookup("n2"); m.Incarnation != settled.Incarnation || !m.State.Present() {
		t.Errorf("the settled member is %s in incarnation %v", m.State, m.Incarnation)
	}
}

// Packets and streams that are corrupt or belong to another fleet must be counted and must not change the view.
func TestForeignPacketsAreDropped(t *testing.T) {
	a := freeAddr(t)
	n1 := newService(t, "n1", t.TempDir(), a)
	joinFleet(t, n1)
	before := n1.View().Number
	u, err := net.Dial("udp", a.String())
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	foreign := encodePacket("another fleet", "x", 0, []byte{aliveMessage, 0x80})
	corrupt := encodePacket("test", "x", 0, []byte{aliveMessage, 0x80})
	corrupt[len(corrupt)-1]++
	empty := encodePacket("test", "x", 0, nil)
	for _, p := range [][]byte{{}, {1}, make([]byte, 1500), foreign, corrupt, empty, corrupt[:len(corrupt)-1]} {
		u.Write(p)
	}
	corruptFrame := append([]byte{0, 0, 0, byte(len(corrupt))}, corrupt...)
	for _, p := range [][]byte{{}, {0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 40, 1}, corruptFrame} {
		c, err := net.Dial("tcp", a.String())
		if err != nil {
			t.Fatal(err)
		}
		c.Write(p)
		c.(*net.TCPConn).CloseWrite()
		c.Read(make([]byte, 1)) // blocks until the other side closes the connection
		c.Close()
	}
	for deadline := time.Now().Add(10 * time.Second); n1.traffic.foreign.Load() < 10; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(n1.Counters())
		}
	}
	if n1.View().Number != before || n1.traffic.streamsIn.Load() != 0 {
		t.Errorf("got a new view or a stream: status %s, counters %s", n1.Status(), n1.Counters())
	}
}

// A directory that cannot be used must result in one clear error, and its files must stay unchanged.
func TestDirectoryErrors(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good")
	if l, err := beginIncarnation(good, "n1"); err != nil || l.Number != 1 {
		t.Fatal(l, err)
	}
	stored, err := os.ReadFile(filepath.Join(good, incarnationFile))
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) string {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, incarnationFile), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return dir
	}
	full := write(string(stored))
	if err := os.Symlink("/dev/full", filepath.Join(full, incarnationFile+".new")); err != nil {
		t.Fatal(err)
	}
	for dir, want := range map[string]string{
		write(string(stored[:len(stored)/2])): "cannot be read",
		write(""):                             "cannot be read",
		write(strings.Replace(string(stored), `"form":1`, `"form":2`, 1)): "has form 2",
		write(strings.Replace(string(stored), `"n1"`, `"n9"`, 1)):         `is of node "n9", this one is "n1"`,
		full: "no space left",
		filepath.Join(write(string(stored)), incarnationFile): "not a directory",
	} {
		_, err := beginIncarnation(dir, "n1")
		if err == nil || !strings.HasPrefix(err.Error(), "directory: ") || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error that contains %s: got %v", want, err)
		}
	}
	if l, err := beginIncarnation(good, "n1"); err != nil || l.Number != 2 {
		t.Error(l, err)
	}
	if n1 := newService(t, "n1", full, freeAddr(t)); n1.Join(false) == nil {
		t.Error("Join succeeded although the incarnation cannot be stored")
	}
}

// A slow caller of Next gets the newest view, and a wait without a new view ends with the error of the context.
func TestNextView(t *testing.T) {
	n1 := newService(t, "n1", t.TempDir(), freeAddr(t))
	for i := range 5 {
		n1.apply(aliveEventOf(i))
	}
	v, err := n1.Next(t.Context(), 2)
	if err != nil || v.Number != 6 || len(v.Members) != 6 {
		t.Error(v, err)
	}
	ctx, stop := context.WithTimeout(t.Context(), time.Millisecond)
	defer stop()
	if _, err := n1.Next(ctx, v.Number); !errors.Is(err, context.DeadlineExceeded) {
		t.Error(err)
	}
}

func aliveEventOf(i int) Event {
	return Event{Kind: EventAlive, Name: fmt.Sprintf("m%d", i), Addr: "x", Incarnation: Incarnation{"aa", 1}}
}

func FuzzPackets(f *testing.F) {
	f.Add(encodePacket("test", "x", 7, []byte{compoundMessage, 2, 0, 1, 0, 2, 5, 5, 5}))
	f.Add([]byte{crcMessage, 0, 0, 0, 0, suspectMessage, 0x81})
	f.Fuzz(func(t *testing.T, p []byte) {
		forEachSWIMMessage(p, func(swimMessage) {})
		if sender, _, payload, err := decodePacket("test", p); err == nil && len(sender)+len(payload)+packetHeader != len(p) {
			t.Errorf("sender %q and %d bytes of payload do not add up to the packet", sender, len(payload))
		}
		decodeMetadata(p)
	})
}

// Two nodes that start while all configured addresses to join are down must find each other by their stored addresses.
func TestRestartByKnownAddresses(t *testing.T) {
	a, b, c := freeAddr(t), freeAddr(t), freeAddr(t)
	dir := t.TempDir()
	n1 := newService(t, "n1", dir+"/1", a)
	n2, n3 := newService(t, "n2", dir+"/2", b, a), newService(t, "n3", dir+"/3", c, a)
	for _, s := range []*Service{n1, n2, n3} {
		joinFleet(t, s)
	}
	for _, s := range []*Service{n2, n3} {
		awaitView(t, s, "three", func(v *View) bool { return len(v.Present()) == 3 })
	}
	stored := func(dir string) bool { return len(readKnownAddrs(dir)) >= 2 }
	for deadline := time.Now().Add(20 * time.Second); !stored(dir+"/2") || !stored(dir+"/3"); {
		if time.Now().After(deadline) {
			t.Fatal("the addresses of members are not stored")
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, s := range []*Service{n1, n2, n3} {
		s.Close()
	}
	n2, n3 = newService(t, "n2", dir+"/2", b, a), newService(t, "n3", dir+"/3", c, a)
	joinFleet(t, n2)
	joinFleet(t, n3)
	awaitView(t, n2, "the other node", hasState("n3", Alive))
	if err := os.WriteFile(dir+"/2/"+knownAddrsFile, []byte(`["x", "127.0.0.1:1"`), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := readKnownAddrs(dir + "/2"); len(got) != 0 {
		t.Errorf("got addresses %v from a truncated file, want none", got)
	}
}
