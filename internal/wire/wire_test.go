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

// decodeHex decodes words of hexadecimal digits. A word +NN, of two decimal digits, stands for NN zero bytes.
func decodeHex(t testing.TB, words string) []byte {
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

// encodeFrame encodes batch 12 from the given number of records, followed by the tail, both as words for unhex.
func encodeFrame(t testing.TB, count byte, words string) []byte {
	t.Helper()
	body := decodeHex(t, words)
	head := decodeHex(t, "00000000 00000000 90bf68f501000000 0c000000")
	byteOrder.PutUint32(head, uint32(len(body)))
	head[4] = count
	return append(head, body...)
}

// readFrame decodes a frame that has to be valid.
func readFrame(t testing.TB, b []byte) *Frame {
	t.Helper()
	f := &Frame{}
	if err := f.Read(bytes.NewReader(b)); err != nil {
		t.Fatal(err)
	}
	return f
}

// TestEmptyBatchAndReply: a batch without events and a reply without actions consist of their headers.
func TestEmptyBatchAndReply(t *testing.T) {
	f := readFrame(t, decodeHex(t, "00000000 00000000 90bf68f501000000 01000000"))
	if f.Clock != 0x1f568bf90 || f.Number != 1 || f.Count != 0 {
		t.Fatalf("frame %+v, want clock 0x1f568bf90, number 1 and no events", f)
	}
	var out bytes.Buffer
	if err := new(Reply).Write(&out, f.Number); err != nil {
		t.Fatal(err)
	}
	if want := decodeHex(t, "00000000 00000000 01000000"); !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("reply %x, want %x", out.Bytes(), want)
	}
}

// wantServer is the server 10.18.74.7:8003 of the encoded events.
const wantServer = 0x0a124a071f43

// TestDecodeEveryEvent decodes one record of each event code except EventStart and EventStop.
func TestDecodeEveryEvent(t *testing.T) {
	f := readFrame(t, encodeFrame(t, 8, `
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
	event := func(index int, code EventCode, instance uint32) Event {
		e := f.Event(index)
		if e.Code() != code || e.Instance() != instance {
			t.Errorf("record %d: code %d for instance %d, which are not as encoded", index, e.Code(), e.Instance())
		}
		return e
	}
	const id = 0x0f5c0e5d3a91c4
	if r := event(0, EventRequest, 3).Request(); r != (balancer.Request{ID: id, Timeout: 240 * time.Millisecond,
		ExpectedWork: 12 * time.Millisecond, AffinityKey: 0x91f03b7c55d20a64}) {
		t.Errorf("EventRequest decoded as %+v", r)
	}
	if event(1, EventTimer, 3).Ref() != 77 || event(2, EventDisconnect, 5).ID() != 0x03d7950e6f2b19 {
		t.Error("the reference of EventTimer or the request ID of EventDisconnect is not as encoded")
	}
	update := event(3, EventEndpoints, 3)
	kind, err := update.UpdateKind()
	list, listErr := update.Endpoints()
	if err != nil || listErr != nil || kind != balancer.UpdateCached || len(list) != 2 {
		t.Fatalf("EventEndpoints: kind %v, list %v, errors %v and %v; want UpdateCached and 2 entries",
			kind, list, err, listErr)
	}
	if list[0] != (balancer.Server{ID: wantServer, Weight: 1, State: balancer.Ready}) ||
		list[1] != (balancer.Server{
			ID: 0x0a9011f21f6c, Weight: 1.5, State: balancer.Ready, Zone: 1, StartedAt: 0x16b969d00}) {
		t.Errorf("EventEndpoints: entries %+v are not as encoded", list)
	}
	if e := event(4, EventFirstByte, 3); e.ID() != id || e.Attempt() != 0 {
		t.Error("the request ID or the attempt of EventFirstByte is not as encoded")
	}
	check, err := event(5, EventHealthCheck, 3).HealthCheck()
	if err != nil || check.Server != 0x0a9011f21f6c || check.Result != balancer.OK ||
		check.Latency != 1400*time.Microsecond ||
		check.Load.N != 1 || math.Abs(float64(check.Load.Values[0])-0.62) > 1e-6 {
		t.Errorf("EventHealthCheck decoded as %+v, error %v", check, err)
	}
	if from, data, err := event(6, EventPeerMessage, 3).PeerMessage(); err != nil || from != 2 || string(data) != "hi 7" {
		t.Errorf("EventPeerMessage: sender %d, data %q, error %v; want 2, \"hi 7\" and no error", from, data, err)
	}
	outcome, err := event(7, EventOutcome, 3).Outcome()
	if err != nil || outcome.ID != id || !outcome.RequestDone || outcome.Server != wantServer ||
		outcome.Latency != 18500*time.Microsecond {
		t.Errorf("EventOutcome decoded as %+v, error %v", outcome, err)
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
		"three actions with a tail": {func(r *Reply) {
			r.Send(3, id, wantServer, 0x1fa2d7390)
			r.SetTimer(3, 500*time.Millisecond, 77)
			r.Log(5, "two servers known")
		}, `15 03000000 c4913a5d0e5c0f00 0a124a07 431f 90732dfa01000000 +05
			11 03000000 0065cd1d00000000 4d00000000000000 +11
			16 05000000 00000000 11000000 +19 74776f2073657276657273206b6e6f776e`},
	} {
		var out bytes.Buffer
		var r Reply
		for range 2 { // the second time with reused buffers
			out.Reset()
			c.do(&r)
			if err := r.Write(&out, 12); err != nil {
				t.Fatal(err)
			}
		}
		want := decodeHex(t, c.want)
		if !bytes.Equal(out.Bytes()[12:], want) || int(byteOrder.Uint32(out.Bytes())) != len(want) {
			t.Errorf("%s:\n got %x\nwant %x", name, out.Bytes()[12:], want)
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	for name, b := range map[string][]byte{
		"end within the header": {1, 2, 3},
		"end within the body":   encodeFrame(t, 1, "16 03000000 4d00000000000000 +43")[:40],
		"impossible count":      encodeFrame(t, 2, "16 03000000 4d00000000000000 +43"),
		"impossible length":     decodeHex(t, "ffffffff 01000000 90bf68f501000000 0c000000 0000"),
	} {
		if err := new(Frame).Read(bytes.NewReader(b)); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: error %v, want one other than io.EOF", name, err)
		}
	}
	if err := new(Frame).Read(bytes.NewReader(nil)); !errors.Is(err, io.EOF) || errors.Unwrap(err) != nil {
		t.Errorf("end of input between frames: error %v, want io.EOF itself", err)
	}
	f := readFrame(t, encodeFrame(t, 1, "11 03000000 00 29000000 f0ffffff ffffffff +38"))
	if _, err := f.Event(0).Endpoints(); err == nil {
		t.Error("a list outside the tail was accepted")
	}
}

// FuzzFrame checks that no input makes the decoding of a frame, its events or their settings panic.
func FuzzFrame(f *testing.F) {
	f.Add(encodeFrame(f, 1, "11 03000000 02 29000000 00000000 01000000 +38 "+
		"0000 0000000000000000 0a124a07 431f 0000803f 01 00 00"))
	f.Add(encodeFrame(f, 1, "14 03000000 c4913a5d0e5c0f00 a0491a0100000000 0b00 01 0000 0a124a07 431f ff 52b81e3f +19"))
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
