package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

const (
	crlf = "\r\n"
	// maxChunkSizeDigits is the maximum number of hexadecimal digits of a chunk's size.
	maxChunkSizeDigits = 8
	// noLength is the length of a body for which no field declares one.
	noLength = -1
)

// bodyFraming is how the head of a message declares its body.
type bodyFraming struct {
	chunked bool
	length  int // noLength if the body is chunked or its length is not declared
}

// declared reports whether the head declares a body.
func (f bodyFraming) declared() bool { return f.chunked || f.length != noLength }

// hasNoBody reports whether a response ends with its head.
func (m *Message) hasNoBody() bool {
	return m.mayNotDeclareBody() || m.Status == http.StatusNotModified
}

// mayNotDeclareBody reports whether the head of a response may not declare a body.
func (m *Message) mayNotDeclareBody() bool {
	return m.Status < http.StatusOK || m.Status == http.StatusNoContent
}

// framing returns how the fields of a message declare its body.
func (m *Message) framing() (bodyFraming, error) {
	none := bodyFraming{length: noLength}
	length, lengths := m.Get("Content-Length")
	coding, codings := m.Get("Transfer-Encoding")
	switch {
	case lengths > 1 || codings > 1 || lengths > 0 && codings > 0:
		return none, errors.New("two lengths")
	case codings == 1 && !strings.EqualFold(coding, "chunked"):
		return none, fmt.Errorf("unsupported Transfer-Encoding: %q", coding)
	case codings == 1:
		return bodyFraming{chunked: true, length: noLength}, nil
	case lengths == 0:
		return none, nil
	}
	size, err := strconv.ParseUint(length, 10, 63) // ParseUint accepts no sign
	if err != nil || size > maxBody {
		return none, fmt.Errorf("invalid Content-Length: %.80q", length)
	}
	return bodyFraming{length: int(size)}, nil
}

// parseChunked parses a chunked body without extensions or trailers, which no part of the lab sends. The returned
// size on the wire is 0 while the body is incomplete.
func parseChunked(b []byte) (body []byte, size int, err error) {
	for {
		line := b[size:min(len(b), size+maxChunkSizeDigits+len(crlf))]
		digits := bytes.Index(line, []byte(crlf))
		if digits < 0 && len(line) < maxChunkSizeDigits+len(crlf) {
			return nil, 0, nil
		}
		chunkSize, err := strconv.ParseUint(string(line[:max(digits, 0)]), 16, 32)
		if err != nil || len(body)+int(chunkSize) > maxBody {
			return nil, 0, fmt.Errorf("invalid size of a chunk, or body too long: %q", line)
		}
		size += digits + len(crlf)
		end := size + int(chunkSize)
		if len(b) < end+len(crlf) {
			return nil, 0, nil
		}
		lineEnd := b[end : end+len(crlf)]
		if string(lineEnd) != crlf {
			return nil, 0, fmt.Errorf("chunk is not followed by CRLF: %q", lineEnd)
		}
		body = append(body, b[size:end]...)
		size = end + len(crlf)
		if chunkSize == 0 {
			return body, size, nil
		}
	}
}
