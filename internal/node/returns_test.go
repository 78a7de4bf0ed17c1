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
	n.handleMessage(time.Now(), peerlink.Message{From: readerAt, Digest: &storewatch.Digest{}, StoreEra: 2})
	_, may = n.leases.mayOrder("s")
	g.Expect(may).To(gomega.BeFalse())
	g.Expect(n.leases.rejoin).To(gomega.Receive(), "the node waits for its next regular join")
}

// Guards against readers that keep to themselves which era the store is in.
func TestReadersTellTheEra(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.eras.Answered(3)
	n.watch.recordServersRead(time.Now(), serving.Position{Era: 3, Offset: 1}, n.view.Fingerprint())
	message, fresh := n.digestMessage(time.Now())
	g.Expect(fresh).To(gomega.BeTrue())
	g.Expect(message.StoreEra).To(gomega.Equal(serving.StoreEra(3)))
	g.Expect(message.Digest.Era).To(gomega.Equal(serving.StoreEra(3)))
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

// readerAt is the address of a reader in tests.
const readerAt = "10.0.0.1:7000"

// digestOf is a reader's message with a digest of an era, and what has changed shortly before it.
func digestOf(era serving.StoreEra, offset int64, changed ...serving.Server) peerlink.Message {
	return peerlink.Message{From: readerAt, StoreEra: era, Present: changed, Digest: &storewatch.Digest{
		Era: era, OperatorNext: offset, ServersNext: offset, Servers: 1,
	}}
}

// Guards against a node that relies on what readers had read before the store returned, although it knows itself that it has.
func TestDigestsOfAnEarlierEraCountForNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	n, now := newCrashesNode(t), time.Now()
	n.applyDigest(now, digestOf(1, 900))
	g.Expect(n.watch.followsOperator(now)).To(gomega.BeTrue())
	n.eras.Answered(2)
	g.Expect(n.watch.followsOperator(now)).To(gomega.BeFalse())
	n.applyDigest(now, digestOf(1, 901, serving.Server{ID: "s", Service: "x"}))
	g.Expect(n.watch.followsOperator(now)).To(gomega.BeFalse())
	g.Expect(n.view.Entries(now)).To(gomega.BeEmpty())
	n.applyDigest(now, digestOf(2, 5))
	g.Expect(n.watch.followsOperator(now)).To(gomega.BeTrue())
}

// Guards against a node that ignores the changes that a reader tells of because their offsets are lower than before the return.
func TestChangesOfANewEraHaveLowerOffsets(t *testing.T) {
	g := gomega.NewWithT(t)
	n, now := newCrashesNode(t), time.Now()
	entry := serving.Server{ID: "s", Service: "x", Address: "s:1", Born: 7}
	n.applyStoreServers(serving.ServerBatch{
		Complete: true, Present: []serving.Server{entry}, Next: serving.Cursor{Known: true, Era: 1, Offset: 900},
	})
	leaving := entry
	leaving.Draining = true
	n.applyDigest(now, digestOf(2, 10, leaving))
	g.Expect(n.view.InUse(now, "s")).To(gomega.BeFalse(), "a digest")
	next, left := entry, entry
	next.Born, left.Born, left.Draining = 8, 8, true
	n.applyPeerSnapshot(readerAt, peerSnapshot{Digest: *digestOf(2, 11).Digest, Servers: []serving.Server{next}})
	g.Expect(n.view.InUse(now, "s")).To(gomega.BeTrue(), "a snapshot")
	n.applyStoreServers(serving.ServerBatch{
		Complete: true, Present: []serving.Server{left}, Next: serving.Cursor{Known: true, Era: 1, Offset: 901},
	})
	g.Expect(n.view.InUse(now, "s")).To(gomega.BeTrue(), "a late answer of the earlier era")
}

