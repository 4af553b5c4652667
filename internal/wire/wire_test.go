package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/settings"
)

// unhex reads hex words; a word +N stands for N zero bytes.
func unhex(t testing.TB, words string) []byte {
	t.Helper()
	var out []byte
	for _, w := range strings.Fields(words) {
		if n, ok := strings.CutPrefix(w, "+"); ok {
			out = append(out, make([]byte, int(n[0]-'0')*10+int(n[1]-'0'))...)
			continue
		}
		b, err := hex.DecodeString(w)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, b...)
	}
	return out
}

// frame wraps records and a tail as batch 12.
func frame(t testing.TB, count byte, words string) []byte {
	t.Helper()
	body := unhex(t, words)
	head := unhex(t, "00000000 00000000 90bf68f501000000 0c000000")
	byteOrder.PutUint32(head, uint32(len(body)))
	head[4] = count
	return append(head, body...)
}

func read(t testing.TB, b []byte) *Frame {
	t.Helper()
	f := &Frame{}
	if err := f.Read(bytes.NewReader(b)); err != nil {
		t.Fatal(err)
	}
	return f
}

func TestEmptyBatchAndReply(t *testing.T) {
	f := read(t, unhex(t, "00000000 00000000 90bf68f501000000 01000000"))
	if f.Clock != 0x1f568bf90 || f.Number != 1 || f.Count != 0 {
		t.Fatalf("got %+v", f)
	}
	var out bytes.Buffer
	if err := new(Reply).Write(&out, f.Number); err != nil {
		t.Fatal(err)
	}
	if want := unhex(t, "00000000 00000000 01000000"); !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("got %x want %x", out.Bytes(), want)
	}
}

const wantServer = 0x0a124a071f43

func TestDecodeEveryEvent(t *testing.T) {
	f := read(t, frame(t, 8, `
		12 03000000 c4913a5d0e5c0f00 001c4e0e00000000 001bb70000000000 640ad2557c3bf091 0000 01 00000000 +12
		16 03000000 4d00000000000000 +43
		15 05000000 192b6f0e95d70300 +43
		11 03000000 02 29000000 00000000 02000000 +38
		13 03000000 c4913a5d0e5c0f00 0000 0a124a07 431f d0248d0000000000 +27
		17 03000000 0a9011f2 6c1f 0a00 c05c150000000000 01 52b81e3f 00000000 00000000 00000000 +18
		18 03000000 0200 2e000000 04000000 +41
		14 03000000 c4913a5d0e5c0f00 a0491a0100000000 0a00 01 0000 0a124a07 431f 01 52b81e3f 00000000 00000000 00000000 +07
		0000 0000000000000000 0a124a07 431f 0000803f 01 00 00
		0000 009d966b01000000 0a9011f2 6c1f 0000c03f 01 00 01
		68692037`))
	ev := func(i int, c EventCode, who uint32) Event {
		e := f.Event(i)
		if e.Code() != c || e.Instance() != who {
			t.Errorf("record %d: code %d of %d", i, e.Code(), e.Instance())
		}
		return e
	}
	const id = 0x0f5c0e5d3a91c4
	if r := ev(0, EventRequest, 3).Request(); r != (balancer.Request{ID: id, Timeout: 240 * time.Millisecond,
		ExpectedWork: 12 * time.Millisecond, AffinityKey: 0x91f03b7c55d20a64}) {
		t.Errorf("request %+v", r)
	}
	if ev(1, EventTimer, 3).Ref() != 77 || ev(2, EventDisconnect, 5).ID() != 0x03d7950e6f2b19 {
		t.Error("wakeup or hangup")
	}
	v := ev(3, EventEndpoints, 3)
	kind, err := v.UpdateKind()
	list, err2 := v.Endpoints()
	if err != nil || err2 != nil || kind != balancer.UpdateCached || len(list) != 2 {
		t.Fatalf("view %v %v %v %v", kind, list, err, err2)
	}
	if list[0] != (balancer.Server{ID: wantServer, Weight: 1, State: balancer.Ready}) ||
		list[1] != (balancer.Server{
			ID: 0x0a9011f21f6c, Weight: 1.5, State: balancer.Ready, Zone: 1, StartedAt: 0x16b969d00}) {
		t.Errorf("entries %+v", list)
	}
	if e := ev(4, EventFirstByte, 3); e.ID() != id || e.Attempt() != 0 {
		t.Error("first byte")
	}
	p, err := ev(5, EventHealthCheck, 3).HealthCheck()
	if err != nil || p.Server != 0x0a9011f21f6c || p.Result != balancer.OK || p.Latency != 1400*time.Microsecond ||
		p.Load.N != 1 || math.Abs(float64(p.Load.Values[0])-0.62) > 1e-6 {
		t.Errorf("probe %+v %v", p, err)
	}
	if from, data, err := ev(6, EventPeerMessage, 3).PeerMessage(); err != nil || from != 2 || string(data) != "hi 7" {
		t.Errorf("mail %d %q %v", from, data, err)
	}
	o, err := ev(7, EventOutcome, 3).Outcome()
	if err != nil || o.ID != id || !o.RequestDone || o.Server != wantServer || o.Latency != 18500*time.Microsecond {
		t.Errorf("outcome %+v %v", o, err)
	}
}

