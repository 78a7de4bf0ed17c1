package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serverlease"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// readyServer makes a server known to a node.
func (n *Node) readyServer() serverview.Candidate {
	n.view.PutEntry(time.Now(), serving.Server{ID: "s", Service: "x", Address: "s:1", Slots: 4, Born: 7})
	return n.view.Candidates(time.Now(), "x", serving.Adapter{})[0]
}

func (n *Node) uses(id string) func() bool {
	return func() bool { return n.view.InUse(time.Now(), id) }
}

// sendDigestsOf makes a node a reader that has just read the store, and sends its digests.
func sendDigestsOf(t *testing.T, n *Node) {
	n.becomeReader()
	go func() {
		for t.Context().Err() == nil {
			n.watch.recordServersRead(time.Now(), serving.Position{Offset: 0}, n.view.Fingerprint())
			pass(digestPeriod)
		}
	}()
	go func() { _ = n.sendDigests(t.Context()) }()
}

// toldWithin is the time within which all nodes have to know that a server leaves.
const toldWithin = time.Second

// Guards against nodes that don't learn that a server leaves: those to which a node talks, and those that only readers know.
func TestAllNodesAreToldThatAServerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := newLinkedNodes(t, 3, true)
	reader, heard, far := nodes[0], nodes[1], nodes[2]
	sendDigestsOf(t, reader)
	for _, n := range nodes {
		n.readyServer()
	}
	heard.peers.mu.Lock()
	delete(heard.peers.byAddress, far.link.Address())
	heard.peers.mu.Unlock()
	heard.notices.Observe(heard.readyServer(), serving.ServerNotice{Leaving: true}, time.Now(), true)
	for _, n := range nodes {
		g.Eventually(n.uses("s"), toldWithin).Should(gomega.BeFalse())
	}
}

// Guards against nodes that only learn it from readers, of which there are none for a moment after a restart.
func TestNodesTellEachOtherThatAServerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := newLinkedNodes(t, 2, false)
	for _, n := range nodes {
		n.readyServer()
	}
	nodes[0].notices.Observe(nodes[0].readyServer(), serving.ServerNotice{Leaving: true}, time.Now(), true)
	g.Eventually(nodes[1].uses("s"), toldWithin).Should(gomega.BeFalse())
}

// Guards against nodes that never learn it because the message about it was lost: readers, and those that hear of it from them.
func TestLostNoticesAreMadeUpFor(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := newLinkedNodes(t, 3, true)
	reader, heard, far := nodes[0], nodes[1], nodes[2]
	for _, n := range nodes {
		n.readyServer()
	}
	heard.view.NoteLeaving(serverview.LeavingNotice{
		ServerID: "s", Born: 7, Address: "s:1", Since: time.Now().Add(-2 * recentLeaving),
	})
	sendDigestsOf(t, reader)
	g.Eventually(reader.uses("s"), toldWithin).Should(gomega.BeFalse())
	g.Eventually(far.uses("s"), (completeLeavingRounds+1)*digestPeriod).Should(gomega.BeFalse())
}

// Guards against a node that starts while a server leaves and uses it.
func TestStartedNodeIsToldWhichServersLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	known, started := newCrashesNode(t), newCrashesNode(t)
	go func() { _ = started.link.Run(t.Context(), started.handleMessage) }()
	for _, n := range []*Node{known, started} {
		n.readyServer()
	}
	known.view.NoteLeaving(serverview.LeavingNotice{ServerID: "s", Born: 7, Address: "s:1", Since: time.Now()})
	known.handleMessage(time.Now(), peerlink.Message{From: started.link.Address()})
	g.Eventually(started.uses("s"), toldWithin).Should(gomega.BeFalse())
}

// Guards against a report or order whose answer says that the server leaves, which nobody hears.
func TestReportSaysThatAServerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.readyServer()
	server := serving.Server{ID: "s", Service: "x", Address: "s:1", Born: 7}
	n.notices.called(server, serving.ServerNotice{Leaving: true}, time.Now())
	g.Expect(n.view.InUse(time.Now(), "s")).To(gomega.BeFalse())
}

// becomeHolderOfAll gives the node all partitions.
func (n *Node) becomeHolderOfAll() {
	n.leases.mu.Lock()
	defer n.leases.mu.Unlock()
	n.leases.core.Joined(bootTime(), bootTime(), serving.Membership{
		Generation: 1, Partitions: []int{0, 1, 2, 3, 4, 5, 6, 7},
	})
}