// Guards against a node that takes a server for present because a reader that still uses it lists it, although its entry is missing and
// may not reappear.
func TestSnapshotListsOnlyServersWithAnEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	n, now := newCrashesNode(t), time.Now()
	n.readyServer()
	n.watch.storeReturned(now)
	n.watch.recordServersRead(now, serving.Position{Offset: 1}, 0)
	n.applyStoreServers(serving.ServerBatch{Complete: true, Next: serving.Cursor{Known: true, Offset: 1}})
	g.Expect(n.view.InUse(now, "s")).To(gomega.BeTrue())
	snapshot, fresh := n.peerSnapshot(now)
	g.Expect(fresh).To(gomega.BeTrue())
	g.Expect(snapshot.Servers).To(gomega.BeEmpty())
}

// Guards against a node that keeps a server in use since it has lost the store alone, although a reader knows that it's gone.
func TestReadersTellWhichServersAreGone(t *testing.T) {
	g := gomega.NewWithT(t)
	reader, follower, now := newCrashesNode(t), newCrashesNode(t), time.Now()
	for _, n := range []*Node{reader, follower} {
		n.readyServer()
	}
	gone := serving.ServerBatch{Gone: []string{"s"}, Next: serving.Cursor{Known: true, Offset: 9}}
	follower.watch.storeReturned(now)
	reader.applyStoreServers(gone)
	reader.watch.recordServersRead(now, gone.Next.Position(), reader.view.Fingerprint())
	message, _ := reader.digestMessage(time.Now())
	message.From = readerAt
	withoutWord := message
	withoutWord.Gone = nil
	follower.applyDigest(now, withoutWord)
	g.Expect(follower.view.InUse(now, "s")).To(gomega.BeTrue())
	follower.applyDigest(now, message)
	g.Expect(follower.view.InUse(time.Now(), "s")).To(gomega.BeFalse())
}

// Guards against a time without calls that is taken for one in which the process stood still, so that a removed server stays in use.
func TestTimeWithoutCallsIsNoOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.watch.entriesServed(time.Now(), 0)
	n.watch.entriesServed(time.Now(), 0)
	before := n.watch.goneAt(time.Now())
	go func() { _ = n.sendDigests(t.Context()) }()
	pass(1300 * time.Millisecond)
	n.watch.entriesServed(time.Now(), 0)
	g.Expect(n.watch.goneAt(time.Now())).To(gomega.Equal(before), "the grace of the start")
}

// Guards against requests to a server that leaves, or that was removed for good, because a store that has returned from an older copy
// lists its entry as it was before.
func TestOlderCopyDoesNotTakeBackADeparture(t *testing.T) {
	entry := serving.Server{ID: "s", Service: "x", Address: "s:1", Slots: 4, Born: 7}
	leaving := entry
	leaving.Draining = true
	for name, departure := range map[string]serving.ServerBatch{
		"draining": {Present: []serving.Server{leaving}, Next: serving.Cursor{Known: true, Era: 1, Offset: 9}},
		"removed":  {Gone: []string{"s"}, Next: serving.Cursor{Known: true, Era: 1, Offset: 9}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newCrashesNode(t)
			n.eras.Answered(1)
			n.applyStoreServers(serving.ServerBatch{
				Complete: true, Present: []serving.Server{entry}, Next: serving.Cursor{Known: true, Era: 1, Offset: 8},
			})
			n.applyStoreServers(departure)
			g.Expect(n.view.InUse(time.Now(), "s")).To(gomega.BeFalse())
			n.eras.Answered(2)
			n.applyStoreServers(serving.ServerBatch{
				Complete: true, Present: []serving.Server{entry}, Next: serving.Cursor{Known: true, Era: 2, Offset: 8},
			})
			g.Expect(n.view.InUse(time.Now(), "s")).To(gomega.BeFalse())
		})
	}
}

