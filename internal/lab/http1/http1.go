// Package http1 reads HTTP/1.1 messages out of bytes as they come, for the
// parts of the lab that speak it without goroutines: peers, discovery and
// clients. It is strict: a message that net/http would mend is an error here.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Message is a whole request or answer.
type Message struct {
	Method, Target string // of a request
	Status         int    // of an answer
	Fields         []Field
	Body           []byte
	Last           bool // the sender asks for the connection's end
	Bytes          int  // all of it on the wire
}

// Field is one line of a head. Names keep the form that came.
type Field struct{ Name, Value string }

// Get returns a field's value, by any case, the last one if there are more; n is
// how many there are.
func (m *Message) Get(name string) (value string, n int) {
	for _, f := range m.Fields {
		if strings.EqualFold(f.Name, name) {
			value = f.Value
			n++
		}
	}
	return value, n
}

// Parser takes in bytes and gives out messages.
type Parser struct {
	answers bool
	buf     []byte
	seen    int // bytes of buf known to hold no end of a head
	ended   bool
	err     error
}

// Requests makes a parser of requests, Answers one of answers.
func Requests() *Parser { return &Parser{} }

// Answers makes a parser of answers. Interim ones (1xx) are passed over.
func Answers() *Parser { return &Parser{answers: true} }

// Feed takes in bytes; it keeps none of b.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Close tells that no further bytes come: an answer without a length is whole.
func (p *Parser) Close() { p.ended = true }

// Held is how many bytes stand behind the messages given out.
func (p *Parser) Held() int { return len(p.buf) }

// maxHead and maxBody bound what is read.
const (
	maxHead = 64 << 10
	maxBody = 8 << 20
)

// Next gives the next whole message; nil without an error: more bytes are
// needed. After an error the parser is of no further use.
func (p *Parser) Next() (*Message, error) {
	for p.err == nil {
		m, n, err := p.parse()
		if err != nil {
			p.err = err
			break
		}
		if m == nil {
			return nil, nil
		}
		p.buf, p.seen = p.buf[n:], 0
		if len(p.buf) == 0 {
			p.buf = nil
		}
		if p.answers && m.Status < 200 {
			continue
		}
		m.Bytes = n
		return m, nil
	}
	return nil, p.err
}

func (p *Parser) parse() (*Message, int, error) {
	i := bytes.Index(p.buf[p.seen:], []byte("\r\n\r\n"))
	end := p.seen + i + 4
	switch {
	case i < 0 && len(p.buf) >= maxHead, i >= 0 && end > maxHead:
		return nil, 0, errors.New("head: too long")
	case i < 0:
		p.seen = max(len(p.buf)-3, 0)
		return nil, 0, nil
	}
	m, err := p.head(string(p.buf[:end-4]))
	if err != nil {
		return nil, 0, err
	}
	length, chunked, err := m.framing()
	rest := p.buf[end:]
	switch {
	case err != nil:
		return nil, 0, err
	case p.answers && (m.Status < 200 || m.Status == 204) && (length >= 0 || chunked):
		return nil, 0, fmt.Errorf("a body with status %d", m.Status)
	case p.answers && (m.Status < 200 || m.Status == 204 || m.Status == 304):
		return m, end, nil
	case chunked:
		body, n, err := unchunk(rest)
		if err != nil || n == 0 {
			return nil, 0, err
		}
		m.Body = body
		return m, end + n, nil
	case length < 0 && !p.answers:
		return m, end, nil
	case length < 0 && !p.ended:
		return nil, 0, nil
	case length < 0:
		m.Body, m.Last = bytes.Clone(rest), true
		return m, len(p.buf), nil
	case len(rest) < length:
		return nil, 0, nil
	}
	m.Body = bytes.Clone(rest[:length])
	return m, end + length, nil
}

func (p *Parser) head(text string) (*Message, error) {
	first, fields, _ := strings.Cut(text, "\r\n")
	m := &Message{}
	a, b, _ := strings.Cut(first, " ")
	b, c, _ := strings.Cut(b, " ")
	if p.answers {
		if a != "HTTP/1.1" || len(b) != 3 {
			return nil, fmt.Errorf("status line: %.80q", first)
		}
		var err error
		m.Status, err = strconv.Atoi(b)
		// 101 would be the end of HTTP on the connection: nobody here asks for it.
		if err != nil || m.Status < 100 || m.Status == 101 || m.Status > 599 || !isText(c) {
			return nil, fmt.Errorf("status line: %.80q", first)
		}
	} else {
		if !isToken(a) || !isTarget(b) || c != "HTTP/1.1" {
			return nil, fmt.Errorf("request line: %.80q", first)
		}
		m.Method, m.Target = a, b
	}
	for line := range strings.SplitSeq(fields, "\r\n") {
		if line == "" {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || !isText(value) {
			return nil, fmt.Errorf("field: %.80q", line)
		}
		value = strings.Trim(value, " \t")
		if strings.EqualFold(name, "Connection") {
			for option := range strings.SplitSeq(value, ",") {
				m.Last = m.Last || strings.EqualFold(strings.Trim(option, " \t"), "close")
			}
		}
		m.Fields = append(m.Fields, Field{name, value})
	}
	return m, nil
}

// isToken reports whether s can be a method or a field's name.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", r)
	})
}

// isTarget reports whether s can be a request's target: a path and a query.
func isTarget(s string) bool {
	return strings.HasPrefix(s, "/") && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || r == '#'
	})
}

// isText reports whether s can be a field's value or a reason: a lone CR or LF
// in one may look like the end of a line to somebody else.
func isText(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}

// framing says how long the body is; -1: nothing says so.
func (m *Message) framing() (length int, chunked bool, err error) {
	text, n := m.Get("Content-Length")
	coding, codings := m.Get("Transfer-Encoding")
	switch {
	case n > 1 || codings > 1 || n > 0 && codings > 0:
		return 0, false, errors.New("two lengths")
	case codings == 1 && !strings.EqualFold(coding, "chunked"):
		return 0, false, fmt.Errorf("transfer encoding: %q", coding)
	case codings == 1:
		return 0, true, nil
	case n == 0:
		return -1, false, nil
	}
	size, err := strconv.ParseUint(text, 10, 63) // it takes no sign
	if err != nil || size > maxBody {
		return 0, false, fmt.Errorf("length: %.80q", text)
	}
	return int(size), false, nil
}

// maxChunkLine bounds the digits of a chunk's size.
const maxChunkLine = 8

// unchunk reads a chunked body, without extensions or trailers, which no part
// of the lab sends; n is 0 while it is not whole.
func unchunk(b []byte) (body []byte, n int, err error) {
	for {
		line := b[n:min(len(b), n+maxChunkLine+2)]
		i := bytes.Index(line, []byte("\r\n"))
		if i < 0 && len(line) < maxChunkLine+2 {
			return nil, 0, nil
		}
		size, err := strconv.ParseUint(string(line[:max(i, 0)]), 16, 32)
		if err != nil || len(body)+int(size) > maxBody {
			return nil, 0, fmt.Errorf("chunk: %q", line)
		}
		n += i + 2
		end := n + int(size)
		if len(b) < end+2 {
			return nil, 0, nil
		}
		if string(b[end:end+2]) != "\r\n" {
			return nil, 0, fmt.Errorf("chunk: no end of line behind it: %q", b[end:end+2])
		}
		body = append(body, b[n:end]...)
		n = end + 2
		if size == 0 {
			return body, n, nil
		}
	}
}
