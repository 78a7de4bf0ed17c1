package serverview_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

func plainServer(born int64, address string) serving.Server {
	return serving.Server{ID: "s", Service: "plain", Slots: 4, Born: born, Address: address}
}

// Guards against a server that leaves by its answers and is used again because its entry says that it is ready.
func TestReadyEntryDoesNotUndoWhatTheServerSays(t *testing.T) {
	g := gomega.NewWithT(t)
	v, now := serverview.New(), time.Unix(1000, 0)
	v.PutEntry(now, plainServer(7, "a:1"))
	g.Expect(v.InUse(now, "s")).To(gomega.BeTrue())
	notice := serverview.LeavingNotice{ServerID: "s", Born: 7, Address: "a:1", Since: now}
	g.Expect(v.NoteLeaving(notice)).To(gomega.BeTrue())
	g.Expect(v.NoteLeaving(notice)).To(gomega.BeFalse())
	v.PutEntry(now, plainServer(7, "a:1"))
	v.RemoveEntry(now, "s", now)
	v.PutEntry(now.Add(time.Second), plainServer(7, "a:1"))
	g.Expect(v.InUse(now, "s")).To(gomega.BeFalse())
	g.Expect(v.Candidates(now, "plain", serving.Adapter{})[0].Leaving).To(gomega.BeTrue())
	g.Expect(v.LeavingNotices()).To(gomega.HaveLen(1))
}

// Guards against an incarnation that is taken for one before it, which has left, and against a notice about another one.
func TestNewIncarnationDoesNotLeave(t *testing.T) {
	for name, next := range map[string]serving.Server{
		"start": plainServer(8, "a:1"), "address": plainServer(7, "a:2"),
	} {
		g := gomega.NewWithT(t)
		v, now := serverview.New(), time.Unix(1000, 0)
		v.PutEntry(now, plainServer(7, "a:1"))
		notice := serverview.LeavingNotice{ServerID: "s", Born: 7, Address: "a:1", Since: now.Add(-time.Minute)}
		g.Expect(v.NoteLeaving(notice)).To(gomega.BeTrue(), name)
		g.Expect(v.MaySend(now, "s", 7, now)).To(gomega.BeFalse(), name)
		v.PutEntry(now, next)
		g.Expect(v.InUse(now, "s")).To(gomega.BeTrue(), name)
		g.Expect(v.MaySend(now, "s", next.Born, now)).To(gomega.BeTrue(), name)
		g.Expect(v.NoteLeaving(notice)).To(gomega.BeFalse(), name)
		g.Expect(v.InUse(now, "s")).To(gomega.BeTrue(), name)
	}
}

// Guards against requests to a server that leaves which arrived long after it said so, and against others that are held back.
func TestOnlyRequestsFromBeforeGoToAServerThatLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	v, now := serverview.New(), time.Unix(1000, 0)
	v.PutEntry(now, plainServer(7, "a:1"))
	g.Expect(v.MaySend(now, "s", 7, now.Add(time.Hour))).To(gomega.BeTrue())
	v.NoteLeaving(serverview.LeavingNotice{ServerID: "s", Born: 7, Address: "a:1", Since: now})
	g.Expect(v.MaySend(now, "s", 7, now.Add(900*time.Millisecond))).To(gomega.BeTrue())
	g.Expect(v.MaySend(now, "s", 7, now.Add(1100*time.Millisecond))).To(gomega.BeFalse())
	g.Expect(v.Candidates(now.Add(900*time.Millisecond), "plain", serving.Adapter{})[0].Lingers).To(gomega.BeTrue())
	g.Expect(v.Candidates(now.Add(1100*time.Millisecond), "plain", serving.Adapter{})[0].Lingers).To(gomega.BeFalse())
	earlier := serverview.LeavingNotice{ServerID: "s", Born: 7, Address: "a:1", Since: now.Add(-time.Second)}
	g.Expect(v.NoteLeaving(earlier)).To(gomega.BeFalse())
	g.Expect(v.MaySend(now, "s", 7, now.Add(time.Millisecond))).To(gomega.BeFalse(), "another node heard it before")
}

