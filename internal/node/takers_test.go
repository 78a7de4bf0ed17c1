package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

var lostServers = []string{"s1", "s2"}

// seeNodes makes nodes of a zone known, some of which can't reach the servers.
func (n *Node) seeNodes(now time.Time, zone string, count, cutOff int) {
	for i := range count {
		address := fmt.Sprintf("10.%s.0.%d:7", zone, i)
		n.peers.recordSeen(now, address, zone, 100)
		if i < cutOff {
			n.handleMessage(now, peerlink.Message{From: address, Zone: zone, UnreachableServers: lostServers})
		}
	}
}

// zonesOf counts takers by zone.
func zonesOf(takers []taker) map[string]int {
	counts := map[string]int{}
	for _, t := range takers {
		counts[t.zone]++
	}
	return counts
}

// Guards against requests that leave their zone although it has enough nodes for them.
func TestNodesOfTheZoneAreNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	n, now := newCrashesNode(t), time.Now()
	n.seeNodes(now, "1", 20, 6)
	n.seeNodes(now, "2", 20, 0)
	g.Expect(zonesOf(n.reach.takersFor(now, "10.1.0.0:7", "1", lostServers))).To(gomega.Equal(map[string]int{"1": maximumTakers}))
}

// Guards against a few nodes that are left in a zone and get the requests of all others there.
func TestNodesOfOtherZonesAreNamedWhenFewAreLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	n, now := newCrashesNode(t), time.Now()
	n.seeNodes(now, "1", 20, 18)
	n.seeNodes(now, "2", 20, 0)
	near := 0
	const draws = 100
	for range draws {
		takers := n.reach.takersFor(now, "10.1.0.0:7", "1", lostServers)
		g.Expect(takers).To(gomega.HaveLen(maximumTakers))
		near += zonesOf(takers)["1"]
	}
	// Two of 22 nodes are in the zone.
	g.Expect(near).To(gomega.BeNumerically("<", draws*maximumTakers/4))
}

// Guards against requests that are handed over to nodes with little bandwidth although others have much.
func TestNodesAreDrawnByTheirBandwidth(t *testing.T) {
	g := gomega.NewWithT(t)
	counts := map[string]int{}
	for range 1000 {
		for _, t := range drawTakers([]taker{{address: "small", linkMbps: 10}, {address: "large", linkMbps: 190}}, 1) {
			counts[t.address]++
		}
	}
	g.Expect(counts["large"]).To(gomega.BeNumerically("~", 950, 50))
	g.Expect(drawTakers([]taker{{address: "a"}, {address: "b"}}, maximumTakers)).To(gomega.HaveLen(2))
}

// Guards against a named node that isn't chosen, or that is chosen for good.
func TestNamedNodeIsChosenWhileItIsNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	n, now := newCrashesNode(t), time.Now()
	n.seeNodes(now, "1", 2, 2)
	g.Expect(n.reach.Choose(lostServers, nil)).To(gomega.BeEmpty())
	n.reach.noteTakers(now, []peerlink.Taker{{Address: "10.2.0.1:7", Zone: "2"}, {Address: n.link.Address()}})
	g.Expect(n.reach.Choose(lostServers, nil)).To(gomega.Equal("10.2.0.1:7"))
	g.Expect(n.reach.recipients(now)).To(gomega.ContainElement("10.2.0.1:7"), "it takes requests of nodes that it knows")
	n.reach.noteTakers(now.Add(-2*takerLifetime), []peerlink.Taker{{Address: "10.2.0.1:7", Zone: "2"}})
	g.Expect(n.reach.Choose(lostServers, nil)).To(gomega.BeEmpty())
}

// knows reports whether a node counts another one as alive.
func (n *Node) knows(other *Node) func() bool {
	return func() bool { return slices.Contains(n.peers.alive(time.Now()), other.link.Address()) }
}

// Guards against a named node that refuses requests because it doesn't know the one that is cut off.
func TestNamedNodeIsToldAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	n, named := newCrashesNode(t), newCrashesNode(t)
	go func() { _ = named.link.Run(t.Context(), named.handleMessage) }()
	n.reach.noteTakers(time.Now(), []peerlink.Taker{{Address: named.link.Address()}})
	g.Eventually(named.knows(n)).Should(gomega.BeTrue())
}

// Guards against a named node that forgets the one that is cut off while it is.
func TestNamedNodeIsToldAsLongAsItIsNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	n, named := newCrashesNode(t), newCrashesNode(t)
	go func() { _ = named.link.Run(t.Context(), named.handleMessage) }()
	now := time.Now()
	n.view.PutEntry(now, serving.Server{ID: "s", Address: closedAddress(t), Service: "x"})
	n.view.Unreachable(now, "s")
	n.reach.named[named.link.Address()] = taker{address: named.link.Address(), until: now.Add(time.Minute)}
	go func() { _ = n.reach.run(t.Context()) }()
	g.Eventually(named.knows(n)).Should(gomega.BeTrue())
}
