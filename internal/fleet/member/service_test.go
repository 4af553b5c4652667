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

// free is an address that nobody has.
func free(t *testing.T) netip.AddrPort {
	t.Helper()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at := netip.MustParseAddrPort(l.Addr().String())
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		l.Close()
		if err == nil {
			u.Close()
			return at
		}
	}
}

// one makes a service that joins others.
func one(t *testing.T, name, dir string, at netip.AddrPort, join ...netip.AddrPort) *Service {
	t.Helper()
	c := Config{Name: name, Zone: "east", Fleet: "test", Listen: at, Advertise: at, Directory: dir}
	for _, a := range join {
		c.Join = append(c.Join, a.String())
	}
	s := New(c)
	t.Cleanup(s.Close)
	return s
}

func take(t *testing.T, s *Service) {
	t.Helper()
	if err := s.Take(false); err != nil {
		t.Fatal(err)
	}
}

// await waits for a view that is as wanted.
func await(t *testing.T, s *Service, what string, is func(v *View) bool) *View {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	defer stop()
	for after := uint64(0); ; {
		v, err := s.Next(ctx, after)
		if err != nil {
			t.Fatalf("%s: %v; %s; %s", what, err, s.Status(), s.Counters())
		}
		if is(v) {
			return v
		}
		after = v.Number
	}
}

func has(name string, state State) func(v *View) bool {
	return func(v *View) bool {
		m, _ := v.Of(name)
		return m.State == state
	}
}

// Three find each other; one leaves, one dies: the third tells the two apart, and takes the dead one's next incarnation.
func TestThree(t *testing.T) {
	a, b, c := free(t), free(t), free(t)
	dir := t.TempDir()
	n1 := one(t, "n1", dir+"/1", a)
	n2, n3 := one(t, "n2", dir+"/2", b, a), one(t, "n3", dir+"/3", c, a)
	for _, s := range []*Service{n1, n2, n3} {
		take(t, s)
	}
	for _, s := range []*Service{n1, n2, n3} {
		await(t, s, "three", func(v *View) bool { return len(v.Here()) == 3 })
	}
	n2.Leaving()
	await(t, n1, "it says that it leaves", has("n2", Leaving))
	n2.Left()
	await(t, n1, "it has left", has("n2", Left))
	n3.Close()
	await(t, n1, "it is dead", has("n3", Dead))
	again := one(t, "n3", dir+"/3", c, a)
	take(t, again)
	v := await(t, n1, "its next incarnation", has("n3", Alive))
	if m, _ := v.Of("n3"); m.Incarnation.Number != 2 {
		t.Errorf("incarnation %v", m.Incarnation)
	}
	if said := n1.Status(); !strings.Contains(said, "n2 left") || !strings.Contains(n1.Counters(), "deaths=1 ") {
		t.Errorf("%s; %s", said, n1.Counters())
	}
}

// In an upgrade the place goes from one process to the other, and nobody sees the node gone.
func TestUpgrade(t *testing.T) {
	a, b := free(t), free(t)
	dir := t.TempDir()
	n1, predecessor := one(t, "n1", dir+"/1", a), one(t, "n2", dir+"/2", b, a)
	take(t, n1)
	take(t, predecessor)
	await(t, n1, "two", has("n2", Alive))
	next := one(t, "n2", dir+"/2", b, a)
	if err := next.Take(false); err == nil || !strings.Contains(err.Error(), "is in use") {
		t.Errorf("without patience: %v", err)
	}
	if err := next.Take(true); err != nil {
		t.Fatal(err)
	}
	predecessor.Yield()
	v := await(t, n1, "its next incarnation", func(v *View) bool {
		m, _ := v.Of("n2")
		if len(v.Members) != 2 || !m.State.Here() {
			t.Errorf("meanwhile %s", v)
		}
		return m.Incarnation.Number == 2
	})
	if said := predecessor.Status(); !strings.HasPrefix(said, "no place") {
		t.Error(said)
	}
	_ = v
}

// Of two strangers under one name the settled one stays, and the other steps back and says why.
func TestStrangers(t *testing.T) {
	a, b, c := free(t), free(t), free(t)
	dir := t.TempDir()
	n1, n2 := one(t, "n1", dir+"/1", a), one(t, "n2", dir+"/2", b, a)
	take(t, n1)
	take(t, n2)
	v := await(t, n1, "two", has("n2", Alive))
	first, _ := v.Of("n2")
	time.Sleep(settledAfter + time.Second) // its claim settles by time alone
	twin := one(t, "n2", dir+"/3", c, a)
	take(t, twin)
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(twin.Status(), "is used by another process"); {
		if time.Now().After(deadline) {
			t.Fatalf("it does not step back: %s", twin.Status())
		}
		time.Sleep(20 * time.Millisecond)
	}
	if m, _ := n1.View().Of("n2"); m.Incarnation != first.Incarnation || !m.State.Here() {
		t.Errorf("the settled one is %s in %v", m.State, m.Incarnation)
	}
}

