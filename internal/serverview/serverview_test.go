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

// Guards against requests to a server that left more than two seconds ago (haneul-ad scale-2, seed 785203314788): its
// entry disappeared 2.25 s after an outage had ended, but got the grace of entries that expire during an outage.
func TestServerIsGoneOnceEntriesHadTimeToComeBack(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	v.PutEntry(start, entry("s1"))
	v.StoreFailed(start)

	v.RemoveEntry(start.Add(2250*time.Millisecond), "s1")
	g.Expect(inUse(v, start.Add(2250*time.Millisecond))).To(gomega.BeEmpty())
}

// Guards against dropping all servers when their entries expire during an outage of the store.
func TestEntriesThatExpireInAnOutageGetAGracePeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	v.PutEntry(start, entry("s1"))
	v.StoreFailed(start)

	v.RemoveEntry(start.Add(100*time.Millisecond), "s1")
	g.Expect(inUse(v, start.Add(1900*time.Millisecond))).To(gomega.ConsistOf("s1"))
	g.Expect(inUse(v, start.Add(2300*time.Millisecond))).To(gomega.BeEmpty())

	v.PutEntry(start.Add(2400*time.Millisecond), entry("s1"))
	g.Expect(inUse(v, start.Add(2400*time.Millisecond))).To(gomega.ConsistOf("s1"))
}

// Guards against a server that is never removed because the store continues to fail after its entry disappeared.
func TestServerIsRemovedWhileTheStoreKeepsFailing(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	v.PutEntry(start, entry("s1"))
	v.StoreFailed(start)
	v.RemoveEntry(start.Add(100*time.Millisecond), "s1")
	for at := 200 * time.Millisecond; at < 3*time.Second; at += 100 * time.Millisecond {
		v.StoreFailed(start.Add(at))
	}
	g.Expect(inUse(v, start.Add(3*time.Second))).To(gomega.BeEmpty())
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
