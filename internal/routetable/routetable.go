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
	total := totalWeight(route)
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

// Probabilities returns the probability with which PickService returns each of the route's destinations, in their order.
func Probabilities(route *serving.Route) []float64 {
	total := totalWeight(route)
	probabilities := make([]float64, len(route.Services))
	for i, service := range route.Services {
		if total > 0 {
			probabilities[i] = float64(max(service.Weight, 0)) / float64(total)
		}
	}
	return probabilities
}

func totalWeight(route *serving.Route) (total int) {
	for _, service := range route.Services {
		total += max(service.Weight, 0)
	}
	return total
}
