// Package routetable finds the route of a request.
package routetable

import (
	"math/rand/v2"
	"net"
	"sort"
	"strings"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Table is the immutable route table of one configuration.
type Table struct {
	// byHost maps each lower-case host to its routes, longest prefix first.
	byHost map[string][]*serving.Route
}

// New returns the table of a configuration.
func New(config *serving.Configuration) *Table {
	table := &Table{byHost: make(map[string][]*serving.Route)}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return table
}

// Match returns the route of host with the longest path prefix that matches path. The host may include a port and is
// compared without regard to case.
func (t *Table) Match(host, path string) (*serving.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// PickService returns the name of a random service of the route, with probabilities in proportion to the weights. It
// returns an empty name when no weight is positive.
func PickService(route *serving.Route, random *rand.Rand) string {
	total := 0
	for _, service := range route.Services {
		total += max(service.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	remainder := random.IntN(total)
	for _, service := range route.Services {
		remainder -= max(service.Weight, 0)
		if remainder < 0 {
			return service.Service
		}
	}
	return ""
}
