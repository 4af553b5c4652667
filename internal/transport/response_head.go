package transport

import (
	"slices"
	"strconv"
	"strings"
)

// responseHead is the parsed head of a server's response. Its strings share the memory of the received bytes.
type responseHead struct {
	status int
	fields []headerField
	// length is the value of Content-Length; -1: there is none.
	length  int64
	chunked bool
	// closeAfter is true if the server closes the connection after this response.
	closeAfter bool
	http10     bool
}

// parseResponseHead parses a head, which ends with the empty line. It accepts only what RFC 9112 allows, and rejects
// everything that two parsers could read differently: two lengths, a folded line, a field name that is not a token.
// Otherwise a client could receive a response that no server sent.
func parseResponseHead(head string) (h responseHead, err error) {
	line, rest, _ := strings.Cut(head, "\n")
	if err := h.parseStatusLine(strings.TrimSuffix(line, "\r")); err != nil {
		return h, err
	}
	h.closeAfter = h.http10 // HTTP/1.0 closes unless Connection says keep-alive
	h.length = -1
	h.fields = make([]headerField, 0, strings.Count(rest, "\n"))
	closes := false
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\n")
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			h.closeAfter = h.closeAfter || closes
			return h, nil
		}
		field, err := parseHeaderLine(line)
		if err != nil {
			return h, err
		}
		value := field.value[0]
		switch field.name {
		case "Content-Length":
			err = h.parseContentLength(value)
		case "Transfer-Encoding":
			err = h.parseTransferEncoding(value)
		case "Connection":
			closes = h.parseConnection(value) || closes
		}
		if err != nil {
			return h, err
		}
		h.fields = append(h.fields, field)
	}
	return h, malformedResponse("head without an empty line at its end")
}

// parseStatusLine parses the status line.
func (h *responseHead) parseStatusLine(line string) error {
	version, status, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(status, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(code) != len("200") {
		return malformedResponse("status line: invalid version or status code")
	}
	for _, c := range []byte(code) {
		if c < '0' || c > '9' {
			return malformedResponse("status line: status code is not a number")
		}
		h.status = h.status*10 + int(c-'0')
	}
	h.http10 = version == "HTTP/1.0"
	return nil
}

// parseHeaderLine parses one line of a header and returns its name in canonical form.
func parseHeaderLine(line string) (headerField, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return headerField{}, malformedResponse("header line without a valid field name")
	}
	value = strings.Trim(value, " \t")
	if strings.ContainsFunc(value, isControl) {
		return headerField{}, malformedResponse("header field value with a control character")
	}
	return headerField{canonicalHeader(name), [1]string{value}}, nil
}

// parseContentLength parses the value of a Content-Length field. A head may have only one, and no Transfer-Encoding
// beside it.
func (h *responseHead) parseContentLength(value string) error {
	n, err := strconv.ParseUint(value, 10, 63)
	if h.length >= 0 || h.chunked || err != nil {
		return malformedResponse("Content-Length: invalid, repeated or beside Transfer-Encoding")
	}
	h.length = int64(n)
	return nil
}

// parseTransferEncoding parses the value of a Transfer-Encoding field. A head may have only one, and no Content-Length
// beside it.
func (h *responseHead) parseTransferEncoding(value string) error {
	if h.length >= 0 || h.chunked || h.http10 || !strings.EqualFold(value, "chunked") {
		return malformedResponse("Transfer-Encoding: unknown coding, repeated, beside Content-Length or in HTTP/1.0")
	}
	h.chunked = true
	return nil
}

// parseConnection parses the options of a Connection field and reports whether one of them is close.
func (h *responseHead) parseConnection(value string) (closes bool) {
	for option := range strings.SplitSeq(value, ",") {
		option = strings.TrimSpace(option)
		switch {
		case strings.EqualFold(option, "close"):
			closes = true
		case strings.EqualFold(option, "keep-alive"):
			h.closeAfter = false
		}
	}
	return closes
}

// values returns the values of the header field with this name in canonical form.
func (h *responseHead) values(name string) []string {
	var all []string
	for i := range h.fields {
		if h.fields[i].name == name {
			all = append(all, h.fields[i].value[0])
		}
	}
	return all
}

// firstValue returns the first value of the header field with this name in canonical form; empty if there is none.
func (h *responseHead) firstValue(name string) string {
	for i := range h.fields {
		if h.fields[i].name == name {
			return h.fields[i].value[0]
		}
	}
	return ""
}

// endToEndFields removes the fields that apply to a single connection only, and returns the others.
func (h *responseHead) endToEndFields() []headerField {
	options := connectionOptions(h.values("Connection"))
	return slices.DeleteFunc(h.fields, func(f headerField) bool {
		return isHopByHop(f.name) || slices.Contains(options, f.name)
	})
}

// isToken reports whether name is a token, which header field names must be.
func isToken(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(c rune) bool {
		return !isUnreserved(c) && !strings.ContainsRune("!#$%&'*+^`|", c)
	})
}

// isControl reports whether c is a control character that a header field's value must not contain.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