// Guards against orders and reports to a server that leaves.
func TestServerThatLeavesHasNoHolder(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.startHolder(g, &callCounter{})
	n.notices.Observe(n.readyServer(), serving.ServerNotice{Leaving: true}, time.Now(), true)
	g.Expect(n.reconcilePending.Load()).To(gomega.BeTrue())
	n.holders.reconcile()
	g.Expect(n.holders.get("s")).To(gomega.BeNil())
}

// Guards against a dispatcher that assigns the slots of a server that leaves until it reads the servers again.
func TestDispatcherKnowsThatAServerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := newSlotNodes(t, 2)
	dispatcher, asking := nodes[0], nodes[1]
	leaving := dispatcher.view.Candidates(time.Now(), slotService, serving.Adapter{})[0]
	// The dispatcher has just read the servers.
	first, _, ok := asking.acquire(t.Context(), time.Second, time.Minute)
	g.Expect(ok).To(gomega.BeTrue())
	if first.Server == leaving.ID {
		leaving = dispatcher.view.Candidates(time.Now(), slotService, serving.Adapter{})[1]
	}
	dispatcher.notices.Observe(leaving, serving.ServerNotice{Leaving: true}, time.Now(), true)
	for range slotsPerServer - 1 {
		slot, _, ok := asking.acquire(t.Context(), time.Second, time.Minute)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(slot.Server).NotTo(gomega.Equal(leaving.ID))
	}
}

// Guards against faulty messages of other nodes.
func TestOddNoticesOfPeersAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.readyServer()
	n.notices.handleMessage(time.Now(), peerlink.Message{From: "10.0.0.9:7000", Leaving: []peerlink.LeavingServer{
		{ServerID: "s", Born: 6, Address: "s:1"}, {ServerID: "s", Born: 7, Address: "s:2"}, {ServerID: "other", Born: 7, Address: "s:1"},
	}})
	g.Expect(n.view.InUse(time.Now(), "s")).To(gomega.BeTrue())
	n.notices.handleMessage(time.Now(), peerlink.Message{From: "10.0.0.9:7000", Leaving: []peerlink.LeavingServer{
		{ServerID: "s", Born: 7, Address: "s:1", AgoMs: -1_000_000},
	}})
	g.Expect(n.view.InUse(time.Now(), "s")).To(gomega.BeFalse())
	g.Expect(n.view.MaySend(time.Now(), "s", 7, time.Now().Add(2*time.Second))).To(gomega.BeFalse())
}

// callCounter counts the calls to a server.
type callCounter struct {
	calls atomic.Int64
	// rest makes the server reject all calls with that time of rest.
	rest atomic.Int64
	// beforeOrder, if set, is called before an order is written.
	beforeOrder func()
}

func (c *callCounter) notice() serving.ServerNotice {
	return serving.ServerNotice{Rest: time.Duration(c.rest.Load())}
}

func (c *callCounter) Report(context.Context, serving.Server) (serving.Report, error) {
	c.calls.Add(1)
	if notice := c.notice(); notice.Rest > 0 {
		return serving.Report{Notice: notice}, errRefused
	}
	return serving.Report{Models: map[string]bool{"m": true}, Busy: true}, nil
}

func (c *callCounter) Order(
	_ context.Context, _ serving.Server, _ serving.Order, allowed func() bool,
) (serving.OrderResult, error) {
	if c.beforeOrder != nil {
		c.beforeOrder()
	}
	if !allowed() {
		return serving.OrderResult{Outcome: serving.OrderUnsent}, errRefused
	}
	c.calls.Add(1)
	return serving.OrderResult{Outcome: serving.OrderUnknown, Notice: c.notice()}, errRefused
}

// startHolder makes a node the holder of a server.
func (n *Node) startHolder(g *gomega.WithT, servers serving.ModelServers) {
	n.becomeHolderOfAll()
	n.servers = servers
	n.forwarder.SetConfig(&serving.Configuration{Version: 1, Services: map[string]serving.Service{
		"x": {Name: "x", Engine: &serving.Engine{AdapterSlots: 4}},
	}})
	n.readyServer()
	n.holders.reconcile()
	g.Expect(n.holders.get("s")).NotTo(gomega.BeNil())
}

// Guards against reports and orders to a server that has asked this node for rest.
func TestServerThatRestsGetsNoCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	n, counter := newCrashesNode(t), &callCounter{}
	n.startHolder(g, counter)
	g.Eventually(counter.calls.Load).Should(gomega.BeNumerically(">", 2))
	n.notices.Observe(n.readyServer(), serving.ServerNotice{Rest: time.Hour}, time.Now(), false)
	pass(100 * time.Millisecond)
	before := counter.calls.Load()
	pass(700 * time.Millisecond)
	g.Expect(counter.calls.Load()).To(gomega.Equal(before))
	// The end of the rest is only noticed with the next publication.
	n.view.NoteSuspension(time.Now(), time.Hour)
	g.Eventually(counter.calls.Load, 2*time.Second).Should(gomega.BeNumerically(">", before))
}

