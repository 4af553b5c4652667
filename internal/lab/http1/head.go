package http1

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Parts of the first line of a message.
const (
	version      = "HTTP/1.1"
	statusDigits = 3
	maxStatus    = 599
)

// parseHead parses a head, without the empty line at its end.
func (p *Parser) parseHead(text string) (*Message, error) {
	firstLine, fields, _ := strings.Cut(text, "\r\n")
	m := &Message{}
	var err error
	if p.responses {
		err = m.parseStatusLine(firstLine)
	} else {
		err = m.parseRequestLine(firstLine)
	}
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(fields, "\r\n") {
		if line == "" {
			continue
		}
		if err := m.parseField(line); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Message) parseRequestLine(line string) error {
	method, rest, _ := strings.Cut(line, " ")
	target, proto, _ := strings.Cut(rest, " ")
	if !isToken(method) || !isTarget(target) || proto != version {
		return fmt.Errorf("invalid request line: %.80q", line)
	}
	m.Method = method
	m.Target = target
	return nil
}

func (m *Message) parseStatusLine(line string) error {
	proto, rest, _ := strings.Cut(line, " ")
	digits, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(digits)
	valid := err == nil && len(digits) == statusDigits && status >= http.StatusContinue && status <= maxStatus
	// 101 would end HTTP on the connection: no part of the lab requests an upgrade.
	if proto != version || !valid || status == http.StatusSwitchingProtocols || !isText(reason) {
		return fmt.Errorf("invalid status line: %.80q", line)
	}
	m.Status = status
	return nil
}

func (m *Message) parseField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) || !isText(value) {
		return fmt.Errorf("invalid field: %.80q", line)
	}
	value = strings.Trim(value, " \t")
	if strings.EqualFold(name, "Connection") {
		m.parseConnection(value)
	}
	m.Fields = append(m.Fields, Field{Name: name, Value: value})
	return nil
}

// parseConnection parses the options of a Connection field.
func (m *Message) parseConnection(value string) {
	for option := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.Trim(option, " \t"), "close") {
			m.Close = true
		}
	}
}

// isToken reports whether s can be a method or the name of a field.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", r)
	})
}

// isTarget reports whether s can be the target of a request: a path and a query.
func isTarget(s string) bool {
	return strings.HasPrefix(s, "/") && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || r == '#'
	})
}

// isText reports whether s can be the value of a field or a reason phrase. A lone CR or LF is invalid, since other
// parsers may take it for the end of the line.
func isText(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}
