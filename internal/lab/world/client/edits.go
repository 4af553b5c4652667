package client

import (
	"bytes"
	"fmt"
	"strings"
)

// edit is a change that turns any valid request into one that must not be served,
// whatever the other parts of the request are.
type edit struct {
	name        string
	editMessage func(h *message, d *builder)      // edits the request before it is encoded
	editBytes   func(b []byte, d *builder) []byte // edits the encoded request
}

// edits are the edits from which generated attacks choose.
var edits = []edit{
	{name: "no id", editMessage: func(h *message, _ *builder) { h.remove("X-Call-Id") }},
	{name: "odd id", editMessage: malformedID},
	{name: "two ids", editMessage: duplicateField("X-Call-Id")},
	{name: "no class", editMessage: func(h *message, _ *builder) { h.remove("X-Call-Class") }},
	{name: "odd class", editMessage: unknownClass},
	{name: "two classes", editMessage: duplicateField("X-Call-Class")},
	{name: "odd caller", editMessage: unknownCaller},
	{name: "no budget", editMessage: func(h *message, _ *builder) { h.remove("X-Budget") }},
	{name: "odd budget", editMessage: malformedBudget},
	{name: "two budgets", editMessage: duplicateField("X-Budget")},
	{name: "hop", editMessage: hopByHopField},
	{name: "odd method", editMessage: unknownMethod},
	{name: "wrong method", editMessage: wrongMethod},
	{name: "odd version", editMessage: unsupportedVersion},
	{name: "fragment", editMessage: func(h *message, d *builder) { h.target += d.choose("#", "#x", "%20#/api") }},
	{name: "odd target", editMessage: malformedTarget},
	{name: "byte in target", editMessage: invalidByteInTarget},
	{name: "bad escape", editMessage: func(h *message, d *builder) { h.target += d.choose("%zz", "%", "%4", "%u0041") }},
	{name: "odd host", editMessage: invalidHost},
	{name: "folded", editMessage: foldedField},
	{name: "space before colon", editMessage: spaceBeforeColon},
	{name: "odd line", editMessage: malformedLine},
	{name: "control byte", editMessage: controlByte},
	{name: "odd length", editMessage: malformedLength},
	{name: "two lengths", editMessage: twoLengths},
	{name: "two framings", editMessage: twoFramings},
	{name: "odd coding", editMessage: unsupportedCoding},
	{name: "odd chunk", editMessage: malformedChunk},
	{name: "bare line feed", editBytes: bareLF},
	{name: "bare carriage return", editBytes: func(b []byte, d *builder) []byte {
		return bytes.Replace(b, []byte("\r\n"), []byte("\r"), 1+d.draws.IntN(3))
	}},
}

// generatedSteps applies one edit to a valid request and sometimes sends it in two parts.
func generatedSteps(d *builder) []step {
	e := edits[d.draws.IntN(len(edits))]
	d.reason = "generated: " + e.name
	h := d.validMessage()
	if e.editMessage != nil {
		e.editMessage(h, d)
	}
	b := encode(h)
	if e.editBytes != nil {
		b = e.editBytes(b, d)
	}
	if d.draws.IntN(3) > 0 {
		return []step{{bytes: b}}
	}
	n := 1 + d.draws.IntN(len(b)-1)
	return []step{{bytes: b[:n]}, {after: d.randomPause(0, 0.1), bytes: b[n:]}}
}

// framingSafeEdit draws an edit that does not change where the request ends, so that
// another request can follow.
func (d *builder) framingSafeEdit() func(h *message, d *builder) {
	return d.chooseEdit(func(h *message, _ *builder) { h.remove("X-Call-Id") }, malformedID, unknownClass,
		malformedBudget, hopByHopField, wrongMethod)
}

func (d *builder) chooseEdit(choices ...func(h *message, d *builder)) func(h *message, d *builder) {
	return choices[d.draws.IntN(len(choices))]
}

func malformedID(h *message, d *builder) {
	h.field("X-Call-Id").value = d.choose("", d.id+"!", d.id+" x", d.id+", "+d.id, d.id+"/..", d.id+"\xe9",
		"\""+d.id+"\"")
}

// duplicateField repeats a field, in the same or another case; the repeated
// X-Call-Id sometimes has another value.
func duplicateField(name string) func(h *message, d *builder) {
	return func(h *message, d *builder) {
		f := *h.field(name)
		f.name = d.choose(f.name, strings.ToLower(f.name), strings.ToUpper(f.name))
		if name == "X-Call-Id" && d.draws.IntN(2) == 0 {
			f.value += "0"
		}
		i := d.draws.IntN(len(h.fields) + 1)
		h.fields = append(h.fields[:i:i], append([]field{f}, h.fields[i:]...)...)
	}
}

func unknownClass(h *message, d *builder) {
	f := h.field("X-Call-Class")
	f.value = d.choose("", "no-such-class", strings.ToUpper(f.value)+"!", f.value+", "+f.value, f.value+";q=1")
}

// unknownCaller edits X-Caller or, without tenants, the class: nodes require a
// caller only if there are tenants.
func unknownCaller(h *message, d *builder) {
	if !h.has("X-Caller") {
		unknownClass(h, d)
		return
	}
	if d.draws.IntN(4) == 0 {
		h.remove("X-Caller")
		return
	}
	f := h.field("X-Caller")
	f.value = d.choose("", "nobody", f.value+"!", f.value+", "+f.value)
}

func malformedBudget(h *message, d *builder) {
	h.field("X-Budget").value = d.choose("", "soon", "-0.300", "+0.300", "0", "0.000", "1e3", "0x1p3", "0,300",
		"0.3s", ".", "1.2.3", "inf", "NaN", "99999999999999999999999", "0.300 0.300")
}

// hopByHopField names a field of the platform in Connection, which makes
// the field hop-by-hop.
func hopByHopField(h *message, d *builder) {
	name := d.choose("X-Call-Id", "X-Call-Class", "X-Budget")
	if h.has("X-Caller") && d.draws.IntN(4) == 0 {
		name = "X-Caller"
	}
	name = d.choose(name, strings.ToLower(name), strings.ToUpper(name))
	h.add("Connection", d.choose(name, "close, "+name, name+", keep-alive", "keep-alive ,\t"+name+" ,", ","+name))
}

// unknownMethod sets a method other than GET and POST, the only ones of the
// platform; methods are case-sensitive.
func unknownMethod(h *message, d *builder) {
	h.method = d.choose("HEAD", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "M-SEARCH", "FETCH", "get", "Post",
		"GET,", "G=T", "G E T")
}

// wrongMethod sets POST for a safe class and GET for an unsafe one.
func wrongMethod(h *message, d *builder) {
	if h.method == "GET" {
		h.method, h.body = "POST", requestBody(d.id, 80)
	} else {
		h.method, h.body = "GET", nil
	}
}

func unsupportedVersion(h *message, d *builder) {
	h.version = d.choose("HTTP/1.0", "HTTP/0.9", "HTTP/2.0", "HTTP/3", "http/1.1", "HTTP/1.", "HTTP/11",
		"HTTP/1.1 x", "HTTP 1.1", "")
}

func malformedTarget(h *message, d *builder) {
	h.target = d.choose(h.target[1:], "/"+h.target, "http://api.internal/"+h.target, "*", "api.internal:80",
		"?user="+d.id, "\\api", "")
}

// invalidByteInTarget inserts a byte that is not allowed in a request target.
func invalidByteInTarget(h *message, d *builder) {
	b := d.choose(" ", "\t", "\x01", "\x00", "\x7f", "\xe9", "\xc3\xa9", "\x1b")
	i := 1 + d.draws.IntN(len(h.target))
	h.target = h.target[:i] + b + h.target[i:]
}

// invalidHost removes, duplicates or malforms Host: HTTP/1.1 requires exactly one.
func invalidHost(h *message, d *builder) {
	switch d.draws.IntN(3) {
	case 0:
		h.remove("Host")
	case 1:
		h.add("Host", d.choose("api.internal", "other"))
	default:
		h.field("Host").value = d.choose("api internal", "api/internal", "api\xe9", "a@b c", "<api>")
	}
}

func foldedField(h *message, d *builder) {
	f := &h.fields[d.draws.IntN(len(h.fields))]
	f.suffix = "\r\n" + d.choose(" ", "\t", "   ") + d.choose("more", "x-more: 1")
}

func spaceBeforeColon(h *message, d *builder) {
	f := &h.fields[d.draws.IntN(len(h.fields))]
	f.separator = d.choose(" ", "\t", "  ") + f.separator
}

// malformedLine inserts a line that is not a valid header field.
func malformedLine(h *message, d *builder) {
	f := []field{
		{"no colon", "", "", ""}, {"", ":", "no name", ""},
		{"X Odd", ": ", "1", ""}, {"X(Odd)", ": ", "1", ""}, {"X\"Y", ": ", "1", ""},
		{"X-\x00", ": ", "1", ""}, {"X-\xe9", ": ", "1", ""}, {" X-First", ": ", "1", ""},
	}[d.draws.IntN(8)]
	i := d.draws.IntN(len(h.fields) + 1)
	h.fields = append(h.fields[:i:i], append([]field{f}, h.fields[i:]...)...)
}

// controlByte inserts a byte into a field value that is not allowed there.
func controlByte(h *message, d *builder) {
	f := &h.fields[d.draws.IntN(len(h.fields))]
	i := d.draws.IntN(len(f.value) + 1)
	f.value = f.value[:i] + d.choose("\x00", "\x01", "\x1b", "\x7f", "\ra") + f.value[i:]
}

// ensureBody adds a body, and the method POST, to a request without a body.
func ensureBody(h *message, d *builder) {
	if len(h.body) == 0 {
		h.method, h.body = "POST", requestBody(d.id, 80)
	}
}

func malformedLength(h *message, d *builder) {
	ensureBody(h, d)
	n := len(h.body)
	h.add("Content-Length", d.choose("-1", fmt.Sprintf("+%d", n), fmt.Sprintf("0x%x", n), "many", "",
		fmt.Sprintf("%d, %d", n, n+1), fmt.Sprintf("%d.0", n), fmt.Sprintf("%d %d", n, n),
		"99999999999999999999999", "9223372036854775807"))
}

func twoLengths(h *message, d *builder) {
	ensureBody(h, d)
	h.add("Content-Length", fmt.Sprint(len(h.body)))
	h.add(d.choose("Content-Length", "content-length"), fmt.Sprint(d.draws.IntN(len(h.body))))
}

func twoFramings(h *message, d *builder) {
	ensureBody(h, d)
	body := encodeChunks(h.body, d.draws)
	h.add("Content-Length", fmt.Sprint(d.draws.IntN(len(body)+1)))
	h.add("Transfer-Encoding", "chunked")
	h.body = body
}

// unsupportedCoding sets a transfer coding other than a single chunked, the only one
// that the platform supports.
func unsupportedCoding(h *message, d *builder) {
	ensureBody(h, d)
	h.body = encodeChunks(h.body, d.draws)
	h.add("Transfer-Encoding", d.choose("gzip", "chunked, gzip", "gzip, chunked", "identity",
		"chunked, chunked", "xchunked", "chunked\x0b", ""))
	if d.draws.IntN(8) == 0 {
		h.field("Transfer-Encoding").value = "chunked"
		h.add("Transfer-Encoding", "chunked")
	}
}

func malformedChunk(h *message, d *builder) {
	ensureBody(h, d)
	n, body := len(h.body), h.body
	h.add("Transfer-Encoding", "chunked")
	size := fmt.Sprintf("%x", n)
	end := "\r\n0\r\n\r\n"
	switch d.draws.IntN(3) {
	case 0:
		size = d.choose("zz", "-1", "", "0x"+size, "+"+size, size+" "+size, "fffffffffffffffffffff", "\x00"+size)
	case 1:
		end = d.choose("0\r\n\r\n", "xx0\r\n\r\n", "\n0\n\n")
	default:
		h.body = fmt.Appendf(nil, "%s\n%s\r\n0\r\n\r\n", size, body)
		return
	}
	h.body = fmt.Appendf(nil, "%s\r\n%s%s", size, body, end)
}

// bareLF ends the first line of the head, or all its lines, with a line feed alone.
func bareLF(b []byte, d *builder) []byte {
	end := bytes.Index(b, []byte("\r\n\r\n")) + 4
	top, rest := b[:end], b[end:]
	n := -1
	if d.draws.IntN(2) == 0 {
		n = 1
	}
	return append(bytes.Replace(top, []byte("\r\n"), []byte("\n"), n), rest...)
}
