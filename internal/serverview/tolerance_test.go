package serverview_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

func brittleNotice(id string, born int64, namedAt time.Time) serverview.ToleranceNotice {
	return serverview.ToleranceNotice{ServerID: id, Born: born, PerSecond: 3, NamedAt: namedAt}
}

func isBrittle(v *serverview.View, now time.Time, id string) bool {
	_, brittle := v.Tolerance(now, id)
	return brittle
}

// Guards against a notice that was delayed between nodes and makes a server brittle again that has said since that it isn't.
func TestDelayedNoticeDoesNotMakeAServerBrittleAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	v, now := serverview.New(), time.Unix(1000, 0)
	v.PutEntry(now, serving.Server{ID: "s", Service: "plain", Slots: 4, Born: 7})
	g.Expect(v.NoteTolerance(now, brittleNotice("s", 7, now))).To(gomega.BeTrue())
	g.Expect(v.NoteSound(now, "s", 7, now.Add(-time.Second))).To(gomega.BeFalse(), "an answer to an earlier request")
	g.Expect(isBrittle(v, now, "s")).To(gomega.BeTrue())
	g.Expect(v.NoteSound(now, "s", 7, now.Add(time.Second))).To(gomega.BeTrue())
	v.NoteTolerance(now.Add(2*time.Second), brittleNotice("s", 7, now))
	g.Expect(isBrittle(v, now.Add(2*time.Second), "s")).To(gomega.BeFalse())
}

// Guards against a server that has just started, which no node knows to be brittle and all send to at once.
func TestStartedServerOfABrittleServiceCountsAsBrittle(t *testing.T) {
	g := gomega.NewWithT(t)
	v, now := serverview.New(), time.Unix(1000, 0)
	v.PutEntry(now, serving.Server{ID: "s", Service: "plain", Slots: 4, Born: 7})
	v.PutEntry(now, serving.Server{ID: "other", Service: "else", Slots: 4})
	v.NoteTolerance(now, brittleNotice("s", 7, now))
	v.PutEntry(now, serving.Server{ID: "s", Service: "plain", Slots: 4, Born: 8})
	g.Expect(isBrittle(v, now, "s")).To(gomega.BeTrue())
	g.Expect(isBrittle(v, now, "other")).To(gomega.BeFalse())
	g.Expect(v.NoteRejection(now, "s", 7)).To(gomega.BeFalse(), "the incarnation before")
	v.NoteSound(now, "s", 8, now.Add(time.Millisecond))
	g.Expect(isBrittle(v, now, "s")).To(gomega.BeFalse())
}

// Guards against a server that counts as brittle for good when nothing is heard of it.
func TestToleranceExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	v, now := serverview.New(), time.Unix(1000, 0)
	v.PutEntry(now, serving.Server{ID: "s", Service: "plain", Slots: 4})
	v.NoteTolerance(now, brittleNotice("s", 0, now))
	g.Expect(isBrittle(v, now.Add(20*time.Second), "s")).To(gomega.BeTrue())
	g.Expect(isBrittle(v, now.Add(40*time.Second), "s")).To(gomega.BeFalse())
}
