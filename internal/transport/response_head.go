package transport

import (
	"slices"
	"strconv"
	"strings"
)

// answerHead is the head of a peer's answer. Its strings are parts of the bytes that came.
type responseHead struct {
	status     int
	fields     []headerField
	length     int64 // what Content-Length says; -1: there is none
	chunked    bool
	closeAfter bool // the peer ends the connection with it
}

// parseHead reads a head, the empty line included. It takes what RFC 9112 has
// and nothing that two readers could take for two things: two lengths, a folded
// line, a name that is no token. It guards calls against being served with what
// no peer made for them.
func parseResponseHead(head string) (h responseHead, err error) {
	line, rest, _ := strings.Cut(head, "\n")
	old, err := h.statusLine(strings.TrimSuffix(line, "\r"))
	if err != nil {
		return h, err
	}
	h.closeAfter = old // HTTP/1.0 ends connections unless it is told not to
	h.length = -1
	h.fields = make([]headerField, 0, strings.Count(rest, "\n"))
	closes := false
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\n")
		if line = strings.TrimSuffix(line, "\r"); line == "" {
			h.closeAfter = h.closeAfter || closes
			return h, nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return h, malformedResponse("a line that is none, or a folded one")
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsFunc(value, isControl) {
			return h, malformedResponse("a control character in a value")
		}
		name = canonicalHeader(name)
		switch name {
		case "Content-Length":
			n, err := strconv.ParseUint(value, 10, 63)
			if h.length >= 0 || h.chunked || err != nil {
				return h, malformedResponse("two lengths, or one that is none")
			}
			h.length = int64(n)
		case "Transfer-Encoding":
			if h.length >= 0 || h.chunked || old || !strings.EqualFold(value, "chunked") {
				return h, malformedResponse("two lengths, or an unknown coding")
			}
			h.chunked = true
		case "Connection":
			for option := range strings.SplitSeq(value, ",") {
				switch option = strings.TrimSpace(option); {
				case strings.EqualFold(option, "close"):
					closes = true
				case strings.EqualFold(option, "keep-alive"):
					h.closeAfter = false
				}
			}
		}
		h.fields = append(h.fields, headerField{name, [1]string{value}})
	}
	return h, malformedResponse("no end of the head")
}

// statusLine reads the first line, and says whether its version is HTTP/1.0.
func (h *responseHead) statusLine(line string) (old bool, err error) {
	version, status, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(status, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(code) != 3 {
		return false, malformedResponse("first line")
	}
	for _, c := range []byte(code) {
		if c < '0' || c > '9' {
			return false, malformedResponse("status")
		}
		h.status = h.status*10 + int(c-'0')
	}
	return version == "HTTP/1.0", nil
}

// values are those of a header, in canonical form.
func (h *responseHead) values(name string) (all []string) {
	for i := range h.fields {
		if h.fields[i].name == name {
			all = append(all, h.fields[i].value[0])
		}
	}
	return all
}

// first is the first value of a header, in canonical form; "": there is none.
func (h *responseHead) first(name string) string {
	for i := range h.fields {
		if h.fields[i].name == name {
			return h.fields[i].value[0]
		}
	}
	return ""
}

// endToEnd drops what concerns one connection only.
func (h *responseHead) endToEnd() []headerField {
	hops := connectionOptions(h.values("Connection"))
	return slices.DeleteFunc(h.fields, func(f headerField) bool { return isHopByHop(f.name) || slices.Contains(hops, f.name) })
}

// token reports whether a name is one that a header may have.
func isToken(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(c rune) bool {
		return !isUnreserved(c) && !strings.ContainsRune("!#$%&'*+^`|", c)
	})
}

// control reports whether a character may not stand in a header's value.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
