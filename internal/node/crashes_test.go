package node

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// newCrashesNode returns a node that doesn't run, for tests of what it knows about parts.
func newCrashesNode(t *testing.T) *Node {
	packets, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := packets.LocalAddr().String()
	_ = packets.Close()
	link, err := peerlink.Listen(address, "a", event.Discard())
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

// newLinkedNodes returns nodes that receive each other's messages. The first one is a reader if reads is true.
func newLinkedNodes(t *testing.T, count int, reads bool) []*Node {
	nodes := make([]*Node, 0, count)
	for range count {
		n := newCrashesNode(t)
		go func() { _ = n.link.Run(t.Context(), n.handleMessage) }()
		go func() { _ = n.crashes.run(t.Context()) }()
		nodes = append(nodes, n)
	}
	if reads {
		nodes[0].becomeReader()
	}
	for _, n := range nodes {
		for _, other := range nodes {
			if n != other {
				n.peers.recordSeen(time.Now(), other.link.Address(), "a", count)
			}
		}
	}
	return nodes
}

// becomeReader gives the node a partition that makes it a reader.
func (n *Node) becomeReader() {
	n.leases.mu.Lock()
	defer n.leases.mu.Unlock()
	n.leases.core.Joined(0, 0, serving.Membership{Generation: 1, Partitions: []int{0}})
}

// closedAddress returns an address at which nobody listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// endUnder ends a server under a request at a node.
func (n *Node) endUnder(address, server, key string) {
	n.crashes.Broken(crashguard.Break{
		Server: crashguard.Incarnation{ServerID: server}, Address: address, Requests: []string{key},
		BegunAt: time.Now(), At: time.Now(),
	})
}

// Guards against ends that only one node counts, and against a block that other nodes learn too late.
func TestEndsAtDifferentNodesBlockARequestAtAll(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes, address := newLinkedNodes(t, 3, false), closedAddress(t)
	for n := range 2 {
		g.Expect(nodes[2].crashes.Check("r", []string{"request:a"}).Allowed).To(gomega.BeTrue())
		nodes[n].endUnder(address, fmt.Sprint("s", n), "request:a")
		g.Eventually(func() bool { return nodes[2].crashes.WatchesRequests() }).Should(gomega.BeTrue())
		g.Eventually(func() int { return nodes[1].crashes.ended("request:a") }).Should(gomega.Equal(n + 1))
	}
	for _, n := range nodes {
		g.Eventually(func() bool { return n.crashes.Check("r", []string{"request:a"}).Allowed }).Should(gomega.BeFalse())
		g.Expect(n.crashes.Check("r", []string{"request:b"}).Allowed).To(gomega.BeTrue())
	}
}

// ended returns how many ends the node counts for a request that isn't blocked.
func (c *crashes) ended(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Ends(key)
}

// Guards against a decision that the other nodes never learn because they didn't get the reports that led to it.
func TestDecidedBlocksAreAnnounced(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes, address := newLinkedNodes(t, 2, false), closedAddress(t)
	nodes[0].crashes.reports.SetLimit(0)
	nodes[0].crashes.reports.SetBurst(0)
	for n := range 2 {
		nodes[0].endUnder(address, fmt.Sprint("s", n), "request:a")
		g.Eventually(func() bool { return nodes[0].crashes.pending.Load() }).Should(gomega.BeFalse())
	}
	g.Eventually(func() bool { return nodes[1].crashes.Check("r", []string{"request:a"}).Allowed }).Should(gomega.BeFalse())
}

// Guards against a node that starts after a block, or has missed it, and never learns it.
func TestReadersListBlocks(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := newLinkedNodes(t, 2, true)
	g.Expect(nodes[0].leases.isReader()).To(gomega.BeTrue())
	nodes[0].handleMessage(time.Now(), blockedPart("request:a"))
	g.Eventually(func() bool {
		return nodes[1].crashes.Check("r", []string{"request:a"}).Allowed
	}, 5*time.Second).Should(gomega.BeFalse())
}

// Guards against an answer at one node that doesn't end the block at another.
func TestAnswerEndsTheBlockAtOtherNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := newLinkedNodes(t, 2, false)
	for _, n := range nodes {
		n.handleMessage(time.Now(), blockedPart("request:a"))
		g.Expect(n.crashes.Check("r", []string{"request:a"}).Allowed).To(gomega.BeFalse())
	}
	nodes[0].crashes.Answered([]string{"request:a"})
	g.Eventually(func() bool { return nodes[1].crashes.Check("r", []string{"request:a"}).Allowed }).Should(gomega.BeTrue())
}

// Guards against a block that stands at other nodes although this one knows of an answer since the first end.
func TestBlockOfAnAnsweredPartIsContradicted(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := newLinkedNodes(t, 2, false)
	nodes[0].crashes.Answered([]string{"part"})
	for _, n := range []*Node{nodes[1], nodes[0]} {
		n.handleMessage(time.Now(), blockedPart("part"))
	}
	g.Eventually(func() bool { return nodes[1].crashes.Check("r", []string{"part"}).Allowed }).Should(gomega.BeTrue())
}

// Guards against a node that starts after a block and sends such requests until the next list of the readers.
func TestStartedNodeGetsTheBlocksAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	reader, started := newCrashesNode(t), newCrashesNode(t)
	reader.becomeReader()
	go func() { _ = started.link.Run(t.Context(), started.handleMessage) }()
	reader.handleMessage(time.Now(), blockedPart("request:a"))
	reader.handleMessage(time.Now(), peerlink.Message{From: started.link.Address()})
	g.Eventually(func() bool { return started.crashes.Check("r", []string{"request:a"}).Allowed }).Should(gomega.BeFalse())
}

// Guards against a server that counts as ended because it closed a connection, although it listens.
func TestServerThatListensHasNotEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newLinkedNodes(t, 1, false)[0]
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	n.endUnder(listener.Addr().String(), "s", "request:a")
	g.Eventually(n.crashes.pending.Load, 5*time.Second).Should(gomega.BeFalse())
	g.Expect(n.crashes.ended("request:a")).To(gomega.BeZero())
	n.crashes.mu.Lock()
	defer n.crashes.mu.Unlock()
	g.Expect(n.crashes.dialed).To(gomega.BeEmpty())
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
