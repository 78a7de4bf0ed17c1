package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/quota"
)

// site is a size at which quotas are simulated, with the load of the deployments.
type site struct {
	nodes     int
	perSecond float64
	quota     float64
}

var sites = []site{{6, 30, 34_400}, {81, 408, 464_021}, {390, 5_200, 5_900_000}}

// customersOf returns 16 customers whose sizes follow Zipf's law. Demand for each arrives at few nodes, others every 3 s. The
// largest sends 6 times its usual load in every other 4 s.
func customersOf(s site, surge float64) []*customerLoad {
	const count, exponent = 16, 1.2
	total := 0.0
	for i := range count {
		total += math.Pow(float64(i+1), -exponent)
	}
	var customers []*customerLoad
	for i := range count {
		usual := s.perSecond * math.Pow(float64(i+1), -exponent) / total
		width := max(s.nodes/20, 2)
		calls := 0
		customers = append(customers, &customerLoad{
			name: fmt.Sprintf("customer-%d", i), quota: quota.Quota{PerSecond: s.quota, Burst: s.quota}, priority: i % 3,
			rate: func(at time.Duration) float64 {
				if i == 0 && at/(4*time.Second)%2 == 1 {
					return usual * surge
				}
				return usual
			},
			node: func(at time.Duration) int {
				calls++
				first := int(at/(3*time.Second))*31 + i*7
				if calls%5 == 0 {
					return calls * 13 % s.nodes
				}
				return (first + calls%width*calls%width) % s.nodes
			},
		})
	}
	return customers
}

// Guards against quotas that refuse what a customer is entitled to, that admit more than the bound, or that take more
// messages than a node may send.
func TestEntitledDemandIsServed(t *testing.T) {
	for _, site := range sites {
		t.Run(fmt.Sprint(site.nodes), func(t *testing.T) {
			end := 26 * time.Second
			if site.nodes > 100 {
				end = 17 * time.Second
			}
			customers := customersOf(site, 7.5)
			s := newSimulation(1, site.nodes, customers)
			s.run(end)
			from := 6 * time.Second
			for _, c := range customers {
				largest, at := most(c.served, bound.Window)
				served, due := sum(c.served, from, end), entitled(c.quota, c.due, from, end)
				if c.name == "customer-0" || served < 0.95*due {
					t.Logf("%s: demand %.0f due %.0f served %.3f refused %d most %.3f of the bound at %s", c.name, c.demand, due,
						served/due, c.refused, largest/bound.Limit(c.quota), at)
				}
				if largest > bound.Limit(c.quota) {
					t.Errorf("%s: %.0f in a window that ends at %s, bound %.0f", c.name, largest, at, bound.Limit(c.quota))
				}
				if served < 0.95*due {
					t.Errorf("%s: served %.0f of %.0f", c.name, served, due)
				}
			}
			perNode := float64(s.bytes) / end.Seconds() / float64(site.nodes)
			datagrams := float64(s.datagrams) / end.Seconds() / float64(site.nodes)
			t.Logf("%.0f B/s and %.1f datagrams/s per node: %+v", perNode, datagrams, s.kinds)
			if perNode > 1000 {
				t.Errorf("%.0f B/s per node", perNode)
			}
		})
	}
}
