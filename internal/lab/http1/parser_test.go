package http1

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// read feeds text in pieces of the given sizes and then the rest at once. It returns a line for each message, and
// "error" for an error.
func read(responses bool, text []byte, sizes []byte) (out []string, buffered int) {
	p := &Parser{responses: responses}
	next := func() bool {
		for {
			m, err := p.Next()
			if err != nil {
				out = append(out, "error")
				return false
			}
			if m == nil {
				return true
			}
			out = append(out, fmt.Sprintf("%s%s%d %q %q %v %d",
				m.Method, m.Target, m.Status, m.Fields, m.Body, m.Close, m.Size))
		}
	}
	for _, s := range sizes {
		n := min(int(s), len(text))
		piece := bytes.Clone(text[:n])
		p.Feed(piece)
		clear(piece) // Feed must not keep it
		if text = text[n:]; !next() {
			return out, p.Buffered()
		}
	}
	p.Feed(text)
	if next() {
		p.Close()
		next()
	}
	return out, p.Buffered()
}

const (
	get     = "GET /api?user=1 HTTP/1.1\r\nHost: p\r\n"
	chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

var requests = []struct{ name, text, want string }{
	{"plain", get + "\r\n", `GET/api?user=10 [{"Host" "p"}] "" false 37`},
	{"a value without space before it", "GET / HTTP/1.1\r\nHost:p \r\n\r\n", `GET/0 [{"Host" "p"}] "" false 27`},
	{"length", "POST / HTTP/1.1\r\nContent-length: 2\r\n\r\nabcd",
		`POST/0 [{"Content-length" "2"}] "ab" false 40`},
	{"chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\nA\r\n0123456789\r\n0\r\n\r\n",
		`POST/0 [{"Transfer-Encoding" "Chunked"}] "ab0123456789" false 74`},
	{"close option", "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n", `GET/0 [{"Connection" "x, Close"}] "" true 40`},
	{"not complete", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", ""},
	{"head not complete", get, ""},
	{"other version", "GET / HTTP/1.0\r\n\r\n", "error"},
	{"no target", "GET HTTP/1.1\r\n\r\n", "error"},
	{"two spaces", "GET  / HTTP/1.1\r\n\r\n", "error"},
	{"absolute target", "GET http://p/ HTTP/1.1\r\n\r\n", "error"},
	{"fragment", "GET /#x HTTP/1.1\r\n\r\n", "error"},
	{"control byte in target", "GET /\x01 HTTP/1.1\r\n\r\n", "error"},
	{"odd method", "G(T / HTTP/1.1\r\n\r\n", "error"},
	{"empty line ahead", "\r\n" + get + "\r\n", "error"},
	{"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na", "error"},
	{"length and coding", "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "error"},
	{"two codings", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "error"},
	{"signed length", "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na", "error"},
	{"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "error"},
	{"huge length", "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "error"},
	{"continuation line", get + " more: of it\r\n\r\n", "error"},
	{"space before the colon", get + "A : b\r\n\r\n", "error"},
	{"bare LF", get + "A: b\nC: d\r\n\r\n", "error"},
	{"bare CR", get + "A: b\rC: d\r\n\r\n", "error"},
	{"no colon", get + "A\r\n\r\n", "error"},
	{"chunk longer than its size", chunked + "2\r\nabcd0\r\n\r\n", "error"},
	{"chunk's size with an extension", chunked + "2;x\r\nab\r\n0\r\n\r\n", "error"},
	{"chunk's size without end", chunked + "0000000000", "error"},
	{"trailer", chunked + "0\r\nA: b\r\n\r\n", "error"},
	{"long head", get + "A: " + strings.Repeat("x", maxHead) + "\r\n\r\n", "error"},
}

var responses = []struct{ name, text, want string }{
	{"length", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", `200 [{"Content-Length" "1"}] "a" false 39`},
	{"interim ones ahead", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nA: b\r\n\r\nHTTP/1.1 204 No\r\n\r\n",
		`204 [] "" false 19`},
	{"body to the end of the connection", "HTTP/1.1 200 OK\r\n\r\nabc", `200 [] "abc" true 22`},
	{"no reason", "HTTP/1.1 500\r\nContent-Length: 0\r\n\r\n", `500 [{"Content-Length" "0"}] "" false 35`},
	{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na", ""},
	{"signed status", "HTTP/1.1 +20 OK\r\n\r\n", "error"},
	{"status out of range", "HTTP/1.1 600 OK\r\n\r\n", "error"},
	{"upgrade", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "error"},
	{"interim with a body", "HTTP/1.1 100 Continue\r\nContent-Length: 1\r\n\r\na", "error"},
	{"noise", "\x16\x03\x01\r\n\r\n", "error"},
}

func TestMessages(t *testing.T) {
	for i, table := range [][]struct{ name, text, want string }{requests, responses} {
		for _, c := range table {
			t.Run(c.name, func(t *testing.T) {
				for _, sizes := range [][]byte{nil, bytes.Repeat([]byte{1}, min(len(c.text), 200)), {17, 3, 2, 9}} {
					if out, _ := read(i == 1, []byte(c.text), sizes); strings.Join(out, "\n") != c.want {
						t.Errorf("in pieces of %v: %q, want %q", sizes, out, c.want)
					}
				}
			})
		}
	}
}

// FuzzPieces guards against a parser whose result depends on how the input is split.
func FuzzPieces(f *testing.F) {
	for i, table := range [][]struct{ name, text, want string }{requests, responses} {
		for _, c := range table {
			f.Add(i == 1, []byte(c.text+c.text), []byte{1, 30, 2})
		}
	}
	f.Fuzz(func(t *testing.T, responses bool, text, sizes []byte) {
		whole, held := read(responses, text, nil)
		pieces, left := read(responses, text, sizes)
		if strings.Join(whole, "\n") != strings.Join(pieces, "\n") {
			t.Fatalf("parsed as a whole %q, in pieces %q", whole, pieces)
		}
		if failed := len(whole) > 0 && whole[len(whole)-1] == "error"; !failed && held != left {
			t.Fatalf("%d bytes are buffered after the whole, %d after the pieces", held, left)
		}
	})
}