// Guards against a rest that ends early or late, or that holds for another incarnation.
func TestRestEndsInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	v, now := serverview.New(), time.Unix(1000, 0)
	v.PutEntry(now, plainServer(7, "a:1"))
	g.Expect(v.NoteRest(now, "s", 6, now.Add(time.Hour))).To(gomega.BeFalse())
	g.Expect(v.MaySend(now, "s", 7, now)).To(gomega.BeTrue())
	g.Expect(v.NoteRest(now, "s", 7, now.Add(3*time.Second))).To(gomega.BeTrue())
	g.Expect(v.NoteRest(now, "s", 7, now.Add(time.Second))).To(gomega.BeFalse(), "a shorter one")
	g.Expect(v.NoteRest(now, "s", 7, now.Add(4*time.Second))).To(gomega.BeFalse(), "it goes on")
	v.PutEntry(now, plainServer(7, "a:1"))
	almost, over := now.Add(3900*time.Millisecond), now.Add(4*time.Second)
	g.Expect(v.Candidates(almost, "plain", serving.Adapter{})[0].RestsFor).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(v.MaySend(almost, "s", 7, now)).To(gomega.BeFalse())
	g.Expect(v.MaySend(over, "s", 7, now)).To(gomega.BeTrue())
	g.Expect(v.RestsFor(over, "s")).To(gomega.BeZero())
	v.NoteRest(over, "s", 7, over.Add(time.Hour))
	v.PutEntry(over, plainServer(8, "a:1"))
	g.Expect(v.MaySend(over, "s", 8, over)).To(gomega.BeTrue())
}

// Guards against a server that is left alone for longer than it asked for because the VM was suspended meanwhile, and against a
// rest after the suspension that is cut short by it.
func TestRestGoesOnWhileTheVMIsSuspended(t *testing.T) {
	g := gomega.NewWithT(t)
	v, now := serverview.New(), time.Unix(1000, 0)
	v.PutEntry(now, plainServer(7, "a:1"))
	v.PutEntry(now, serving.Server{ID: "t", Service: "plain", Slots: 4})
	v.NoteRest(now, "s", 7, now.Add(5*time.Second))
	checked := now.Add(time.Second)
	v.NoteRest(checked.Add(time.Millisecond), "t", 0, now.Add(5*time.Second))
	v.NoteSuspension(checked, 3*time.Second)
	g.Expect(v.RestsFor(now, "s")).To(gomega.Equal(2 * time.Second))
	g.Expect(v.RestsFor(now, "t")).To(gomega.Equal(5 * time.Second))
}

// Guards against requests that reach a server over 2 s after its entry has said that it leaves, or was removed, since they were chosen
// for it before and waited for a connection or a credit.
func TestRequestsThatWaitedAreNotWrittenToAServerThatHasLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	v, now := serverview.New(), time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	v.PutEntry(now, plainServer(7, "a:1"))
	leaving := plainServer(7, "a:1")
	leaving.Draining = true
	v.PutEntry(at(100), leaving)
	v.PutEntry(at(500), leaving)
	g.Expect(v.MaySend(at(400), "s", 7, now)).To(gomega.BeTrue())
	g.Expect(v.MaySend(at(700), "s", 7, now)).To(gomega.BeFalse(), "its entry says that it leaves")
	v.PutEntry(at(1000), plainServer(8, "a:1"))
	g.Expect(v.MaySend(at(1000), "s", 8, now)).To(gomega.BeTrue())
	v.RemoveEntry(at(1000), "s", at(2000))
	g.Expect(v.MaySend(at(1900), "s", 8, now)).To(gomega.BeTrue(), "the entry may reappear")
	g.Expect(v.MaySend(at(2000), "s", 8, now)).To(gomega.BeFalse(), "its entry was removed")
}
