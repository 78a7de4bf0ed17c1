package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverlease"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

func testLeases() *leases { return newLeases(serverlease.Options{Partitions: 2, TTL: leaseTTL}) }

// Guards against owners that a reader which is behind brings back, and against owners that nobody confirms any more.
func TestOwnersFollowTheReadersThatAreAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := testLeases(), time.Now()
	l.applyOwnersNotice(now, "self", peerlink.OwnersNotice{Version: 5, Owners: map[int]string{0: "a", 1: "b"}})
	l.applyOwnersNotice(now, "self", peerlink.OwnersNotice{Version: 4, Owners: map[int]string{0: "old", 1: "old"}})
	g.Expect(l.copyOwners().ByPartition).To(gomega.Equal(map[int]string{0: "a", 1: "b"}))
	l.applyOwnersNotice(now.Add(time.Second), "self", peerlink.OwnersNotice{Version: 5})
	_, current := l.group(now.Add(2500*time.Millisecond), "a", 9, nil, true)
	g.Expect(current).To(gomega.BeTrue(), "a notice without owners confirms them")
	l.applyOwnersNotice(now.Add(3*time.Second), "self", peerlink.OwnersNotice{Version: 6})
	_, current = l.group(now.Add(3500*time.Millisecond), "a", 9, nil, true)
	g.Expect(current).To(gomega.BeFalse())
	g.Expect(l.ownersDue(now.Add(3500 * time.Millisecond))).To(gomega.BeTrue())
	// The store may come back from a copy with an older generation.
	l.applyOwnersNotice(now.Add(4*time.Second), "self", peerlink.OwnersNotice{Version: 3, Owners: map[int]string{0: "c"}})
	g.Expect(l.copyOwners().ByPartition).To(gomega.Equal(map[int]string{0: "c"}))
}

// Guards against a restarted holder that doesn't join because all partitions, its own included, have owners.
func TestNodeFindsItselfAmongTheOwners(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := testLeases(), time.Now()
	l.applyOwnersNotice(now, "self", peerlink.OwnersNotice{Version: 5, Owners: map[int]string{0: "a", 1: "b"}})
	group, _ := l.group(now, "a", 9, nil, true)
	g.Expect(group).To(gomega.Equal(serverlease.Group{Owners: 2, Complete: true, Listed: true, Nodes: 9}))
	group, _ = l.group(now, "c", 9, nil, true)
	g.Expect(group.Listed).To(gomega.BeFalse())
}

// Guards against nodes that lose a change of the owners because only the first digest after it carries them.
func TestReadersRepeatOwnersAfterAChange(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := testLeases(), time.Now()
	l.replaceOwners(now, 5, serving.Owners{ByPartition: map[int]string{0: "a"}})
	g.Expect(l.ownersNotice(now.Add(time.Second), 3, nil).Owners).NotTo(gomega.BeEmpty())
	g.Expect(l.ownersNotice(now.Add(2*time.Second), 3, nil)).To(gomega.Equal(&peerlink.OwnersNotice{Version: 5}))
	g.Expect(l.ownersNotice(now.Add(2*time.Second), 2*ownersNoticeInterval, nil).Owners).NotTo(gomega.BeEmpty())
}

// Guards against peers that forget this node because messages without content are spread too far, and against one to each of
// many peers twice a second.
func TestMessagesWithoutContentAreSpreadOnLargeSites(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct{ peers, most int }{{peers: 8, most: 8 * 11}, {peers: 19, most: 19 * 6}} {
		p, now := newPeers(), time.Now()
		addresses := make(map[string]bool)
		for n := range c.peers {
			addresses[string(rune('a'+n))] = true
		}
		sent, lastSent := 0, make(map[string]time.Time)
		for tick := range 11 {
			at := now.Add(time.Duration(tick) * usagePeriod)
			for _, address := range p.keepAliveDue(at, addresses) {
				p.noteSent(at, address)
				lastSent[address] = at
				sent++
			}
			for address := range addresses {
				g.Expect(at.Sub(lastSent[address])).To(gomega.BeNumerically("<=", subscriberLifetime/3))
			}
		}
		g.Expect(sent).To(gomega.BeNumerically("<=", c.most))
	}
}

// Guards against messages of holders and readers that grow with the nodes until they fill the links of small VMs, and against
// sites of a few nodes that pay for the large ones.
func TestMessagesToAllNodesArePacedByTheirNumber(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(batchPeriodFor(8)).To(gomega.Equal(batchPeriod))
	g.Expect(digestEntries(8)).To(gomega.Equal(digestEntryLimit))
	const holders, nodes = 16, 390
	const linkBytesPerSecond, entryBytes = 20e6 / 8, 200
	g.Expect(holders / batchPeriodFor(nodes).Seconds()).To(gomega.BeNumerically("<=", 64))
	digestBytes := float64(digestEntries(nodes) * nodes * entryBytes)
	g.Expect(digestBytes / digestPeriod.Seconds()).To(gomega.BeNumerically("<=", linkBytesPerSecond))
}

// Guards against nodes with small links that get the partitions of a site that starts.
func TestNodesWithLargeLinksJoinFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(joinDelay(0)).To(gomega.BeZero())
	g.Expect(joinDelay(200)).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(joinDelay(10)).To(gomega.Equal(2 * time.Second))
	g.Expect(joinDelay(1)).To(gomega.Equal(2 * time.Second))
	now, p := time.Now(), newPeers()
	for address, linkMbps := range map[string]float64{"a": 200, "b": 150, "c": 10, "d": 0} {
		p.recordSeen(now, address, "z", 5)
		p.noteLink(address, linkMbps)
	}
	well, self := p.wellConnected(now, 10)
	g.Expect(well).To(gomega.Equal(map[string]bool{"a": true, "b": true}))
	g.Expect(self).To(gomega.BeFalse())
	well, self = p.wellConnected(now, 0)
	g.Expect(well).To(gomega.BeNil())
	g.Expect(self).To(gomega.BeTrue())
}

// Guards against a node that waits for others to join and learns of the holders seconds after they have: after all nodes had lost
// power, 75 of 81 served almost nothing for two seconds longer.
func TestOwnersOfAnIncompleteGroupAreReadAgainSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := newLeases(serverlease.Options{Partitions: 2}), time.Now()
	l.replaceOwners(now, 1, serving.Owners{ByPartition: map[int]string{0: "a"}})
	l.ownersReadAt = now
	g.Expect(l.ownersDue(now.Add(100 * time.Millisecond))).To(gomega.BeFalse())
	g.Expect(l.ownersDue(now.Add(400 * time.Millisecond))).To(gomega.BeTrue())
	l.replaceOwners(now, 1, serving.Owners{ByPartition: map[int]string{0: "a", 1: "b"}})
	g.Expect(l.ownersDue(now.Add(400 * time.Millisecond))).To(gomega.BeFalse())
}
