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
	v.RemoveEntry(now, "s")
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
		g.Expect(v.MaySend("s", 7, now)).To(gomega.BeFalse(), name)
		v.PutEntry(now, next)
		g.Expect(v.InUse(now, "s")).To(gomega.BeTrue(), name)
		g.Expect(v.MaySend("s", next.Born, now)).To(gomega.BeTrue(), name)
		g.Expect(v.NoteLeaving(notice)).To(gomega.BeFalse(), name)
		g.Expect(v.InUse(now, "s")).To(gomega.BeTrue(), name)
	}
}

// Guards against requests to a server that leaves which arrived long after it said so, and against others that are held back.
func TestOnlyRequestsFromBeforeGoToAServerThatLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	v, now := serverview.New(), time.Unix(1000, 0)
	v.PutEntry(now, plainServer(7, "a:1"))
	g.Expect(v.MaySend("s", 7, now.Add(time.Hour))).To(gomega.BeTrue())
	v.NoteLeaving(serverview.LeavingNotice{ServerID: "s", Born: 7, Address: "a:1", Since: now})
	g.Expect(v.MaySend("s", 7, now.Add(900*time.Millisecond))).To(gomega.BeTrue())
	g.Expect(v.MaySend("s", 7, now.Add(1100*time.Millisecond))).To(gomega.BeFalse())
	g.Expect(v.Candidates(now.Add(900*time.Millisecond), "plain", serving.Adapter{})[0].Lingers).To(gomega.BeTrue())
	g.Expect(v.Candidates(now.Add(1100*time.Millisecond), "plain", serving.Adapter{})[0].Lingers).To(gomega.BeFalse())
	earlier := serverview.LeavingNotice{ServerID: "s", Born: 7, Address: "a:1", Since: now.Add(-time.Second)}
	g.Expect(v.NoteLeaving(earlier)).To(gomega.BeFalse())
	g.Expect(v.MaySend("s", 7, now.Add(time.Millisecond))).To(gomega.BeFalse(), "another node heard it before")
}
