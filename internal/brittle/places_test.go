package brittle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/brittle"
)

// crowd plays nodes without a coordinator that have more requests for a server than it has room for.
type crowd struct {
	random *rand.Rand
	places []*brittle.Places
	// running holds the node and the end of each request in progress.
	running    []runningRequest
	rejections []time.Time
	served     int
	falls      int
}

type runningRequest struct {
	node int
	ends time.Time
}

const (
	crowdSlots     = 6
	crowdTolerance = 3.0
	crowdWork      = 40 * time.Millisecond
	crowdLength    = 60 * time.Second
	// crowdRequests is the probability that a node has a request in one millisecond.
	crowdRequests = 0.05
)

func playCrowd(nodes int, seed uint64) *crowd {
	c := &crowd{random: rand.New(rand.NewPCG(seed, uint64(nodes)))}
	for range nodes {
		c.places = append(c.places, brittle.NewPlaces(at(0), c.random.Float64()))
	}
	for now := at(0); now.Before(at(0).Add(crowdLength)); now = now.Add(time.Millisecond) {
		c.endRequests(now)
		for _, n := range c.random.Perm(nodes) {
			if c.random.Float64() < crowdRequests && c.places[n].Take(now, crowdTolerance, nodes) {
				c.arrive(now, n)
			}
		}
	}
	return c
}

func (c *crowd) endRequests(now time.Time) {
	left := c.running[:0]
	for _, r := range c.running {
		if now.Before(r.ends) {
			left = append(left, r)
			continue
		}
		c.places[r.node].Ended(now)
		c.served++
	}
	c.running = left
}

func (c *crowd) arrive(now time.Time, node int) {
	if len(c.running) < crowdSlots {
		c.running = append(c.running, runningRequest{node, now.Add(crowdWork)})
		return
	}
	c.rejections = append(c.rejections, now)
	for now.Sub(c.rejections[0]) >= time.Second {
		c.rejections = c.rejections[1:]
	}
	if len(c.rejections) > crowdTolerance {
		c.falls++
		c.rejections = nil
	}
}

// Guards against nodes without a coordinator under whose rejections a crowded server falls over more often than the platform
// allows in a minute, and against a server that stays empty then.
func TestNodesWithoutCoordinatorKeepToTheTolerance(t *testing.T) {
	for _, nodes := range []int{6, 20, 71, 390} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			g := gomega.NewWithT(t)
			for seed := range uint64(5) {
				c := playCrowd(nodes, seed)
				used := float64(c.served) * crowdWork.Seconds() / (crowdSlots * crowdLength.Seconds())
				g.Expect(c.falls).To(gomega.BeNumerically("<=", 2), "seed %d", seed)
				g.Expect(used).To(gomega.BeNumerically(">=", 0.5), "seed %d", seed)
			}
		})
	}
}
