package protocol

import (
	"fmt"
	"net/url"
	"strings"

	"olivebridge/internal/routing"
)

// maxIDBytes bounds a call's id.
const maxIDBytes = 128

// MethodError says that a call's method is not its class's: what the class lets the node do with the call, such as a
// retry, would not hold for it.
type MethodError struct {
	Class  string
	Method string
	// Allow is the class's method; "": it has none.
	Allow string
}

func (e *MethodError) Error() string {
	return fmt.Sprintf("method: %.20q, but calls of class %q are made by %s", e.Method, e.Class, e.Allow)
}

// callHeaders are the headers of a call that decisions need; "" where one is missing.
type callHeaders struct {
	id      string
	class   string
	tenant  string
	timeout string
	retry   string
}

// ParseCall parses from the head of a request what decisions need. header returns a header's values, query is the raw
// query. Any error deserves a plain 4xx answer and no attempt; a *MethodError says that it should be 405.
func (n NameIndex) ParseCall(method string, header func(name string) []string, query string) (routing.Call, error) {
	headers, err := readCallHeaders(header)
	if err != nil {
		return routing.Call{}, err
	}
	if !validID(headers.id) { // a malformed one must not reach a server
		return routing.Call{}, fmt.Errorf("%s: missing or malformed: %.80q", HeaderCallID, headers.id)
	}
	class, err := n.classPosition(headers.class, method)
	if err != nil {
		return routing.Call{}, err
	}
	tenant, err := n.tenantPosition(headers.tenant)
	if err != nil {
		return routing.Call{}, err
	}
	timeout, err := ParseTimeout(headers.timeout)
	if err != nil {
		return routing.Call{}, err
	}
	key, err := parseAffinityKey(query)
	if err != nil {
		return routing.Call{}, err
	}
	return routing.Call{
		ClientRequestID: headers.id,
		Class:           class,
		Tenant:          tenant,
		AffinityKey:     key,
		ClientRetry:     headers.retry == "1",
		Timeout:         timeout,
	}, nil
}

// readCallHeaders reads headers of which each may be given once. It allocates nothing.
func readCallHeaders(header func(name string) []string) (callHeaders, error) {
	var values callHeaders
	var err error
	if values.id, err = singleValue(header, HeaderCallID); err != nil {
		return callHeaders{}, err
	}
	if values.class, err = singleValue(header, HeaderClass); err != nil {
		return callHeaders{}, err
	}
	if values.tenant, err = singleValue(header, HeaderTenant); err != nil {
		return callHeaders{}, err
	}
	if values.timeout, err = singleValue(header, HeaderTimeout); err != nil {
		return callHeaders{}, err
	}
	if values.retry, err = singleValue(header, HeaderRetry); err != nil {
		return callHeaders{}, err
	}
	return values, nil
}

// singleValue returns the value of a header; "": it is missing.
func singleValue(header func(name string) []string, name string) (string, error) {
	switch values := header(name); len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	default:
		return "", fmt.Errorf("%s: given %d times", name, len(values))
	}
}

// classPosition returns a class's position if the method is its own.
func (n NameIndex) classPosition(name, method string) (int, error) {
	class, known := n.Classes[name]
	if !known {
		return 0, fmt.Errorf("%s: missing or unknown: %q", HeaderClass, name)
	}
	allowed := ""
	if class < len(n.Methods) {
		allowed = n.Methods[class]
	}
	if allowed == "" || method != allowed {
		return 0, &MethodError{Class: name, Method: method, Allow: allowed}
	}
	return class, nil
}

// tenantPosition returns a tenant's position, or routing.Call's -1 where the settings have no tenants.
func (n NameIndex) tenantPosition(name string) (int, error) {
	if len(n.Tenants) == 0 {
		return -1, nil
	}
	tenant, known := n.Tenants[name]
	if !known {
		return 0, fmt.Errorf("%s: missing or unknown: %q", HeaderTenant, name)
	}
	return tenant, nil
}

// validID reports whether an id has 1 to maxIDBytes letters, digits and - _ . only.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsFunc(id, func(c rune) bool {
		return (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' && c != '.'
	})
}

// parseAffinityKey returns the hash of the affinity key in a raw query; 0 means none. A key that is given twice is an
// error: the server may go by the other one.
func parseAffinityKey(query string) (uint64, error) {
	var key uint64
	given := false
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		name, value, _ := strings.Cut(pair, "=")
		if strings.Contains(name, "%") {
			plainName, err := url.QueryUnescape(name)
			if err != nil {
				return 0, fmt.Errorf("query: malformed: %.80q", pair)
			}
			name = plainName
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
		given = true
		if plain != "" {
			key = hash(plain)
		}
	}
	return key, nil
}
