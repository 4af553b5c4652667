package transport

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"olivebridge/internal/protocol"
)

// checkHead says what is wrong with the head of a request that net/http has
// taken. It guards the peers against heads that the node and they would read
// in different ways.
func checkHead(r *http.Request, target string) error {
	if err := checkTarget(target); err != nil {
		return err
	}
	odd := func(c rune) bool { return !unreserved(c) && !strings.ContainsRune("[:]", c) }
	if r.Host == "" || strings.ContainsFunc(r.Host, odd) {
		return fmt.Errorf("host: missing or malformed: %.80q", r.Host)
	}
	if err := checkOptions(r.Header["Connection"]); err != nil {
		return err
	}
	for name := range r.Header {
		if !strings.Contains(name, "_") {
			continue
		}
		// many servers read "_" as "-", and would find a second value
		if plain := canonical(strings.ReplaceAll(name, "_", "-")); plain != name && carries(plain) {
			return fmt.Errorf("%s: stands for %s", name, plain)
		}
	}
	return nil
}

// originForm is a target as peers get it: of one that names its host, too, the
// path and query. net/http has the host by then.
func originForm(target string) string {
	const scheme = "http://"
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return target
	}
	at := strings.IndexAny(target[len(scheme):], "/?")
	if at < 0 {
		return "/"
	}
	if target = target[len(scheme)+at:]; target[0] == '?' {
		target = "/" + target
	}
	return target
}

// checkTarget takes a path as RFC 3986 has it, to the letter: a target goes on as
// it came, and servers part on what the rest means. A query may hold what
// browsers leave unescaped in it.
func checkTarget(target string) error {
	if !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		return fmt.Errorf("target: begins with no slash, or with two: %.80q", target)
	}
	query := false
	for i, c := range target {
		query = query || c == '?'
		switch {
		case query && strings.ContainsRune("[]{}|^", c):
		case c == '%' && (len(target) < i+3 || !hex(target[i+1]) || !hex(target[i+2])):
			return fmt.Errorf("target: malformed escape: %.80q", target)
		case !unreserved(c) && !strings.ContainsRune("%/?:@!$&'()*+,;=", c):
			return fmt.Errorf("target: %q stands unescaped: %.80q", c, target)
		}
	}
	return nil
}

func unreserved(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '-' || c == '.' || c == '_' || c == '~'
}

func hex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// checkOptions finds connection options that would take from a request what its
// peer needs: whatever Connection names goes no further than to this node.
func checkOptions(lists []string) error {
	for _, list := range lists {
		for option := range strings.SplitSeq(list, ",") {
			if name := canonical(strings.TrimSpace(option)); carries(name) {
				return fmt.Errorf("connection options: %s is among them", name)
			}
		}
	}
	return nil
}

// carries reports whether a header says where a request goes, where it ends, or
// what it is to the platform.
func carries(name string) bool {
	return protocol.IsPlatformHeader(name) || name == "Host" || name == "Content-Length" || name == "Transfer-Encoding"
}

func canonical(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }
