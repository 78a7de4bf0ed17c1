package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/prefillgate"
	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/steptime"
)

// newHolderNode returns a node with so many peers that holds the server s1, without running either.
func newHolderNode(t *testing.T, peers int) (*Node, *holder) {
	n := newCrashesNode(t)
	now := time.Now()
	for i := range peers {
		n.peers.recordSeen(now, fmt.Sprintf("10.0.1.%d:7000", i), "a", 0)
	}
	server := serving.Server{ID: "s1", Service: "svc", Slots: 32, Born: 7}
	n.view.PutEntry(now, server)
	h := &holder{
		node: n, server: server, wake: make(chan struct{}, 1), core: n.newCore(residency.Options{}),
		gate: prefillgate.New(prefillgate.Options{MaxPause: defaultMaxPause}), steps: steptime.New(),
	}
	n.holders.byID[server.ID] = h
	return n, h
}

func (h *holder) candidate() serverview.Candidate {
	h.mu.Lock()
	h.publication.localAt = time.Time{}
	h.mu.Unlock()
	h.publishLocal(1)
	return h.node.view.Candidates(time.Now(), "svc", serving.Adapter{})[0]
}

// observe lets this node and another one see events with the given gap.
func observe(n *Node, born int64, gap time.Duration) {
	now := time.Now()
	for range 6 {
		n.recordEvent(now, crashguard.Incarnation{ServerID: "s1", Born: born}, gap)
	}
	out := n.newOutbox(now)
	out.addUsage("s1", residency.Usage{Node: "self"})
	usage := peerlink.NewUsage("s1", residency.Usage{EventGap: gap, Events: 6, EventsBorn: born})
	n.handleMessage(now, peerlink.Message{From: "10.0.1.1:7000", Usage: []peerlink.ServerUsage{usage}})
}

// Guards against events that aren't observed, don't reach the holder or aren't published, and against those of another
// incarnation of the server.
func TestObservedEventsReachTheChoice(t *testing.T) {
	g := gomega.NewWithT(t)
	n, h := newHolderNode(t, 30)
	observe(n, 7, 40*time.Millisecond)
	g.Expect(h.candidate().Step.Gap(0)).To(gomega.BeNumerically("~", 40*time.Millisecond, time.Millisecond))
	observe(n, 6, 200*time.Millisecond)
	g.Expect(h.candidate().Step.Slowness).To(gomega.Equal(1.0))
	observe(n, 7, 100*time.Millisecond)
	g.Expect(h.candidate().Step.Slowness).To(gomega.BeNumerically("~", 2.5, 0.1))
	g.Expect(n.publishNow).To(gomega.Receive(), "the other nodes have to know within the spell")
}

// Guards against a node that keeps what it saw of a server to itself, and against messages about it on small sites.
func TestNodesReportEventsOnLargeSites(t *testing.T) {
	g := gomega.NewWithT(t)
	for peers, known := range map[int]bool{8: false, 30: true} {
		n, _ := newHolderNode(t, peers)
		for range 6 {
			n.recordEvent(time.Now(), crashguard.Incarnation{ServerID: "s1", Born: 7}, 40*time.Millisecond)
		}
		usage := residency.Usage{}
		n.addEvents(time.Now(), "s1", &usage)
		g.Expect(usage.Events > 0).To(gomega.Equal(known), fmt.Sprint(peers, " peers"))
	}
}

// Guards against a change of speed that waits for the next regular message to the holder.
func TestChangeOfSpeedIsReportedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	n, _ := newHolderNode(t, 30)
	observe(n, 7, 40*time.Millisecond)
	g.Expect(n.usage.Urgent()).NotTo(gomega.Receive())
	for range 4 {
		n.recordEvent(time.Now(), crashguard.Incarnation{ServerID: "s1", Born: 7}, 100*time.Millisecond)
	}
	g.Expect(n.usage.Urgent()).To(gomega.Receive())
	g.Expect(n.usage.CollectUrgent(time.Now())).To(gomega.HaveKey("s1"))
}

// Guards against published loads that leave out the prompts which the gate was asked for since the report.
func TestPromptsSinceTheReportArePublished(t *testing.T) {
	g := gomega.NewWithT(t)
	_, h := newHolderNode(t, 30)
	h.reportedAt = time.Now().Add(-200 * time.Millisecond)
	for id := range uint64(3) {
		h.handleAdmissionRequest(time.Now(), "10.0.1.1:7000", peerlink.AdmissionRequest{ServerID: "s1", ID: id + 1, Tokens: 10})
	}
	c := h.candidate()
	g.Expect(c.Asked).To(gomega.Equal(3))
	g.Expect(c.Arrivals).To(gomega.BeNumerically(">", 0))
	g.Expect(c.LoadAge).To(gomega.BeNumerically(">=", 200*time.Millisecond))
	sent, due := h.due(time.Now())
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(sent.Asked).To(gomega.Equal(3))
}

// Guards against a gate of prompts that takes the time between events from other servers: at one whose events take nearly the
// longest pause, two prompts in one burst would make its streams pause for longer.
func TestGateRegardsTheTimeBetweenEventsOfItsServer(t *testing.T) {
	g := gomega.NewWithT(t)
	for gap, granted := range map[time.Duration]bool{40 * time.Millisecond: true, 240 * time.Millisecond: false} {
		n, h := newHolderNode(t, 30)
		observe(n, 7, gap)
		for id := range uint64(2) {
			request := peerlink.AdmissionRequest{ServerID: "s1", ID: id + 1, Tokens: 100}
			h.handleAdmissionRequest(time.Now(), "10.0.1.1:7000", request)
		}
		// The gate's timer may grant at any time.
		h.mu.Lock()
		got := h.gate.Granted("10.0.1.1:7000", 2)
		h.mu.Unlock()
		g.Expect(got).To(gomega.Equal(granted), gap.String())
	}
}
