package protocol

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// maxBudget bounds a budget, so that sums with it cannot overflow.
const maxBudget = time.Hour

// Names are the places of names in the settings' lists.
type NameIndex struct {
	Classes, Tenants, Zones, Kinds map[string]int
	Methods                        []string // of the classes, by their places
}

// methodOf is the one method of a class's calls. Repeats of a token are dropped
// by whoever keeps it; its first run has an effect all the same.
func methodOf(e balancer.Idempotency) string {
	if e == balancer.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// MethodError says that a call's method is not its class's: what the class lets
// the node do with the call, send it again say, would not hold for it.
type MethodError struct{ Class, Method, Allow string }

func (e *MethodError) Error() string {
	return fmt.Sprintf("method: %.20q, but calls of class %q are made by %s", e.Method, e.Class, e.Allow)
}

// ParseCall reads from the head of a request what decisions need. header gives
// a header's values, query is the raw query. Any error deserves a plain 4xx
// answer and no try; a *MethodError says that it should be 405.
func (n NameIndex) ParseCall(method string, header func(name string) []string, query string) (routing.Call, error) {
	var fields [5]string
	for i, name := range [...]string{HeaderCallID, HeaderClass, HeaderTenant, HeaderTimeout, HeaderRetry} {
		switch v := header(name); {
		case len(v) > 1:
			return routing.Call{}, fmt.Errorf("%s: given %d times", name, len(v))
		case len(v) == 1:
			fields[i] = v[0]
		}
	}
	id, className, caller, left, again := fields[0], fields[1], fields[2], fields[3], fields[4]
	if !validID(id) { // an odd one must not reach a peer
		return routing.Call{}, fmt.Errorf("%s: missing or malformed: %.80q", HeaderCallID, id)
	}
	class, ok := n.Classes[className]
	if !ok {
		return routing.Call{}, fmt.Errorf("%s: missing or unknown: %q", HeaderClass, className)
	}
	if class >= len(n.Methods) || method != n.Methods[class] {
		e := &MethodError{Class: className, Method: method}
		if class < len(n.Methods) {
			e.Allow = n.Methods[class]
		}
		return routing.Call{}, e
	}
	tenant := -1
	if len(n.Tenants) > 0 {
		if tenant, ok = n.Tenants[caller]; !ok {
			return routing.Call{}, fmt.Errorf("%s: missing or unknown: %q", HeaderTenant, caller)
		}
	}
	budget, err := ParseTimeout(left)
	if err != nil {
		return routing.Call{}, err
	}
	key, err := keyOf(query)
	if err != nil {
		return routing.Call{}, err
	}
	return routing.Call{
		ClientRequestID: id, Class: class, Tenant: tenant, AffinityKey: key, ClientRetry: again == "1", Timeout: budget,
	}, nil
}

// maxID bounds a call's id.
const maxID = 128

// validID reports whether an id has 1 to maxID letters, digits and - _ . only.
func validID(id string) bool {
	return id != "" && len(id) <= maxID && !strings.ContainsFunc(id, func(c rune) bool {
		return (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' && c != '.'
	})
}

// ParseBudget reads a time in seconds with decimals: digits and at most one
// point, above zero.
func ParseTimeout(s string) (time.Duration, error) {
	bad := strings.IndexFunc(s, func(c rune) bool { return (c < '0' || c > '9') && c != '.' })
	v, err := strconv.ParseFloat(s, 64)
	if bad >= 0 || err != nil || v <= 0 || v > maxBudget.Seconds() {
		return 0, fmt.Errorf("%s: missing or malformed: %q", HeaderTimeout, s)
	}
	return time.Duration(v * float64(time.Second)), nil
}

// FormatSeconds writes a time as seconds with decimals, and never as less than
// a millisecond.
func FormatSeconds(d time.Duration) string { return string(AppendSeconds(nil, d)) }

// AppendSeconds appends what FormatSeconds writes.
func AppendSeconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, max(d, time.Millisecond).Seconds(), 'f', 3, 64)
}

// keyOf hashes the key that a raw query carries; 0 means none. One that stands
// twice is an error: whoever serves the call may go by the other.
func keyOf(query string) (key uint64, err error) {
	for given := false; query != ""; {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		name, value, _ := strings.Cut(pair, "=")
		if strings.Contains(name, "%") {
			if name, err = url.QueryUnescape(name); err != nil {
				return 0, fmt.Errorf("query: malformed: %.80q", pair)
			}
		}
		if name != AffinityKeyParameter {
			continue
		}
		plain, err := url.QueryUnescape(value) // one key has one hash, however it is escaped
		if err != nil {
			return 0, fmt.Errorf("%s: malformed: %q", AffinityKeyParameter, value)
		}
		if given {
			return 0, fmt.Errorf("%s: given more than once", AffinityKeyParameter)
		}
		if given = true; plain != "" {
			key = hash(plain)
		}
	}
	return key, nil
}
