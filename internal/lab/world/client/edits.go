package client

import (
	"bytes"
	"fmt"
	"strings"
)

// edit is one change that makes any lawful request one that must not be served.
// Each is certain by itself: no other part of the request matters to it.
type edit struct {
	name string
	head func(h *head, d *draft)         // before it is framed
	raw  func(b []byte, d *draft) []byte // after
}

// edits are what generated attacks draw from.
var edits = []edit{
	{name: "no id", head: func(h *head, _ *draft) { h.drop("X-Call-Id") }},
	{name: "odd id", head: oddID},
	{name: "two ids", head: twice("X-Call-Id")},
	{name: "no class", head: func(h *head, _ *draft) { h.drop("X-Call-Class") }},
	{name: "odd class", head: oddClass},
	{name: "two classes", head: twice("X-Call-Class")},
	{name: "odd caller", head: oddCaller},
	{name: "no budget", head: func(h *head, _ *draft) { h.drop("X-Budget") }},
	{name: "odd budget", head: oddBudget},
	{name: "two budgets", head: twice("X-Budget")},
	{name: "hop", head: hop},
	{name: "odd method", head: oddMethod},
	{name: "wrong method", head: wrongMethod},
	{name: "odd version", head: oddVersion},
	{name: "fragment", head: func(h *head, d *draft) { h.target += d.one("#", "#x", "%20#/api") }},
	{name: "odd target", head: oddTarget},
	{name: "byte in target", head: byteInTarget},
	{name: "bad escape", head: func(h *head, d *draft) { h.target += d.one("%zz", "%", "%4", "%u0041") }},
	{name: "odd host", head: oddHost},
	{name: "folded", head: folded},
	{name: "space before colon", head: spaceColon},
	{name: "odd line", head: oddLine},
	{name: "control byte", head: control},
	{name: "odd length", head: oddLength},
	{name: "two lengths", head: twoLengths},
	{name: "two framings", head: twoFramings},
	{name: "odd coding", head: oddCoding},
	{name: "odd chunk", head: oddChunk},
	{name: "bare line feed", raw: bareLF},
	{name: "bare carriage return", raw: func(b []byte, d *draft) []byte {
		return bytes.Replace(b, []byte("\r\n"), []byte("\r"), 1+d.draws.IntN(3))
	}},
}

// generated spoils a lawful request by one edit, and may cut it in two.
func generated(d *draft) []step {
	e := edits[d.draws.IntN(len(edits))]
	d.why = "generated: " + e.name
	h := d.head()
	if e.head != nil {
		e.head(h, d)
	}
	b := whole(h)
	if e.raw != nil {
		b = e.raw(b, d)
	}
	if d.draws.IntN(3) > 0 {
		return []step{{bytes: b}}
	}
	n := 1 + d.draws.IntN(len(b)-1)
	return []step{{bytes: b[:n]}, {after: d.pause(0, 0.1), bytes: b[n:]}}
}

// edits draws one that leaves the request's end where it is, so that another
// request may follow.
func (d *draft) edits() func(h *head, d *draft) {
	return d.oneOf(func(h *head, _ *draft) { h.drop("X-Call-Id") }, oddID, oddClass, oddBudget, hop, wrongMethod)
}

func (d *draft) oneOf(some ...func(h *head, d *draft)) func(h *head, d *draft) {
	return some[d.draws.IntN(len(some))]
}

func oddID(h *head, d *draft) {
	h.field("X-Call-Id").value = d.one("", d.id+"!", d.id+" x", d.id+", "+d.id, d.id+"/..", d.id+"\xe9",
		"\""+d.id+"\"")
}

// twice gives a field twice, alike or not, in one case or two.
func twice(name string) func(h *head, d *draft) {
	return func(h *head, d *draft) {
		f := *h.field(name)
		f.name = d.one(f.name, strings.ToLower(f.name), strings.ToUpper(f.name))
		if name == "X-Call-Id" && d.draws.IntN(2) == 0 {
			f.value += "0"
		}
		i := d.draws.IntN(len(h.fields) + 1)
		h.fields = append(h.fields[:i:i], append([]field{f}, h.fields[i:]...)...)
	}
}

