package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
)

// newCrashesNode returns a node that doesn't run, for tests of what it knows about parts.
func newCrashesNode(t *testing.T) *Node {
	link, err := peerlink.Listen("127.0.0.1:0", "a", event.Discard())
	if err != nil {
		t.Fatal(err)
	}
	settings := DefaultSettings()
	settings.Store.Partitions = 8
	n := newNode(settings, Dependencies{Connections: NewConnections(), Events: event.Discard()}, link)
	n.ctx = t.Context()
	return n
}

// blockedPart is the message by which another node says that a part is blocked.
func blockedPart(part string) peerlink.Message {
	now := time.Now()
	return peerlink.Message{From: "10.0.0.1:7000", Relayed: true, BlockedParts: []peerlink.BlockedPart{
		peerlink.NewBlockedPart(now, crashguard.Block{
			Part: part, At: now, FirstEndAt: now.Add(-time.Second), TrialAt: now.Add(time.Minute), LapsesAt: now.Add(time.Hour),
			Ends: []crashguard.Incarnation{{ServerID: "s1", Born: 7}},
		}),
	}}
}

// Guards against a block that an operator can't see or lift.
func TestOperatorLiftsABlock(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.handleMessage(time.Now(), blockedPart("bad0"))
	g.Expect(n.crashes.Check("r", []string{"first", "bad0"}).Allowed).To(gomega.BeFalse())
	mux := http.NewServeMux()
	n.crashes.handle(mux)
	call := func(method, path string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(method, path, http.NoBody))
		return recorder
	}
	g.Expect(call(http.MethodGet, "/blocked-parts").Body.String()).To(gomega.ContainSubstring("bad0"))
	g.Expect(call(http.MethodDelete, "/blocked-parts/other").Code).To(gomega.Equal(http.StatusNotFound))
	g.Expect(call(http.MethodDelete, "/blocked-parts/bad0").Code).To(gomega.Equal(http.StatusNoContent))
	g.Expect(n.crashes.Check("r", []string{"first", "bad0"}).Allowed).To(gomega.BeTrue())
	g.Expect(call(http.MethodGet, "/blocked-parts").Body.String()).NotTo(gomega.ContainSubstring("bad0"))
}

// Guards against messages that bring less than what was sent: ends, answers and blocks of parts.
func TestReportsReachTheGuard(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	start := time.Now()
	for end := range 3 {
		endedAt := start.Add(time.Duration(end-3) * time.Second)
		report := crashguard.Report{
			Server:  crashguard.Incarnation{ServerID: "s", Born: int64(end)},
			EndedAt: endedAt,
			Suspects: []crashguard.Suspect{
				{Part: "first", BegunAt: endedAt.Add(-time.Second), Ends: end + 1, FirstEndAt: start.Add(-3 * time.Second)},
				{Part: "bad0", Depth: 1, BegunAt: endedAt.Add(-time.Second), Ends: end + 1, FirstEndAt: start.Add(-3 * time.Second)},
			},
		}
		n.handleMessage(start, peerlink.Message{
			From: "10.0.0.1:7000", ServerEnds: []peerlink.ServerEnd{peerlink.NewServerEnd(start, report)},
		})
	}
	g.Expect(n.crashes.Check("r", []string{"first", "bad0"}).Part).To(gomega.Equal("bad0"))
	g.Expect(n.crashes.Check("r", []string{"first", "other"}).Allowed).To(gomega.BeTrue())
	acquittal := crashguard.Acquittal{Part: "bad0", At: time.Now()}
	n.handleMessage(time.Now(), peerlink.Message{
		From: "10.0.0.1:7000", AcquittedParts: []peerlink.AcquittedPart{peerlink.NewAcquittedPart(time.Now(), acquittal)},
	})
	g.Expect(n.crashes.Check("r", []string{"first", "bad0"}).Allowed).To(gomega.BeTrue())
}

// Guards against a burst of messages when many servers end at once.
func TestRateOfReportsIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	now, allowed := time.Now(), 0
	for range 1000 {
		if n.crashes.reports.AllowN(now, 1) {
			allowed++
		}
	}
	g.Expect(allowed).To(gomega.Equal(endReportsPerSecond))
	g.Expect(n.crashes.reports.AllowN(now.Add(time.Second), endReportsPerSecond)).To(gomega.BeTrue())
	g.Expect(n.crashes.reports.AllowN(now.Add(time.Second), 1)).To(gomega.BeFalse())
}
