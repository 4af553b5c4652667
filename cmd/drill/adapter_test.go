package main

import (
	"bytes"
	"encoding/binary"
	"slices"
	"strings"
	"testing"
)

const sample = `classes.count=1
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

var le = binary.LittleEndian

// batch builds a frame of records whose first bytes are given, with one tail.
func batch(number uint32, now uint64, tail []byte, records ...[]byte) []byte {
	var body []byte
	for _, r := range records {
		body = append(body, append(r, make([]byte, 56-len(r))...)...)
	}
	body = append(body, tail...)
	head := le.AppendUint32(nil, uint32(len(body)))
	head = le.AppendUint32(head, uint32(len(records)))
	head = le.AppendUint64(head, now)
	return append(le.AppendUint32(head, number), body...)
}

func record(code byte, who uint32, fields ...[]byte) []byte {
	return append(le.AppendUint32([]byte{code}, who), bytes.Join(fields, nil)...)
}

func u32(v ...uint32) (b []byte) {
	for _, x := range v {
		b = le.AppendUint32(b, x)
	}
	return b
}

func begin(who uint32, text string) []byte {
	return record(16, who, make([]byte, 8), u32(0, uint32(len(text))))
}

func request(who uint32, id uint64) []byte {
	return record(18, who, le.AppendUint64(nil, id), le.AppendUint64(nil, 1e9), make([]byte, 27))
}

// codes lists the action codes of each reply.
func codes(t *testing.T, out []byte) (all [][]byte) {
	t.Helper()
	for len(out) > 0 {
		size, count := le.Uint32(out), le.Uint32(out[4:])
		var c []byte
		for i := range count {
			c = append(c, out[12+32*i])
		}
		all = append(all, c)
		out = out[12+size:]
	}
	return all
}

// TestConversation: each batch gets one reply, and instances start, decide and stop apart from each other.
func TestConversation(t *testing.T) {
	list := append(make([]byte, 10), 10, 0, 0, 1, 80, 0, 0, 0, 0x80, 0x3f, 1, 0, 0)
	text := []byte(sample)
	tail := slices.Concat(text, list)
	view := record(17, 1, []byte{2}, u32(1, uint32(len(text)), 1))
	in := bytes.Join([][]byte{
		batch(1, 1e9, nil),
		batch(2, 1e9, tail, begin(1, sample), view),
		batch(3, 2e9, nil, request(1, 7)),
		batch(4, 2e9, tail, record(25, 1), begin(1, sample), view, request(1, 8)),
		batch(5, 3e9, nil, record(24, 1, make([]byte, 10)), record(21, 1, make([]byte, 8))),
	}, nil)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := codes(t, out.Bytes())
	if len(got) != 5 || len(got[0]) != 0 || !bytes.Contains(got[2], []byte{21}) || !bytes.Contains(got[3], []byte{21}) {
		t.Errorf("replies %v", got)
	}
}

// TestBadSettingsAreAFault: settings that cannot be used are the fault of their instance, not of the process.
func TestBadSettingsAreAFault(t *testing.T) {
	bad := strings.Replace(sample, "contract.fall", "contract.fell", 1)
	in := append(batch(1, 1, []byte(bad), begin(4, bad)), batch(2, 2, nil, request(4, 1))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("contract.fall: missing")) || codes(t, out.Bytes())[0][0] != 23 {
		t.Errorf("reply %q", out.Bytes())
	}
}

// TestPanicIsAFault: a panic in one instance is reported as its fault, and ends no other.
func TestPanicIsAFault(t *testing.T) {
	a := newAdapter()
	if err := a.recoverPanic(9, func() error { panic("index out of range") }); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := a.reply.Write(&out, 1); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("index out of range")) || codes(t, out.Bytes())[0][0] != 23 {
		t.Errorf("reply %q", out.Bytes())
	}
}

// TestMalformedInputIsAnError: input that breaks the wire's form is one clear error that names the batch.
func TestMalformedInputIsAnError(t *testing.T) {
	for name, in := range map[string][]byte{
		"unknown instance":   batch(1, 1, nil, request(3, 1)),
		"unknown event code": append(batch(1, 1, []byte(sample), begin(1, sample)), batch(2, 1, nil, record(99, 1))...),
		"truncated":          batch(1, 1, nil, request(3, 1))[:30],
		"bad outcome": append(batch(1, 1, []byte(sample), begin(1, sample)),
			batch(2, 1, nil, record(20, 1, make([]byte, 16), []byte{11, 0}))...),
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(in), &out)
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), "batch") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