func oddClass(h *head, d *draft) {
	f := h.field("X-Call-Class")
	f.value = d.one("", "no-such-class", strings.ToUpper(f.value)+"!", f.value+", "+f.value, f.value+";q=1")
}

// oddCaller needs tenants: without any, a node asks for no caller.
func oddCaller(h *head, d *draft) {
	if !h.has("X-Caller") {
		oddClass(h, d)
		return
	}
	if d.draws.IntN(4) == 0 {
		h.drop("X-Caller")
		return
	}
	f := h.field("X-Caller")
	f.value = d.one("", "nobody", f.value+"!", f.value+", "+f.value)
}

func oddBudget(h *head, d *draft) {
	h.field("X-Budget").value = d.one("", "soon", "-0.300", "+0.300", "0", "0.000", "1e3", "0x1p3", "0,300",
		"0.3s", ".", "1.2.3", "inf", "NaN", "99999999999999999999999", "0.300 0.300")
}

// hop names a field of the platform's in Connection, whose fields go no further.
func hop(h *head, d *draft) {
	name := d.one("X-Call-Id", "X-Call-Class", "X-Budget")
	if h.has("X-Caller") && d.draws.IntN(4) == 0 {
		name = "X-Caller"
	}
	name = d.one(name, strings.ToLower(name), strings.ToUpper(name))
	h.add("Connection", d.one(name, "close, "+name, name+", keep-alive", "keep-alive ,\t"+name+" ,", ","+name))
}

// oddMethod: the platform knows GET and POST, by these very letters.
func oddMethod(h *head, d *draft) {
	h.method = d.one("HEAD", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "M-SEARCH", "FETCH", "get", "Post",
		"GET,", "G=T", "G E T")
}

// wrongMethod is the method of the other sort of classes.
func wrongMethod(h *head, d *draft) {
	if h.method == "GET" {
		h.method, h.body = "POST", filler(d.id, 80)
	} else {
		h.method, h.body = "GET", nil
	}
}

func oddVersion(h *head, d *draft) {
	h.version = d.one("HTTP/1.0", "HTTP/0.9", "HTTP/2.0", "HTTP/3", "http/1.1", "HTTP/1.", "HTTP/11",
		"HTTP/1.1 x", "HTTP 1.1", "")
}

func oddTarget(h *head, d *draft) {
	h.target = d.one(h.target[1:], "/"+h.target, "http://api.internal/"+h.target, "*", "api.internal:80",
		"?user="+d.id, "\\api", "")
}

// byteInTarget puts in a byte that no target may hold.
func byteInTarget(h *head, d *draft) {
	b := d.one(" ", "\t", "\x01", "\x00", "\x7f", "\xe9", "\xc3\xa9", "\x1b")
	i := 1 + d.draws.IntN(len(h.target))
	h.target = h.target[:i] + b + h.target[i:]
}

// oddHost: HTTP/1.1 asks for exactly one.
func oddHost(h *head, d *draft) {
	switch d.draws.IntN(3) {
	case 0:
		h.drop("Host")
	case 1:
		h.add("Host", d.one("api.internal", "other"))
	default:
		h.field("Host").value = d.one("api internal", "api/internal", "api\xe9", "a@b c", "<api>")
	}
}

func folded(h *head, d *draft) {
	f := &h.fields[d.draws.IntN(len(h.fields))]
	f.end = "\r\n" + d.one(" ", "\t", "   ") + d.one("more", "x-more: 1")
}

func spaceColon(h *head, d *draft) {
	f := &h.fields[d.draws.IntN(len(h.fields))]
	f.sep = d.one(" ", "\t", "  ") + f.sep
}