// Guards against a rejected report whose time of rest isn't heard, or makes its server count as unreachable.
func TestRejectedReportAsksForRest(t *testing.T) {
	g := gomega.NewWithT(t)
	n, counter := newCrashesNode(t), &callCounter{}
	n.startHolder(g, counter)
	server := func() serverview.Candidate { return n.view.Candidates(time.Now(), "x", serving.Adapter{})[0] }
	g.Eventually(func() bool { return server().Present }).Should(gomega.BeTrue())
	counter.rest.Store(int64(time.Hour))
	g.Eventually(func() time.Duration { return n.view.RestsFor(time.Now(), "s") }).Should(gomega.BeNumerically(">", time.Minute))
	rejected := counter.calls.Load()
	g.Consistently(func() bool { return server().Present && !server().Ejected }, 700*time.Millisecond).Should(gomega.BeTrue())
	g.Expect(counter.calls.Load()).To(gomega.Equal(rejected))
	g.Eventually(func() time.Duration { return server().SlotQueue.OrdersIn }).Should(gomega.BeNumerically(">", time.Minute), "other nodes have to know that nothing is loaded there")
}

// Guards against a rest that lasts too long as the VM was suspended, and against other differences between the clocks.
func TestSuspensionShortensRests(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.readyServer()
	now := time.Now()
	n.view.NoteRest(now, "s", 7, now.Add(10*time.Second))
	n.notices.checkSuspension(now, time.Hour)
	n.notices.checkSuspension(now.Add(time.Second), time.Hour+time.Second)
	g.Expect(n.view.RestsFor(now, "s")).To(gomega.Equal(10 * time.Second))
	n.notices.checkSuspension(now.Add(2*time.Second), time.Hour+6*time.Second)
	g.Expect(n.view.RestsFor(now, "s")).To(gomega.Equal(6 * time.Second))
}

// Guards against an order that is written after its server has asked for rest, and against a rejected order whose time of rest
// isn't heard.
func TestOrdersKeepToRests(t *testing.T) {
	g := gomega.NewWithT(t)
	n, counter := newCrashesNode(t), &callCounter{}
	n.leases = newLeases(serverlease.Options{Partitions: 8, TTL: leaseTTL, TurnInterval: turnInterval, Fenced: true})
	n.becomeHolderOfAll()
	n.servers = counter
	server := n.readyServer()
	h := n.holders.start(serving.Server{ID: "s", Service: "x", Address: "s:1", Slots: 4, Born: 7}, residency.Options{}, time.Second)
	h.stop()
	<-h.done
	fence, may := n.leases.mayOrder("s")
	g.Expect(may).To(gomega.BeTrue())
	counter.rest.Store(int64(time.Minute))
	before := counter.calls.Load()
	h.order(t.Context(), residency.Action{Kind: residency.Order}, fence)
	g.Expect(counter.calls.Load()).To(gomega.Equal(before + 1))
	g.Expect(n.view.RestsFor(time.Now(), "s")).To(gomega.BeNumerically(">", 50*time.Second))
	n.view.NoteSuspension(time.Now(), time.Hour)
	counter.beforeOrder = func() {
		n.notices.Observe(server, serving.ServerNotice{Rest: time.Minute}, time.Now(), false)
	}
	h.order(t.Context(), residency.Action{Kind: residency.Order}, fence)
	g.Expect(counter.calls.Load()).To(gomega.Equal(before + 1))
}

// Guards against suspensions that nobody looks for.
func TestNodesLookForSuspensions(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.readyServer()
	n.view.NoteRest(time.Now().Add(-time.Second), "s", 7, time.Now().Add(time.Minute))
	n.notices.checkSuspension(time.Now(), bootTime()-time.Hour)
	go func() { _ = n.sendDigests(t.Context()) }()
	g.Eventually(func() time.Duration { return n.view.RestsFor(time.Now(), "s") }, 2*time.Second).Should(gomega.BeZero())
}

// Guards against metrics that don't show which servers leave or rest.
func TestGaugesCountServersThatLeaveOrRest(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.notices.Observe(n.readyServer(), serving.ServerNotice{Leaving: true, Rest: time.Minute}, time.Now(), false)
	go func() { _ = n.sendDigests(t.Context()) }()
	g.Eventually(n.notices.metrics.serversLeaving.Value, 2*time.Second).Should(gomega.BeNumerically("==", 1))
	g.Eventually(n.notices.metrics.serversResting.Value, 2*time.Second).Should(gomega.BeNumerically("==", 1))
}
