package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/prefillgate"
	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/steptime"
)

// brittleServer makes a server of four slots known to a node, and that it tolerates three rejections a second.
func (n *Node) brittleServer(now time.Time) serverview.Candidate {
	n.view.PutEntry(now, serving.Server{ID: "s", Service: "x", Slots: 4})
	n.view.NoteTolerance(now, serverview.ToleranceNotice{ServerID: "s", PerSecond: 3, NamedAt: now})
	return n.view.Candidates(now, "x", serving.Adapter{})[0]
}

func (n *Node) roomAt(id string) int {
	requests, _, _ := n.view.BrittleRoom(time.Now(), id)
	return requests
}

// Guards against rejections by a brittle server that other nodes don't hear of, among them those that only readers know.
func TestAllNodesAreToldOfRejections(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := newLinkedNodes(t, 3, true)
	reader, rejected, far := nodes[0], nodes[1], nodes[2]
	now := time.Now()
	for _, n := range nodes {
		n.brittleServer(now)
	}
	rejected.peers.mu.Lock()
	delete(rejected.peers.byAddress, far.link.Address())
	rejected.peers.mu.Unlock()
	rejected.tolerances.Rejected(rejected.brittleServer(now), true)
	for _, n := range nodes {
		g.Eventually(func() int { return n.roomAt("s") }).Should(gomega.Equal(3))
	}
	g.Consistently(func() int { return far.roomAt("s") }, 100*time.Millisecond).Should(gomega.Equal(3))
	g.Expect(reader.leases.isReader()).To(gomega.BeTrue())
}

// Guards against a dispatcher that doesn't know that a server is brittle because its own node sends nothing there.
func TestAskForASlotTellsTheTolerances(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := newSlotNodes(t, 2)
	dispatcher, asking := nodes[0], nodes[1]
	now := time.Now()
	asking.view.NoteTolerance(now, serverview.ToleranceNotice{ServerID: "s0", PerSecond: 3, NamedAt: now})
	slot, _, ok := asking.acquire(t.Context(), time.Second, time.Minute)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(slot.Server).NotTo(gomega.BeEmpty())
	_, brittle := dispatcher.view.Tolerance(now, "s0")
	g.Expect(brittle).To(gomega.BeTrue())
}

// Guards against a brittle model server that is known to its holder only.
func TestHolderPublishesTheTolerance(t *testing.T) {
	g := gomega.NewWithT(t)
	holding, other := newCrashesNode(t), newCrashesNode(t)
	now := time.Now()
	h := &holder{
		node: holding, server: serving.Server{ID: "s", Service: "x", Slots: 4}, core: residency.New(residency.Options{}),
		gate: prefillgate.New(prefillgate.Options{MaxPause: time.Second}), steps: steptime.New(),
	}
	for _, n := range []*Node{holding, other} {
		n.view.PutEntry(now, h.server)
	}
	holding.notices.called(h.server, serving.ServerNotice{Tolerance: serving.NamedRate{Named: true, PerSecond: 3}}, now)
	h.publishLocal(1)
	state, due := h.due(now)
	g.Expect(due).To(gomega.BeTrue())
	message := peerlink.Message{From: holding.link.Address()}
	message.AddState(state)
	other.handleMessage(time.Now(), message)
	notice, brittle := other.view.Tolerance(time.Now(), "s")
	g.Expect(brittle).To(gomega.BeTrue())
	g.Expect(notice.PerSecond).To(gomega.Equal(3.0))
}

// Guards against a dispatcher that goes by a brittle server's slots although it has rejected requests.
func TestDispatcherKeepsToTheRoomOfABrittleServer(t *testing.T) {
	g := gomega.NewWithT(t)
	n, now := newSlotNodes(t, 2)[0], time.Now()
	n.view.NoteTolerance(now, serverview.ToleranceNotice{ServerID: "s0", PerSecond: 3, NamedAt: now})
	n.tolerances.noteRejections(now, []peerlink.Rejection{{ServerID: "s0"}})
	assigned := map[string]int{}
	for range slotsOfService - 1 {
		slot, _, ok := n.acquire(t.Context(), time.Second, time.Minute)
		g.Expect(ok).To(gomega.BeTrue())
		assigned[slot.Server]++
	}
	g.Expect(assigned).To(gomega.Equal(map[string]int{"s0": slotsPerServer - 1, "s1": slotsPerServer}))
}

// Guards against a node that sends as many prompts as it likes to a brittle server whose holder doesn't answer.
func TestPromptsWithoutHolderKeepToTheShare(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	prompt := forward.Prompt{Server: n.brittleServer(time.Now()), Tokens: 1, Lifetime: time.Minute}
	first, ok := n.admission.Await(t.Context(), prompt, time.Second)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(first.ByHolder).To(gomega.BeFalse())
	_, ok = n.admission.Await(t.Context(), prompt, time.Second)
	g.Expect(ok).To(gomega.BeFalse())
	first.Release(true)
	first.Release(false)
	_, ok = n.admission.Await(t.Context(), prompt, time.Second)
	g.Expect(ok).To(gomega.BeTrue())
}