// oddLine puts in a line that is no field.
func oddLine(h *head, d *draft) {
	f := []field{
		{"no colon", "", "", ""}, {"", ":", "no name", ""},
		{"X Odd", ": ", "1", ""}, {"X(Odd)", ": ", "1", ""}, {"X\"Y", ": ", "1", ""},
		{"X-\x00", ": ", "1", ""}, {"X-\xe9", ": ", "1", ""}, {" X-First", ": ", "1", ""},
	}[d.draws.IntN(8)]
	i := d.draws.IntN(len(h.fields) + 1)
	h.fields = append(h.fields[:i:i], append([]field{f}, h.fields[i:]...)...)
}

// control puts a byte into a value that no value may hold.
func control(h *head, d *draft) {
	f := &h.fields[d.draws.IntN(len(h.fields))]
	i := d.draws.IntN(len(f.value) + 1)
	f.value = f.value[:i] + d.one("\x00", "\x01", "\x1b", "\x7f", "\ra") + f.value[i:]
}

// withBody gives a request that has none a body, and with it the method.
func withBody(h *head, d *draft) {
	if len(h.body) == 0 {
		h.method, h.body = "POST", filler(d.id, 80)
	}
}

func oddLength(h *head, d *draft) {
	withBody(h, d)
	n := len(h.body)
	h.add("Content-Length", d.one("-1", fmt.Sprintf("+%d", n), fmt.Sprintf("0x%x", n), "many", "",
		fmt.Sprintf("%d, %d", n, n+1), fmt.Sprintf("%d.0", n), fmt.Sprintf("%d %d", n, n),
		"99999999999999999999999", "9223372036854775807"))
}

func twoLengths(h *head, d *draft) {
	withBody(h, d)
	h.add("Content-Length", fmt.Sprint(len(h.body)))
	h.add(d.one("Content-Length", "content-length"), fmt.Sprint(d.draws.IntN(len(h.body))))
}

func twoFramings(h *head, d *draft) {
	withBody(h, d)
	body := chunks(h.body, d.draws)
	h.add("Content-Length", fmt.Sprint(d.draws.IntN(len(body)+1)))
	h.add("Transfer-Encoding", "chunked")
	h.body = body
}

// oddCoding: the platform knows chunks alone.
func oddCoding(h *head, d *draft) {
	withBody(h, d)
	h.body = chunks(h.body, d.draws)
	h.add("Transfer-Encoding", d.one("gzip", "chunked, gzip", "gzip, chunked", "identity",
		"chunked, chunked", "xchunked", "chunked\x0b", ""))
	if d.draws.IntN(8) == 0 {
		h.field("Transfer-Encoding").value = "chunked"
		h.add("Transfer-Encoding", "chunked")
	}
}

func oddChunk(h *head, d *draft) {
	withBody(h, d)
	n, body := len(h.body), h.body
	h.add("Transfer-Encoding", "chunked")
	size := fmt.Sprintf("%x", n)
	end := "\r\n0\r\n\r\n"
	switch d.draws.IntN(3) {
	case 0:
		size = d.one("zz", "-1", "", "0x"+size, "+"+size, size+" "+size, "fffffffffffffffffffff", "\x00"+size)
	case 1:
		end = d.one("0\r\n\r\n", "xx0\r\n\r\n", "\n0\n\n")
	default:
		h.body = fmt.Appendf(nil, "%s\n%s\r\n0\r\n\r\n", size, body)
		return
	}
	h.body = fmt.Appendf(nil, "%s\r\n%s%s", size, body, end)
}

// bareLF ends one line of the head, or all, by a line feed alone.
func bareLF(b []byte, d *draft) []byte {
	end := bytes.Index(b, []byte("\r\n\r\n")) + 4
	top, rest := b[:end], b[end:]
	n := -1
	if d.draws.IntN(2) == 0 {
		n = 1
	}
	return append(bytes.Replace(top, []byte("\r\n"), []byte("\n"), n), rest...)
}
