package transport

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"olivebridge/internal/protocol"
)

// checkRequestHead returns an error if the head of a request, which net/http has accepted, is invalid. It protects the
// servers against heads that they might parse differently from the node.
func checkRequestHead(r *http.Request, target string) error {
	if err := checkTarget(target); err != nil {
		return err
	}
	if r.Host == "" || strings.ContainsFunc(r.Host, invalidInHost) {
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

// invalidInHost reports whether a character is invalid in a host.
func invalidInHost(c rune) bool { return !isUnreserved(c) && !strings.ContainsRune("[:]", c) }

// checkUnderscores rejects the name of a header field that becomes the name of a protected field when "_" is read as
// "-". Many servers do so and would see a second value of that field.
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

// originForm returns the target in the form that servers receive: path and query. From a target in absolute form it
// removes scheme and host; net/http has stored the host already.
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

// checkTarget returns an error if the path does not conform strictly to RFC 3986: a target is forwarded unchanged, and
// servers differ in their treatment of other characters. The query may also contain the characters that browsers leave
// unescaped in it.
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

// isUnreserved reports whether a character is unreserved according to RFC 3986.
func isUnreserved(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '-' || c == '.' || c == '_' || c == '~'
}

// isHex reports whether a character is a hexadecimal digit.
func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// checkConnectionOptions rejects connection options that would remove header fields that the server needs: the node
// does not forward the fields that Connection names.
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

// isProtectedHeader reports whether a header field, given in canonical form, determines the destination of a request,
// its end, or its meaning to the platform.
func isProtectedHeader(name string) bool {
	return protocol.IsPlatformHeader(name) || name == "Host" || name == "Content-Length" || name == "Transfer-Encoding"
}

// canonicalHeader returns the name of a header field in canonical form.
func canonicalHeader(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }
