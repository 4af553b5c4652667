package protocol

import (
	"net/http"

	"olivebridge/balancer"
	"olivebridge/internal/settings"
)

// NameIndex has the positions of names in the lists of the settings.
type NameIndex struct {
	Classes map[string]int
	// Tenants is empty where there are none.
	Tenants map[string]int
	Zones   map[string]int
	Kinds   map[string]int
	// Methods are those of the classes, by position.
	Methods []string
}

func newNameIndex(s settings.Node) NameIndex {
	index := NameIndex{
		Classes: s.Classes,
		Tenants: s.Tenants,
		Zones:   s.Zones,
		Kinds:   s.Kinds,
	}
	for _, class := range s.Balancer.Classes {
		index.Methods = append(index.Methods, requestMethod(class.Idempotency))
	}
	return index
}

// requestMethod returns the one method of a class's requests. Repeats of a request with an idempotency key are dropped by
// whoever keeps the key; the first run has an effect all the same.
func requestMethod(idempotency balancer.Idempotency) string {
	if idempotency == balancer.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}
