package protocol

import (
	"fmt"
	"net/url"
	"strings"

	"olivebridge/internal/routing"
)

// maxIDBytes is the maximum length of a call's id.
const maxIDBytes = 128

// MethodError reports that the method of a call is not the request method of its class. The node must not serve such a
// call, since the class would allow retries and the like that are unsafe for the method.
type MethodError struct {
	Class  string
	Method string
	// Allow is the request method of the class; "": the class has none.
	Allow string
}

func (e *MethodError) Error() string {
	return fmt.Sprintf("method: %.20q, but calls of class %q are made by %s", e.Method, e.Class, e.Allow)
}

// callHeaders are the values of the headers that are needed to route a call; "": the header is missing.
type callHeaders struct {
	id      string
	class   string
	tenant  string
	timeout string
	retry   string
}

// ParseCall parses the parts of a request's head that are needed to route the call. header returns the values of a
// header, and query is the raw query. After any error, the caller should answer with a plain 4xx status and make no
// attempt; after a *MethodError the status should be 405.
func (n NameIndex) ParseCall(method string, header func(name string) []string, query string) (routing.Call, error) {
	headers, err := readCallHeaders(header)
	if err != nil {
		return routing.Call{}, err
	}
	if !validID(headers.id) { // a malformed id must not reach a server
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

// readCallHeaders reads the headers of a call. A header that is given more than once is an error. It allocates nothing.
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

// singleValue returns the value of a header; "": the header is missing. More than one value is an error.
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

// classPosition returns the position of a class in the settings. It returns a *MethodError if method is not the request
// method of the class.
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

// tenantPosition returns the position of a tenant in the settings; -1, as in routing.Call: there are no tenants.
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

// validID reports whether an id has 1 to maxIDBytes bytes, all of them ASCII letters, digits, "-", "_" or ".".
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsFunc(id, func(c rune) bool {
		return (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' && c != '.'
	})
}

// parseAffinityKey returns the hash of the affinity key in a raw query; 0: there is no key. A query with more than one
// key is an error, since the server may use another one of them.
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
		plain, err := url.QueryUnescape(value) // the hash must not depend on how the key is escaped
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