func TestEncodeEveryAction(t *testing.T) {
	const id, s2 = 0x0f5c0e5d3a91c4, 0x0a9011f21f6c
	for name, c := range map[string]struct {
		do   func(*Reply)
		want string
	}{
		"send": {func(r *Reply) { r.Send(3, id, wantServer, 0x1fa2d7390) },
			"15 03000000 c4913a5d0e5c0f00 0a124a07 431f 90732dfa01000000 +05"},
		"cancel": {func(r *Reply) { r.Cancel(3, id, 0) },
			"1b 03000000 c4913a5d0e5c0f00 0000 +17"},
		"watch": {func(r *Reply) { r.Watch(3, true) },
			"19 03000000 01 +26"},
		"report fault": {func(r *Reply) { r.ReportFault(3, "index out of range") },
			"17 03000000 00000000 12000000 +19 696e646578206f7574206f662072616e6765"},
		"fail": {func(r *Reply) { r.Fail(3, 0x03d7950e6f2b19) },
			"13 03000000 192b6f0e95d70300 +19"},
		"close idle": {func(r *Reply) { r.CloseIdle(3, s2) },
			"12 03000000 0a9011f2 6c1f +21"},
		"send peer message": {func(r *Reply) { r.SendPeerMessage(3, AllInstances, "hi 7") },
			"18 03000000 ffffffff 00000000 04000000 +15 68692037"},
		"check health": {func(r *Reply) { r.CheckHealth(3, s2) },
			"10 03000000 0a9011f2 6c1f +21"},
		"fetch endpoints": {func(r *Reply) { r.FetchEndpoints(3) },
			"1a 03000000 +27"},
		"set timer": {func(r *Reply) { r.SetTimer(3, 500*time.Millisecond, 77) },
			"11 03000000 0065cd1d00000000 4d00000000000000 +11"},
		"reject": {func(r *Reply) { r.Reject(3, 0x03d7950e6f2b19, 250*time.Millisecond) },
			"14 03000000 192b6f0e95d70300 80b2e60e00000000 +11"},
		"log": {func(r *Reply) { r.Log(5, "two servers known") },
			"16 05000000 00000000 11000000 +19 74776f2073657276657273206b6e6f776e"},
		"three with a tail": {func(r *Reply) {
			r.Send(3, id, wantServer, 0x1fa2d7390)
			r.SetTimer(3, 500*time.Millisecond, 77)
			r.Log(5, "two servers known")
		}, `15 03000000 c4913a5d0e5c0f00 0a124a07 431f 90732dfa01000000 +05
			11 03000000 0065cd1d00000000 4d00000000000000 +11
			16 05000000 00000000 11000000 +19 74776f2073657276657273206b6e6f776e`},
	} {
		var out bytes.Buffer
		var r Reply
		for range 2 { // the second time from reused buffers
			out.Reset()
			c.do(&r)
			if err := r.Write(&out, 12); err != nil {
				t.Fatal(err)
			}
		}
		want := unhex(t, c.want)
		if !bytes.Equal(out.Bytes()[12:], want) || int(byteOrder.Uint32(out.Bytes())) != len(want) {
			t.Errorf("%s:\n got %x\nwant %x", name, out.Bytes()[12:], want)
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	for name, b := range map[string][]byte{
		"header cut short":  {1, 2, 3},
		"body cut short":    frame(t, 1, "16 03000000 4d00000000000000 +43")[:40],
		"impossible count":  frame(t, 2, "16 03000000 4d00000000000000 +43"),
		"impossible length": unhex(t, "ffffffff 01000000 90bf68f501000000 0c000000 0000"),
	} {
		if err := new(Frame).Read(bytes.NewReader(b)); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := new(Frame).Read(bytes.NewReader(nil)); !errors.Is(err, io.EOF) || errors.Unwrap(err) != nil {
		t.Errorf("end of input: %v", err)
	}
	f := read(t, frame(t, 1, "11 03000000 00 29000000 f0ffffff ffffffff +38"))
	if _, err := f.Event(0).Endpoints(); err == nil {
		t.Error("entries outside the tail were taken")
	}
}

func FuzzFrame(f *testing.F) {
	f.Add(frame(f, 1, "11 03000000 02 29000000 00000000 01000000 +38 "+
		"0000 0000000000000000 0a124a07 431f 0000803f 01 00 00"))
	f.Add(frame(f, 1, "14 03000000 c4913a5d0e5c0f00 a0491a0100000000 0b00 01 0000 0a124a07 431f ff 52b81e3f +19"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		var fr Frame
		r := bytes.NewReader(b)
		for fr.Read(r) == nil {
			for i := range fr.Count {
				e := fr.Event(i)
				e.Request()
				e.Outcome()
				e.HealthCheck()
				e.Endpoints()
				e.UpdateKind()
				e.PeerMessage()
				if s, err := e.Settings(); err == nil {
					settings.DecodeText(s)
				}
			}
		}
	})
}
