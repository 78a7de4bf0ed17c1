package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverlease"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storeera"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

// Guards against orders of a holder that can't reach the store and doesn't know that it has returned from a copy, while another
// node tells it.
func TestHolderStopsWhenAReaderTellsOfAReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.leases = newLeases(serverlease.Options{Partitions: 8, TTL: leaseTTL, TurnInterval: turnInterval, Fenced: true})
	n.becomeHolderOfAll()
	_, may := n.leases.mayOrder("s")
	g.Expect(may).To(gomega.BeTrue())
	n.handleMessage(time.Now(), peerlink.Message{From: "10.0.0.1:7000", Digest: &storewatch.Digest{}, StoreEra: 2})
	_, may = n.leases.mayOrder("s")
	g.Expect(may).To(gomega.BeFalse())
	g.Expect(n.leases.rejoin).To(gomega.Receive(), "the node waits for its next regular join")
}

// Guards against readers that keep to themselves which era the store is in.
func TestReadersTellTheEra(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.eras.Answered(3)
	n.watch.recordServersRead(time.Now(), 1, n.view.Fingerprint())
	message, fresh := n.digestMessage(time.Now())
	g.Expect(fresh).To(gomega.BeTrue())
	g.Expect(message.StoreEra).To(gomega.Equal(serving.StoreEra(3)))
}

// Guards against owners of before a return that replace those of after it because their generation is higher, or because nobody
// has confirmed the newer ones for a while.
func TestOwnersOfAnEarlierEraAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := testLeases(), time.Now()
	before, after := map[int]string{0: "a", 1: "b"}, map[int]string{0: "b", 1: "a"}
	l.applyOwnersNotice(now, "self", peerlink.OwnersNotice{Era: 1, Version: storeera.Token(1, 9), Owners: before})
	l.applyOwnersNotice(now, "self", peerlink.OwnersNotice{Era: 2, Version: storeera.Token(2, 4), Owners: after})
	g.Expect(l.copyOwners().ByPartition).To(gomega.Equal(after), "the generation is lower than before the return")
	for _, late := range []time.Duration{0, time.Minute} {
		l.applyOwnersNotice(now.Add(late), "self", peerlink.OwnersNotice{Era: 1, Version: storeera.Token(1, 10), Owners: before})
		g.Expect(l.copyOwners().ByPartition).To(gomega.Equal(after))
	}
	l.mu.Lock()
	l.replaceOwners(now, storeera.Token(1, 11), serving.Owners{Era: 1, ByPartition: before})
	l.mu.Unlock()
	g.Expect(l.copyOwners().ByPartition).To(gomega.Equal(after), "a read that was answered late")
	l.setOwners(serving.Owners{Era: 1, ByPartition: before})
	g.Expect(l.copyOwners().ByPartition).To(gomega.Equal(after), "the snapshot of a peer")
}
