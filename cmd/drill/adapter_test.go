package main

import (
	"bytes"
	"encoding/binary"
	"slices"
	"strings"
	"testing"
)

// sampleSettings is the text of valid settings.
const sampleSettings = `classes.count=1
classes.0.aim=1000000000
classes.0.deadline=2000000000
classes.0.gain=3.0
classes.0.idempotency=pure
contract.cold=24000000000
contract.cold_share=0.12
contract.drain_grace=500000000
contract.fall=2000000000
contract.overload_factor=4.0
discovery=automatic
limits.cancel=true
limits.max_retry_after=2000000000
limits.probes=true
limits.retry_after=true
limits.second_copies=true
limits.try_limit=5
n_instances=2
weights=none
worth_by=request
`

var byteOrder = binary.LittleEndian

// encodeBatch encodes a frame of event records and one tail. Each record is extended by zero bytes to its full size.
func encodeBatch(number uint32, now uint64, tail []byte, records ...[]byte) []byte {
	var body []byte
	for _, r := range records {
		body = append(body, append(r, make([]byte, 56-len(r))...)...)
	}
	body = append(body, tail...)
	head := byteOrder.AppendUint32(nil, uint32(len(body)))
	head = byteOrder.AppendUint32(head, uint32(len(records)))
	head = byteOrder.AppendUint64(head, now)
	return append(byteOrder.AppendUint32(head, number), body...)
}

// encodeRecord encodes the first bytes of an event record.
func encodeRecord(code byte, instance uint32, fields ...[]byte) []byte {
	return append(byteOrder.AppendUint32([]byte{code}, instance), bytes.Join(fields, nil)...)
}

func encodeUint32s(values ...uint32) (b []byte) {
	for _, value := range values {
		b = byteOrder.AppendUint32(b, value)
	}
	return b
}

// startEvent encodes an EventStart whose settings are the given text, at the start of the tail.
func startEvent(instance uint32, text string) []byte {
	return encodeRecord(16, instance, make([]byte, 8), encodeUint32s(0, uint32(len(text))))
}

// requestEvent encodes an EventRequest with a timeout of 1 s.
func requestEvent(instance uint32, id uint64) []byte {
	return encodeRecord(18, instance, byteOrder.AppendUint64(nil, id), byteOrder.AppendUint64(nil, 1e9), make([]byte, 27))
}

// actionCodes returns the action codes of each reply in the output.
func actionCodes(t *testing.T, out []byte) (all [][]byte) {
	t.Helper()
	for len(out) > 0 {
		size, count := byteOrder.Uint32(out), byteOrder.Uint32(out[4:])
		var actions []byte
		for i := range count {
			actions = append(actions, out[12+32*i])
		}
		all = append(all, actions)
		out = out[12+size:]
	}
	return all
}

// TestReplyPerBatch: each batch gets one reply, and instances start, send requests and stop independently of each
// other.
func TestReplyPerBatch(t *testing.T) {
	list := append(make([]byte, 10), 10, 0, 0, 1, 80, 0, 0, 0, 0x80, 0x3f, 1, 0, 0)
	text := []byte(sampleSettings)
	tail := slices.Concat(text, list)
	endpoints := encodeRecord(17, 1, []byte{2}, encodeUint32s(1, uint32(len(text)), 1))
	in := bytes.Join([][]byte{
		encodeBatch(1, 1e9, nil),
		encodeBatch(2, 1e9, tail, startEvent(1, sampleSettings), endpoints),
		encodeBatch(3, 2e9, nil, requestEvent(1, 7)),
		encodeBatch(4, 2e9, tail, encodeRecord(25, 1), startEvent(1, sampleSettings), endpoints, requestEvent(1, 8)),
		encodeBatch(5, 3e9, nil, encodeRecord(24, 1, make([]byte, 10)), encodeRecord(21, 1, make([]byte, 8))),
	}, nil)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := actionCodes(t, out.Bytes())
	if len(got) != 5 || len(got[0]) != 0 || !bytes.Contains(got[2], []byte{21}) || !bytes.Contains(got[3], []byte{21}) {
		t.Errorf("action codes by reply: %v; want 5 replies, with an attempt (21) in the third and the fourth", got)
	}
}

// TestInvalidSettingsReportFault: invalid settings are reported as a fault of their instance and do not end the
// process.
func TestInvalidSettingsReportFault(t *testing.T) {
	bad := strings.Replace(sampleSettings, "contract.fall", "contract.fell", 1)
	in := append(encodeBatch(1, 1, []byte(bad), startEvent(4, bad)), encodeBatch(2, 2, nil, requestEvent(4, 1))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("contract.fall: missing")) || actionCodes(t, out.Bytes())[0][0] != 23 {
		t.Errorf("reply %q, want a fault (23) with the reason", out.Bytes())
	}
}

// TestPanicReportsFault: a panic in one instance is reported as its fault and does not end other instances.
func TestPanicReportsFault(t *testing.T) {
	a := newAdapter()
	if err := a.recoverPanic(9, func() error { panic("index out of range") }); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := a.reply.Write(&out, 1); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("index out of range")) || actionCodes(t, out.Bytes())[0][0] != 23 {
		t.Errorf("reply %q, want a fault (23) with the reason", out.Bytes())
	}
}

// TestMalformedInputIsAnError: input that violates the protocol causes an error of one line that names the batch.
func TestMalformedInputIsAnError(t *testing.T) {
	for name, in := range map[string][]byte{
		"unknown instance": encodeBatch(1, 1, nil, requestEvent(3, 1)),
		"unknown event code": append(encodeBatch(1, 1, []byte(sampleSettings), startEvent(1, sampleSettings)),
			encodeBatch(2, 1, nil, encodeRecord(99, 1))...),
		"truncated": encodeBatch(1, 1, nil, requestEvent(3, 1))[:30],
		"bad outcome": append(encodeBatch(1, 1, []byte(sampleSettings), startEvent(1, sampleSettings)),
			encodeBatch(2, 1, nil, encodeRecord(20, 1, make([]byte, 16), []byte{11, 0}))...),
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(in), &out)
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), "batch") {
			t.Errorf("%s: error %v, want one line that names the batch", name, err)
		}
	}
}
