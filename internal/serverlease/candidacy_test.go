package serverlease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serverlease"
)

// Guards against a partition that nobody holds because each node leaves it to the others.
func TestNodeJoinsWhilePartitionsHaveNoOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, random := range []float64{0, 0.5, 0.999} {
		c := serverlease.NewCandidacy(16)
		c.Consider(serverlease.Group{Owners: 15, Complete: false, Nodes: 195}, random)
		g.Expect(c.Member()).To(gomega.BeTrue())
	}
}

// Guards against the joins of all nodes on sites with many more nodes than partitions, and against too few members.
func TestAsManyNodesJoinAsAreMissing(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct{ owners, nodes, least, most int }{
		{owners: 16, nodes: 195, least: 0, most: 0}, {owners: 13, nodes: 195, least: 1, most: 12},
		{owners: 5, nodes: 6, least: 1, most: 1}, {owners: 6, nodes: 6, least: 0, most: 0},
	} {
		joined := 0
		for range c.nodes - c.owners {
			candidacy := serverlease.NewCandidacy(16)
			candidacy.Consider(serverlease.Group{Owners: c.owners, Complete: true, Nodes: c.nodes}, random.Float64())
			if candidacy.Member() {
				joined++
			}
		}
		g.Expect(joined).To(gomega.And(gomega.BeNumerically(">=", c.least), gomega.BeNumerically("<=", c.most)), "%+v", c)
	}
}

// Guards against a partition that waits for the end of its lease although its owner has only been restarted, and against a
// restarted node that stays away because it doesn't know yet how many others there are.
func TestRestartedNodeJoinsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, group := range []serverlease.Group{
		{Owners: 16, Complete: true, Listed: true, Nodes: 195}, {Owners: 15, Complete: true, Nodes: 0},
	} {
		c := serverlease.NewCandidacy(16)
		c.Consider(group, 0.999)
		g.Expect(c.Member()).To(gomega.BeTrue(), "%+v", group)
	}
}

// Guards against members that leave although they are needed, and against members without partitions that join forever.
func TestOnlyMembersThatAreNotNeededLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	full := serverlease.Group{Owners: 16, Complete: true, Nodes: 195}
	c := serverlease.NewCandidacy(16)
	c.Consider(serverlease.Group{}, 0)
	g.Expect(c.Joined(0, 0, full)).To(gomega.BeFalse())
	g.Expect(c.Joined(2*time.Second, 0, serverlease.Group{Owners: 15, Complete: true, Nodes: 195})).To(gomega.BeFalse())
	g.Expect(c.Joined(4*time.Second, 0, full)).To(gomega.BeFalse())
	g.Expect(c.Joined(6*time.Second, 1, full)).To(gomega.BeFalse())
	g.Expect(c.Joined(9*time.Second, 0, full)).To(gomega.BeFalse())
	g.Expect(c.Joined(12*time.Second, 0, full)).To(gomega.BeTrue())
	c.Left()
	g.Expect(c.Member()).To(gomega.BeFalse())
}
