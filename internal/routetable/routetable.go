// Package routetable finds the route of a request.
package routetable

import (
	"math/rand/v2"
	"net"
	"sort"
	"strings"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Table is the route table of one configuration. It is immutable.
type Table struct {
	// byHost holds the routes of each host, longest prefix first.
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

// Match returns the route with the longest prefix of path among those of host, which may carry a port.
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

// PickService draws one of the route's services by weight. It returns an empty name when no weight is positive.
func PickService(route *serving.Route, random *rand.Rand) string {
	total := 0
	for _, service := range route.Services {
		total += max(service.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	drawn := random.IntN(total)
	for _, service := range route.Services {
		drawn -= max(service.Weight, 0)
		if drawn < 0 {
			return service.Service
		}
	}
	return ""
}
