package protocol

import (
	"net/http"

	"olivebridge/balancer"
	"olivebridge/internal/settings"
)

// NameIndex maps the names in the lists of the settings to their positions.
type NameIndex struct {
	Classes map[string]int
	// Tenants is empty if the settings have no tenants.
	Tenants map[string]int
	Zones   map[string]int
	Kinds   map[string]int
	// Methods has the request method of each class, by the position of the class.
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

// requestMethod returns the method that all requests of a class must have. A class with idempotency keys has POST: the
// store of the keys drops duplicates of a request, but the first execution has side effects.
func requestMethod(idempotency balancer.Idempotency) string {
	if idempotency == balancer.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}