// Guards against dropping servers that the copy lacks, by a node that learns of the return from a reader's snapshot alone.
func TestSnapshotOfANewEraTellsOfTheReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.eras.Answered(1)
	n.applyStoreServers(serving.ServerBatch{
		Complete: true, Next: serving.Cursor{Known: true, Era: 1, Offset: 8},
		Present: []serving.Server{{ID: "s", Service: "x", Address: "s:1", Slots: 4, Born: 7}},
	})
	n.applyPeerSnapshot(readerAt, peerSnapshot{Digest: *digestOf(2, 5).Digest})
	g.Expect(n.view.InUse(time.Now(), "s")).To(gomega.BeTrue())
	g.Expect(n.eras.Current()).To(gomega.Equal(serving.StoreEra(2)))
}

// Guards against a server that gets requests again because a complete read that began before it left is answered after a reader has
// told of it.
func TestLateCompleteReadTakesNoDepartureBack(t *testing.T) {
	entry := serving.Server{ID: "s", Service: "x", Address: "s:1", Slots: 4, Born: 7}
	leaving := entry
	leaving.Draining = true
	departed, removed := digestOf(1, 10, leaving), digestOf(1, 10)
	removed.Removed, removed.Gone = []string{"s"}, []string{"s"}
	for name, message := range map[string]peerlink.Message{"draining": departed, "removed": removed} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newCrashesNode(t)
			late := serving.ServerBatch{
				Complete: true, Present: []serving.Server{entry}, Next: serving.Cursor{Known: true, Era: 1, Offset: 9},
			}
			n.eras.Answered(1)
			n.applyStoreServers(late)
			if message.Digest.Servers = 0; name == "draining" {
				v := newCrashesNode(t).view
				v.PutEntry(time.Now(), leaving)
				message.Digest.Servers = v.Fingerprint()
			}
			n.applyDigest(time.Now(), message)
			g.Expect(n.view.InUse(time.Now(), "s")).To(gomega.BeFalse())
			n.applyStoreServers(late)
			g.Expect(n.view.InUse(time.Now(), "s")).To(gomega.BeFalse())
		})
	}
}

// Guards against a removed server that gets requests again, because a record of before its removal arrives after a reader has told of
// that, while this node lacks another of the reader's changes.
func TestOlderRecordTakesNoRemovalBack(t *testing.T) {
	entry := serving.Server{ID: "s", Service: "x", Address: "s:1", Slots: 4, Born: 7}
	older := digestOf(1, 11, entry)
	for name, arrive := range map[string]func(n *Node){
		"another reader's digest": func(n *Node) { n.applyDigest(time.Now(), older) },
		"its own read": func(n *Node) {
			n.applyStoreServers(serving.ServerBatch{Present: older.Present, Next: serving.Cursor{Known: true, Era: 1, Offset: 11}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newCrashesNode(t)
			n.eras.Answered(1)
			n.applyStoreServers(serving.ServerBatch{
				Complete: true, Present: []serving.Server{entry}, Next: serving.Cursor{Known: true, Era: 1, Offset: 8},
			})
			removed := digestOf(1, 12)
			removed.Removed, removed.Gone = []string{"s"}, []string{"s"}
			n.applyDigest(time.Now(), removed)
			g.Expect(n.view.InUse(time.Now(), "s")).To(gomega.BeFalse())
			arrive(n)
			g.Expect(n.view.InUse(time.Now(), "s")).To(gomega.BeFalse())
		})
	}
}

// Guards against a node that learns nothing from readers of builds that name no era in digests, and against one that believes them after
// a return, which they may not know of.
func TestDigestsOfOlderBuildsCountUntilTheStoreReturns(t *testing.T) {
	g := gomega.NewWithT(t)
	n, now := newCrashesNode(t), time.Now()
	n.eras.Answered(1)
	older := digestOf(1, 9, serving.Server{ID: "s", Service: "x"})
	older.Digest.Era = 0
	n.applyDigest(now, older)
	g.Expect(n.watch.followsOperator(now)).To(gomega.BeTrue())
	g.Expect(n.view.InUse(now, "s")).To(gomega.BeTrue())
	n.eras.Answered(2)
	older.StoreEra = 2
	n.applyDigest(now, older)
	g.Expect(n.watch.followsOperator(now)).To(gomega.BeFalse())
}
