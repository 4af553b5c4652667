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

// Get returns the only value of a field, by any case; n is how many there are.
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
	if i < 0 {
		if len(p.buf) > maxHead {
			return nil, 0, errors.New("head: too long")
		}
		p.seen = max(len(p.buf)-3, 0)
		return nil, 0, nil
	}
	end := p.seen + i + 4
	m, err := p.head(string(p.buf[:end-4]))
	if err != nil {
		return nil, 0, err
	}
	length, chunked, err := m.framing()
	rest := p.buf[end:]
	switch {
	case err != nil:
		return nil, 0, err
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
		if m.Status, err = strconv.Atoi(b); err != nil || m.Status < 100 {
			return nil, fmt.Errorf("status line: %.80q", first)
		}
	} else {
		if a == "" || b == "" || c != "HTTP/1.1" {
			return nil, fmt.Errorf("request line: %.80q", first)
		}
		m.Method, m.Target = a, b
	}
	for line := range strings.SplitSeq(fields, "\r\n") {
		if line == "" {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return nil, fmt.Errorf("field: %.80q", line)
		}
		value = strings.Trim(value, " \t")
		if strings.EqualFold(name, "Connection") && strings.EqualFold(value, "close") {
			m.Last = true
		}
		m.Fields = append(m.Fields, Field{name, value})
	}
	return m, nil
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
	length, err = strconv.Atoi(text)
	if err != nil || length < 0 || length > maxBody {
		return 0, false, fmt.Errorf("length: %q", text)
	}
	return length, false, nil
}

// unchunk reads a chunked body; n is 0 while it is not whole.
func unchunk(b []byte) (body []byte, n int, err error) {
	for {
		i := bytes.Index(b[n:], []byte("\r\n"))
		if i < 0 {
			return nil, 0, nil
		}
		size, err := strconv.ParseUint(string(b[n:n+i]), 16, 32)
		if err != nil || size > maxBody {
			return nil, 0, fmt.Errorf("chunk: %.20q", b[n:n+i])
		}
		n += i + 2
		if len(b) < n+int(size)+2 {
			return nil, 0, nil
		}
		body = append(body, b[n:n+int(size)]...)
		n += int(size) + 2
		if size == 0 { // no trailer: no part of the lab sends one
			return body, n, nil
		}
	}
}