// What is not of the fleet changes nothing and is counted.
func TestGarbage(t *testing.T) {
	a := free(t)
	n1 := one(t, "n1", t.TempDir(), a)
	take(t, n1)
	before := n1.View().Number
	u, err := net.Dial("udp", a.String())
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	foreign := seal("another fleet", "x", 0, []byte{aliveMessage, 0x80})
	torn := seal("test", "x", 0, []byte{aliveMessage, 0x80})
	torn[len(torn)-1]++
	mute := seal("test", "x", 0, nil)
	for _, p := range [][]byte{{}, {1}, make([]byte, 1500), foreign, torn, mute, torn[:len(torn)-1]} {
		u.Write(p)
	}
	for _, p := range [][]byte{{}, {0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 40, 1}, append([]byte{0, 0, 0, byte(len(torn))}, torn...)} {
		c, err := net.Dial("tcp", a.String())
		if err != nil {
			t.Fatal(err)
		}
		c.Write(p)
		c.(*net.TCPConn).CloseWrite()
		c.Read(make([]byte, 1)) // until it is closed
		c.Close()
	}
	for deadline := time.Now().Add(10 * time.Second); n1.traffic.Foreign.Load() < 10; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(n1.Counters())
		}
	}
	if n1.View().Number != before || n1.traffic.StreamsIn.Load() != 0 {
		t.Errorf("%s; %s", n1.Status(), n1.Counters())
	}
}

// A directory that will not do is one clear error, and does no harm to what is in it.
func TestDirectories(t *testing.T) {
	whole := filepath.Join(t.TempDir(), "whole")
	if l, err := enter(whole, "n1"); err != nil || l.Number != 1 {
		t.Fatal(l, err)
	}
	kept, err := os.ReadFile(filepath.Join(whole, homeFile))
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) string {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, homeFile), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return dir
	}
	full := write(string(kept))
	if err := os.Symlink("/dev/full", filepath.Join(full, homeFile+".new")); err != nil {
		t.Fatal(err)
	}
	for dir, want := range map[string]string{
		write(string(kept[:len(kept)/2])): "cannot be read",
		write(""):                         "cannot be read",
		write(strings.Replace(string(kept), `"form":1`, `"form":2`, 1)): "has form 2",
		write(strings.Replace(string(kept), `"n1"`, `"n9"`, 1)):         `is of node "n9", this one is "n1"`,
		full: "no space left",
		filepath.Join(write(string(kept)), homeFile): "not a directory",
	} {
		if _, err := enter(dir, "n1"); err == nil || !strings.HasPrefix(err.Error(), "directory: ") || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	if l, err := enter(whole, "n1"); err != nil || l.Number != 2 {
		t.Error(l, err)
	}
	if n1 := one(t, "n1", full, free(t)); n1.Take(false) == nil {
		t.Error("it takes the place without an incarnation")
	}
}

// A slow reader gets the newest view, and one that waits for nothing ends with its context.
func TestNext(t *testing.T) {
	n1 := one(t, "n1", t.TempDir(), free(t))
	for i := range 5 {
		n1.apply(heardOfMember(i))
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

func heardOfMember(i int) Event {
	return Event{Kind: Heard, Name: fmt.Sprintf("m%d", i), Addr: "x", Incarnation: Incarnation{"aa", 1}}
}

func FuzzPackets(f *testing.F) {
	f.Add(seal("test", "x", 7, []byte{compoundMessage, 2, 0, 1, 0, 2, 5, 5, 5}))
	f.Add([]byte{crcMessage, 0, 0, 0, 0, suspectMessage, 0x81})
	f.Fuzz(func(t *testing.T, p []byte) {
		rumours(p, func(rumour) {})
		if sender, _, payload, err := unseal("test", p); err == nil && len(sender)+len(payload)+headLength != len(p) {
			t.Errorf("%q, %d bytes", sender, len(payload))
		}
		readMeta(p)
	})
}

// Two that start while all addresses to join are dead find each other by what they knew.
func TestKnownAddresses(t *testing.T) {
	a, b, c := free(t), free(t), free(t)
	dir := t.TempDir()
	n1 := one(t, "n1", dir+"/1", a)
	n2, n3 := one(t, "n2", dir+"/2", b, a), one(t, "n3", dir+"/3", c, a)
	for _, s := range []*Service{n1, n2, n3} {
		take(t, s)
	}
	for _, s := range []*Service{n2, n3} {
		await(t, s, "three", func(v *View) bool { return len(v.Here()) == 3 })
	}
	for deadline := time.Now().Add(20 * time.Second); len(readKnown(dir+"/2")) < 2 || len(readKnown(dir+"/3")) < 2; {
		if time.Now().After(deadline) {
			t.Fatal("the addresses are not kept")
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, s := range []*Service{n1, n2, n3} {
		s.Close()
	}
	n2, n3 = one(t, "n2", dir+"/2", b, a), one(t, "n3", dir+"/3", c, a)
	take(t, n2)
	take(t, n3)
	await(t, n2, "the other", has("n3", Alive))
	if err := os.WriteFile(dir+"/2/"+knownFile, []byte(`["x", "127.0.0.1:1"`), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := readKnown(dir + "/2"); len(got) != 0 {
		t.Errorf("a file that was cut short gives %v", got)
	}
}
