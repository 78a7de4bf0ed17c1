package serverview_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

var start = time.Unix(1_000_000, 0)

func entry(id string) serving.Server {
	return serving.Server{ID: id, Service: "models", Address: "10.0.0.1:80", Zone: "a", Slots: 8}
}

func inUse(v *serverview.View, now time.Time) []string {
	var ids []string
	for _, c := range v.Candidates(now, "models", serving.Adapter{}) {
		if !c.Leaving {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// Guards against dropping all servers when their entries lapse in an outage of the store, and against servers that are used for good
// without an entry.
func TestServerWithoutAnEntryIsInUseUntilItCountsAsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	v.PutEntry(start, entry("s1"))
	g.Expect(v.RemoveEntry(at(100), "s1", at(2200))).To(gomega.BeTrue())
	g.Expect(inUse(v, at(1900))).To(gomega.ConsistOf("s1"))
	g.Expect(inUse(v, at(2300))).To(gomega.BeEmpty())
	v.PutEntry(at(2400), entry("s1"))
	g.Expect(inUse(v, at(2400))).To(gomega.ConsistOf("s1"))
	g.Expect(v.KeepOnly(at(3000), nil, at(3000))).To(gomega.ConsistOf("s1"))
	g.Expect(inUse(v, at(3000))).To(gomega.BeEmpty())
}

// Guards against a server that is used for longer because its removal is seen once more, or because another node's word isn't taken, and
// against one that is dropped although its entry has reappeared.
func TestServerIsGoneOnceAnyNodeKnows(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, id := range []string{"s1", "s2", "s3"} {
		v.PutEntry(start, entry(id))
	}
	for _, id := range []string{"s1", "s2"} {
		v.RemoveEntry(at(100), id, at(2300))
		v.RemoveEntry(at(200), id, at(2400))
	}
	v.Gone(at(300), []string{"s1", "s3", "unknown"})
	g.Expect(inUse(v, at(300))).To(gomega.ConsistOf("s2", "s3"))
	g.Expect(v.ChangedSince(at(0), at(300))).To(gomega.And(
		gomega.HaveField("Removed", gomega.ConsistOf("s1", "s2")), gomega.HaveField("Gone", gomega.ConsistOf("s1")),
	))
	g.Expect(inUse(v, at(2300))).To(gomega.ConsistOf("s3"))
	g.Expect(v.ChangedSince(at(1300), at(2300))).To(gomega.Equal(serverview.Changes{Gone: []string{"s2"}}), "the grace has ended")
}

func ejected(v *serverview.View, now time.Time) bool {
	return v.Candidates(now, "models", serving.Adapter{Model: "m", Name: "a"})[0].Ejected
}

// Guards against requests to a stalled server until its entry expires after 3.6 s: on the recorded day of rmams-epaves,
// 92 requests of two seconds went to a server whose streams were stalled.
func TestStalledServerIsEjected(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	v.PutEntry(start, entry("s1"))
	endFirst := v.Begin(start, "s1")
	v.BytesReceived(start, "s1")
	defer v.Begin(start, "s1")()
	g.Expect(ejected(v, start.Add(500*time.Millisecond))).To(gomega.BeFalse())
	g.Expect(ejected(v, start.Add(700*time.Millisecond))).To(gomega.BeTrue())
	v.BytesReceived(start.Add(800*time.Millisecond), "s1")
	g.Expect(ejected(v, start.Add(900*time.Millisecond))).To(gomega.BeFalse())
	endFirst()
	g.Expect(ejected(v, start.Add(2*time.Second))).To(gomega.BeFalse())
}

// Guards against requests to a server that its holder cannot reach.
func TestServerUnreachableForItsHolderIsEjected(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	v.PutEntry(start, entry("s1"))
	v.Publish(start, serverview.Published{ServerID: "s1", Fence: 1, Sequence: 1, Ready: true})
	g.Expect(ejected(v, start)).To(gomega.BeFalse())
	v.Publish(start, serverview.Published{ServerID: "s1", Fence: 1, Sequence: 2})
	g.Expect(ejected(v, start)).To(gomega.BeTrue())
	g.Expect(ejected(v, start.Add(2*time.Second))).To(gomega.BeFalse())
}

// Guards against load requests to a dead holder: on the recorded day of haneul-ad, requests waited for a killed holder
// for 0.9 s and were refused, while other servers could have loaded their adapters.
func TestSilentHolderGetsNoLoadRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	v.PutEntry(start, entry("s1"))
	v.Publish(start, serverview.Published{ServerID: "s1", Fence: 1, Sequence: 1, Ready: true})
	alive := func(after time.Duration) bool {
		return v.Candidates(start.Add(after), "models", serving.Adapter{Model: "m", Name: "a"})[0].HolderAlive
	}
	g.Expect(alive(600 * time.Millisecond)).To(gomega.BeTrue())
	g.Expect(alive(850 * time.Millisecond)).To(gomega.BeFalse())
}

// Guards against a restarted server with the same ID whose view still lists the adapters of its previous incarnation.
func TestRestartedServerHoldsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	first, second := entry("s1"), entry("s1")
	first.Born, second.Born = 1, 2
	adapter := serving.Adapter{Model: "m", Name: "a"}
	state := serverview.Published{
		ServerID: "s1", Born: 1, Fence: 1, Sequence: 1, Ready: true, Adapters: map[serving.Adapter]int{adapter: 1},
	}
	v.PutEntry(start, first)
	v.Publish(start, state)
	g.Expect(v.Candidates(start, "models", adapter)[0].Present).To(gomega.BeTrue())
	v.PutEntry(start, second)
	g.Expect(v.Candidates(start, "models", adapter)[0].Present).To(gomega.BeFalse())
	state.Sequence = 2
	g.Expect(v.Publish(start, state)).To(gomega.BeFalse())
}

// Guards against requests to a server that leaves, since the store has returned from a copy in which its entry doesn't say so yet.
func TestOlderEntryDoesNotUndoThatAServerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	ready := entry("s1")
	ready.Born = 7
	leaving, next := ready, ready
	leaving.Draining, next.Born = true, 8
	v.PutEntry(start, ready)
	v.PutEntry(start, leaving)
	v.PutEntry(start, ready)
	g.Expect(inUse(v, start)).To(gomega.BeEmpty())
	v.PutEntry(start, next)
	g.Expect(inUse(v, start)).To(gomega.ConsistOf("s1"), "a new incarnation")
}
