package transport

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"olivebridge/internal/protocol"
)

// checkRequestHead says what is wrong with the head of a request that net/http has taken. It guards the servers
// against heads that the node and they would read in different ways.
func checkRequestHead(r *http.Request, target string) error {
	if err := checkTarget(target); err != nil {
		return err
	}
	if r.Host == "" || strings.ContainsFunc(r.Host, notInHost) {
		return fmt.Errorf("host: missing or malformed: %.80q", r.Host)
	}
	if err := checkConnectionOptions(r.Header["Connection"]); err != nil {
		return err
	}
	for name := range r.Header {
		if err := checkUnderscores(name); err != nil {
			return err
		}
	}
	return nil
}

// notInHost reports whether a character may not stand in a host.
func notInHost(c rune) bool { return !isUnreserved(c) && !strings.ContainsRune("[:]", c) }

// checkUnderscores rejects a name that many servers, which read "_" as "-", take for a second value of a protected
// header field.
func checkUnderscores(name string) error {
	if !strings.Contains(name, "_") {
		return nil
	}
	hyphened := canonicalHeader(strings.ReplaceAll(name, "_", "-"))
	if hyphened != name && isProtectedHeader(hyphened) {
		return fmt.Errorf("%s: stands for %s", name, hyphened)
	}
	return nil
}

// originForm is a target as servers get it: of one that names its host, too, the path and query. net/http has the
// host by then.
func originForm(target string) string {
	const scheme = "http://"
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return target
	}
	afterScheme := target[len(scheme):]
	start := strings.IndexAny(afterScheme, "/?")
	if start < 0 {
		return "/"
	}
	path := afterScheme[start:]
	if path[0] == '?' {
		return "/" + path
	}
	return path
}

// checkTarget takes a path strictly as RFC 3986 has it: a target is forwarded as it came, and servers differ in
// what they make of the rest. A query may hold what browsers leave unescaped in it.
func checkTarget(target string) error {
	if !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		return fmt.Errorf("target: begins with no slash, or with two: %.80q", target)
	}
	query := false
	for i, c := range target {
		query = query || c == '?'
		switch {
		case query && strings.ContainsRune("[]{}|^", c):
		case c == '%' && (len(target) < i+len("%00") || !isHex(target[i+1]) || !isHex(target[i+2])):
			return fmt.Errorf("target: malformed escape: %.80q", target)
		case !isUnreserved(c) && !strings.ContainsRune("%/?:@!$&'()*+,;=", c):
			return fmt.Errorf("target: %q stands unescaped: %.80q", c, target)
		}
	}
	return nil
}

// isUnreserved reports whether a character is an unreserved one of RFC 3986.
func isUnreserved(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '-' || c == '.' || c == '_' || c == '~'
}

// isHex reports whether a character is a hexadecimal digit.
func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// checkConnectionOptions rejects connection options that would take from a request what its server needs: whatever
// Connection names is forwarded no further than to this node.
func checkConnectionOptions(lists []string) error {
	for _, list := range lists {
		for option := range strings.SplitSeq(list, ",") {
			if name := canonicalHeader(strings.TrimSpace(option)); isProtectedHeader(name) {
				return fmt.Errorf("connection options: %s is among them", name)
			}
		}
	}
	return nil
}

// isProtectedHeader reports whether a header field, in canonical form, says where a request goes, where it ends, or
// what it is to the platform.
func isProtectedHeader(name string) bool {
	return protocol.IsPlatformHeader(name) || name == "Host" || name == "Content-Length" || name == "Transfer-Encoding"
}

// canonicalHeader is a header field's name in canonical form.
func canonicalHeader(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }
