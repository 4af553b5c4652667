package transport

import (
	"slices"
	"strconv"
	"strings"
)

// responseHead is the head of a server's response. Its strings are parts of the bytes that came.
type responseHead struct {
	status int
	fields []headerField
	// length is what Content-Length says; -1: there is none.
	length  int64
	chunked bool
	// closeAfter: the server closes the connection with this response.
	closeAfter bool
	http10     bool
}

// parseResponseHead reads a head, the empty line included. It takes what RFC 9112 has and nothing that two readers
// could take for two things: two lengths, a folded line, a name that is no token. It guards calls against being
// served with what no server made for them.
func parseResponseHead(head string) (h responseHead, err error) {
	line, rest, _ := strings.Cut(head, "\n")
	if err := h.parseStatusLine(strings.TrimSuffix(line, "\r")); err != nil {
		return h, err
	}
	h.closeAfter = h.http10 // unless it is told to keep the connection
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
	return h, malformedResponse("no end of the head")
}

// parseStatusLine reads the first line.
func (h *responseHead) parseStatusLine(line string) error {
	version, status, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(status, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(code) != len("200") {
		return malformedResponse("first line")
	}
	for _, c := range []byte(code) {
		if c < '0' || c > '9' {
			return malformedResponse("status")
		}
		h.status = h.status*10 + int(c-'0')
	}
	h.http10 = version == "HTTP/1.0"
	return nil
}

// parseHeaderLine reads a line of the header, and brings its name into canonical form.
func parseHeaderLine(line string) (headerField, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return headerField{}, malformedResponse("a line that is none, or a folded one")
	}
	value = strings.Trim(value, " \t")
	if strings.ContainsFunc(value, isControl) {
		return headerField{}, malformedResponse("a control character in a value")
	}
	return headerField{canonicalHeader(name), [1]string{value}}, nil
}

// parseContentLength reads a Content-Length, of which there may be one, and no Transfer-Encoding beside it.
func (h *responseHead) parseContentLength(value string) error {
	n, err := strconv.ParseUint(value, 10, 63)
	if h.length >= 0 || h.chunked || err != nil {
		return malformedResponse("two lengths, or one that is none")
	}
	h.length = int64(n)
	return nil
}

// parseTransferEncoding reads a Transfer-Encoding, of which there may be one, and no Content-Length beside it.
func (h *responseHead) parseTransferEncoding(value string) error {
	if h.length >= 0 || h.chunked || h.http10 || !strings.EqualFold(value, "chunked") {
		return malformedResponse("two lengths, or an unknown coding")
	}
	h.chunked = true
	return nil
}

// parseConnection reads the options of a Connection field, and reports whether close is among them.
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

// values are those of a header field, in canonical form.
func (h *responseHead) values(name string) []string {
	var all []string
	for i := range h.fields {
		if h.fields[i].name == name {
			all = append(all, h.fields[i].value[0])
		}
	}
	return all
}

// first is the first value of a header field, in canonical form; empty if there is none.
func (h *responseHead) first(name string) string {
	for i := range h.fields {
		if h.fields[i].name == name {
			return h.fields[i].value[0]
		}
	}
	return ""
}

// endToEnd drops the fields that concern one connection only.
func (h *responseHead) endToEnd() []headerField {
	options := connectionOptions(h.values("Connection"))
	return slices.DeleteFunc(h.fields, func(f headerField) bool {
		return isHopByHop(f.name) || slices.Contains(options, f.name)
	})
}

// isToken reports whether a name is one that a header field may have.
func isToken(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(c rune) bool {
		return !isUnreserved(c) && !strings.ContainsRune("!#$%&'*+^`|", c)
	})
}

// isControl reports whether a character may not stand in a header field's value.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
