package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// Bounds on the bytes of a message.
const (
	maxHead = 64 << 10
	maxBody = 8 << 20
)

// headEnd ends the head of a message.
const headEnd = "\r\n\r\n"

// Parser takes in bytes and returns messages. It is not safe for concurrent use.
type Parser struct {
	answers  bool // it parses answers, not requests
	buffered []byte
	scanned  int // bytes of buffered known to hold no end of a head
	closed   bool
	err      error // ends the parsing
}

// NewRequestParser returns a parser of requests.
func NewRequestParser() *Parser { return &Parser{} }

// NewAnswerParser returns a parser of answers. It skips interim ones (1xx).
func NewAnswerParser() *Parser { return &Parser{answers: true} }

// Feed takes in bytes. It does not keep b.
func (p *Parser) Feed(b []byte) { p.buffered = append(p.buffered, b...) }

// Close says that no more bytes arrive, which completes an answer without a length.
func (p *Parser) Close() { p.closed = true }

// Buffered returns the number of bytes behind the messages returned so far.
func (p *Parser) Buffered() int { return len(p.buffered) }

// Next returns the next complete message, or nil without an error if more bytes
// are needed. After an error it returns that error only.
func (p *Parser) Next() (*Message, error) {
	for p.err == nil {
		m, size, err := p.parse()
		if err != nil {
			p.err = err
			break
		}
		if m == nil {
			return nil, nil
		}
		p.discard(size)
		if p.answers && m.Status < http.StatusOK {
			continue
		}
		m.Size = size
		return m, nil
	}
	return nil, p.err
}

// discard drops the bytes of a message.
func (p *Parser) discard(size int) {
	p.buffered = p.buffered[size:]
	p.scanned = 0
	if len(p.buffered) == 0 {
		p.buffered = nil
	}
}

// parse parses the message at the beginning of the buffer and returns its size.
// The message is nil while it is not complete.
func (p *Parser) parse() (m *Message, size int, err error) {
	headSize, err := p.findHead()
	if err != nil || headSize == 0 {
		return nil, 0, err
	}
	m, err = p.parseHead(string(p.buffered[:headSize-len(headEnd)]))
	if err != nil {
		return nil, 0, err
	}
	framing, err := m.framing()
	if err != nil {
		return nil, 0, err
	}
	if p.answers && m.hasNoBody() {
		if m.mayNotDeclareBody() && framing.declared() {
			return nil, 0, fmt.Errorf("a body with status %d", m.Status)
		}
		return m, headSize, nil
	}
	bodySize, complete, err := p.parseBody(m, framing, p.buffered[headSize:])
	if err != nil || !complete {
		return nil, 0, err
	}
	return m, headSize + bodySize, nil
}

// findHead returns the size of the head with its end; 0 while it is not complete.
func (p *Parser) findHead() (size int, err error) {
	i := bytes.Index(p.buffered[p.scanned:], []byte(headEnd))
	if i < 0 {
		if len(p.buffered) >= maxHead {
			return 0, errors.New("head: too long")
		}
		p.scanned = max(len(p.buffered)-len(headEnd)+1, 0)
		return 0, nil
	}
	size = p.scanned + i + len(headEnd)
	if size > maxHead {
		return 0, errors.New("head: too long")
	}
	return size, nil
}

// parseBody parses the body of a message out of the bytes behind its head, and
// returns its size on the wire.
func (p *Parser) parseBody(m *Message, framing bodyFraming, rest []byte) (size int, complete bool, err error) {
	switch {
	case framing.chunked:
		m.Body, size, err = parseChunked(rest)
		return size, size > 0, err
	case framing.length == noLength && !p.answers:
		return 0, true, nil
	case framing.length == noLength && !p.closed:
		return 0, false, nil
	case framing.length == noLength:
		m.Body = bytes.Clone(rest)
		m.Close = true
		return len(rest), true, nil
	case len(rest) < framing.length:
		return 0, false, nil
	}
	m.Body = bytes.Clone(rest[:framing.length])
	return framing.length, true, nil
}
