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
func checkHead(r *http.Request) error {
	if err := checkOptions(r.Header["Connection"]); err != nil {
		return err
	}
	for name := range r.Header {
		// many servers read "_" as "-", and would find a second value
		if plain := canonical(strings.ReplaceAll(name, "_", "-")); plain != name && carries(plain) {
			return fmt.Errorf("%s: stands for %s", name, plain)
		}
	}
	return nil
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
	return protocol.Owned(name) || name == "Host" || name == "Content-Length" || name == "Transfer-Encoding"
}

func canonical(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }
