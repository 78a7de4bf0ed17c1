package quota_test

import (
	"testing"
	"time"
)

// Guards against a change of the coordinator that refuses requests of customers that are well below their quotas.
func TestCoordinatorChangesCostLittleBelowTheQuota(t *testing.T) {
	faults := map[string]func(s *simulation){
		"the coordinators restart": func(s *simulation) {
			for c := range s.owner {
				s.restart(s.nodes[s.owner[c]], 3*time.Second)
			}
		},
		"the store reassigns all": func(s *simulation) {
			for c := range s.owner {
				s.reassign(c)
			}
		},
		"the coordinators are cut off": func(s *simulation) {
			for c := range s.owner {
				n := s.nodes[s.owner[c]]
				n.cutOff = true
				s.after(time.Second, func() { n.cutOff = false })
			}
		},
		"the store is unavailable for 3 s": func(s *simulation) {
			s.storeDown = true
			s.after(3*time.Second, func() { s.storeDown = false })
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			end := 25 * time.Second
			customers := customersOf(sites[1], 1)
			for _, c := range customers {
				// A continuing share can serve only demand that stays at its node.
				moving := c.node
				c.node = func(time.Duration) int { return moving(0) }
			}
			s := newSimulation(3, 81, customers)
			s.at(14*time.Second, func() { fault(s) })
			s.run(end)
			served, due := 0.0, 0.0
			for _, c := range customers {
				served += sum(c.served, 13*time.Second, end)
				due += entitled(c.quota, c.due, 13*time.Second, end)
			}
			t.Logf("served %.3f of the due", served/due)
			if served < 0.95*due {
				t.Errorf("served %.3f of the due", served/due)
			}
		})
	}
}
