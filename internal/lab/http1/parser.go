package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// Limits of a message's parts, in bytes.
const (
	maxHead = 64 << 10
	maxBody = 8 << 20
)

// headEnd ends the head of a message.
const headEnd = "\r\n\r\n"

// Parser parses messages from the bytes fed to it. It is not safe for concurrent use.
type Parser struct {
	responses bool // it parses responses, not requests
	buffered  []byte
	scanned   int // number of leading bytes of buffered that hold no end of a head
	closed    bool
	err       error // the error that ended the parsing
}

// NewRequestParser returns a parser of requests.
func NewRequestParser() *Parser { return &Parser{} }

// NewResponseParser returns a parser of responses. It skips interim responses (1xx).
func NewResponseParser() *Parser { return &Parser{responses: true} }

// Feed appends bytes to the input. It does not keep b.
func (p *Parser) Feed(b []byte) { p.buffered = append(p.buffered, b...) }

// Close marks the end of the input, which completes a response without a declared length.
func (p *Parser) Close() { p.closed = true }

// Buffered returns the number of bytes that follow the messages returned so far.
func (p *Parser) Buffered() int { return len(p.buffered) }

// Next returns the next complete message, or nil without an error if more bytes are needed. After an error it always
// returns the same error.
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
		if p.responses && m.Status < http.StatusOK {
			continue
		}
		m.Size = size
		return m, nil
	}
	return nil, p.err
}

// discard removes the bytes of a message from the buffer.
func (p *Parser) discard(size int) {
	p.buffered = p.buffered[size:]
	p.scanned = 0
	if len(p.buffered) == 0 {
		p.buffered = nil
	}
}

// parse parses the message at the beginning of the buffer and returns its size in bytes. The message is nil while it
// is incomplete.
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
	if p.responses && m.hasNoBody() {
		if m.mayNotDeclareBody() && framing.declared() {
			return nil, 0, fmt.Errorf("body declared with status %d, which has none", m.Status)
		}
		return m, headSize, nil
	}
	bodySize, complete, err := p.parseBody(m, framing, p.buffered[headSize:])
	if err != nil || !complete {
		return nil, 0, err
	}
	return m, headSize + bodySize, nil
}

// findHead returns the size of the head including its end, or 0 while the head is incomplete.
func (p *Parser) findHead() (size int, err error) {
	i := bytes.Index(p.buffered[p.scanned:], []byte(headEnd))
	if i < 0 {
		if len(p.buffered) >= maxHead {
			return 0, errors.New("head is longer than 64 KiB")
		}
		p.scanned = max(len(p.buffered)-len(headEnd)+1, 0)
		return 0, nil
	}
	size = p.scanned + i + len(headEnd)
	if size > maxHead {
		return 0, errors.New("head is longer than 64 KiB")
	}
	return size, nil
}

// parseBody parses the body of a message from the bytes after its head, and returns the size of the body on the wire.
func (p *Parser) parseBody(m *Message, framing bodyFraming, rest []byte) (size int, complete bool, err error) {
	switch {
	case framing.chunked:
		m.Body, size, err = parseChunked(rest)
		return size, size > 0, err
	case framing.length == noLength && !p.responses:
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
