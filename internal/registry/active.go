package registry

import "github.com/samber/lo"

// Active is a selection of the endpoints of a list: those that accept new requests.
type Active struct {
	All       []Endpoint
	ByService map[string][]Endpoint

	source []Endpoint // list that they were selected from
}

// ActiveOf returns the endpoints of a list that are not leaving.
func ActiveOf(list []Endpoint) Active {
	a := Active{source: list, ByService: make(map[string][]Endpoint)}
	for _, endpoint := range list {
		if !endpoint.Leaving {
			a.All = append(a.All, endpoint)
			a.ByService[endpoint.Service] = append(a.ByService[endpoint.Service], endpoint)
		}
	}
	return a
}

// IsOf reports whether the selection was made from a list that List returned.
func (a *Active) IsOf(list []Endpoint) bool {
	same := len(list) == len(a.source) && (len(list) == 0 || &list[0] == &a.source[0])
	return a.ByService != nil && same
}

// Versions returns the software versions of the endpoints, by service.
func (a *Active) Versions() map[string][]string {
	return lo.MapValues(a.ByService, func(endpoints []Endpoint, _ string) []string {
		return lo.Uniq(lo.Map(endpoints, func(e Endpoint, _ int) string { return e.Version }))
	})
}
