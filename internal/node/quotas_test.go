package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// quotaNode is a node of which only the link and the quotas run.
type quotaNode struct {
	*Node
	stop func()
}

func startQuotaNode(t *testing.T, config *serving.Configuration) *quotaNode {
	probe, err := net.ListenPacket("udp4", "127.0.2.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.LocalAddr().String()
	_ = probe.Close()
	link, err := peerlink.Listen(address, "a", event.Discard())
	if err != nil {
		t.Fatal(err)
	}
	settings := DefaultSettings()
	settings.Store.Partitions = 8
	ctx, cancel := context.WithCancel(t.Context())
	n := &quotaNode{Node: newNode(settings, Dependencies{Connections: NewConnections(), Events: event.Discard()}, link)}
	n.ctx = ctx
	n.forwarder.SetConfig(config)
	n.quotas.tick()
	var ended sync.WaitGroup
	ended.Go(func() { _ = link.Run(ctx, n.handleMessage) })
	ended.Go(func() { _ = n.quotas.run(ctx) })
	n.stop = func() {
		cancel()
		ended.Wait()
	}
	t.Cleanup(n.stop)
	return n
}

// own makes a node the owner of all partitions, as of a join that was sent at a time.
func (n *quotaNode) own(sent time.Duration, others ...*quotaNode) {
	membership, owners := serving.Membership{Generation: 1}, make(map[int]string)
	for partition := range 8 {
		membership.Partitions = append(membership.Partitions, partition)
		owners[partition] = n.link.Address()
	}
	n.leases.mu.Lock()
	n.leases.core.Joined(sent, bootTime(), membership)
	n.leases.mu.Unlock()
	for _, node := range append(others, n) {
		node.leases.setOwners(serving.Owners{ByPartition: owners})
	}
}

func quotaConfig(version int64, customers ...serving.Customer) *serving.Configuration {
	return &serving.Configuration{Version: version, Customers: customers}
}

func limitedCustomer(name string) serving.Customer {
	return serving.Customer{Name: name, Quota: serving.Quota{PerSecond: 10, Burst: 10}}
}

func (n *quotaNode) acquire(t *testing.T, customer serving.Customer) (func(), time.Duration, bool) {
	return n.quotas.Acquire(t.Context(), &customer, 1, 0, 50*time.Millisecond)
}

// Guards against nodes that don't ask the coordinator, don't get its answer, or don't return what was not used.
func TestNodesGetCreditOfTheCoordinator(t *testing.T) {
	g := gomega.NewWithT(t)
	customer := limitedCustomer("asked")
	owner, other := startQuotaNode(t, quotaConfig(1, customer)), startQuotaNode(t, quotaConfig(1, customer))
	owner.own(bootTime(), other)
	giveBack, _, ok := other.acquire(t, customer)
	g.Expect(ok).To(gomega.BeTrue())
	giveBack()
	refused := false
	for range 200 {
		_, retryAfter, ok := other.acquire(t, customer)
		if !ok {
			g.Expect(retryAfter).To(gomega.BeNumerically(">", 0))
			refused = true
			break
		}
	}
	g.Expect(refused).To(gomega.BeTrue())
	owner.quotas.mu.Lock()
	defer owner.quotas.mu.Unlock()
	g.Expect(owner.quotas.coordinators).To(gomega.HaveKey("asked"))
	g.Expect(owner.quotas.coordinators["asked"].granted).To(gomega.BeNumerically(">=", 1))
	g.Expect(other.quotas.coordinators).To(gomega.BeEmpty())
}

// Guards against grants of a node whose lease has lapsed, also where servers check fencing tokens and the store is
// unavailable.
func TestCoordinatorWithoutALeaseGrantsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	customer := limitedCustomer("lapsed")
	owner, other := startQuotaNode(t, quotaConfig(1, customer)), startQuotaNode(t, quotaConfig(1, customer))
	owner.own(bootTime()-leaseTTL, other)
	owner.leases.mu.Lock()
	owner.leases.core.JoinFailed()
	owner.leases.mu.Unlock()
	_, retryAfter, ok := other.acquire(t, customer)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(retryAfter).To(gomega.BeNumerically(">", 0))
	_, _, ok = owner.acquire(t, customer)
	g.Expect(ok).To(gomega.BeFalse())
}

// Guards against state of a customer that was removed, in the client, the coordinator and the metrics.
func TestRemovedCustomerLeavesNoState(t *testing.T) {
	g := gomega.NewWithT(t)
	customer := limitedCustomer("removed")
	owner := startQuotaNode(t, quotaConfig(1, customer))
	owner.own(bootTime())
	_, _, ok := owner.acquire(t, customer)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(metrics.Get("quotas.removed.used")).NotTo(gomega.BeNil())
	owner.forwarder.SetConfig(quotaConfig(2))
	owner.quotas.tick()
	_, _, ok = owner.acquire(t, customer)
	g.Expect(ok).To(gomega.BeTrue(), "a request that came under the earlier configuration")
	owner.quotas.mu.Lock()
	defer owner.quotas.mu.Unlock()
	g.Expect(owner.quotas.client.Customers()).To(gomega.BeZero())
	g.Expect(owner.quotas.coordinators).To(gomega.BeEmpty())
	g.Expect(metrics.Get("quotas.removed.used")).To(gomega.BeNil())
}

// Guards against a caller that leaves while its request waits and keeps the credit.
func TestCreditOfACallerThatLeftIsGivenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	customer := limitedCustomer("left")
	owner, other := startQuotaNode(t, quotaConfig(1, customer)), startQuotaNode(t, quotaConfig(1, customer))
	owner.own(bootTime(), other)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, ok := other.quotas.Acquire(ctx, &customer, 1, 0, 50*time.Millisecond)
	if !ok {
		g.Eventually(func() int {
			other.quotas.mu.Lock()
			defer other.quotas.mu.Unlock()
			return len(other.quotas.waiting)
		}).Should(gomega.BeZero())
	}
	_, _, ok = other.acquire(t, customer)
	g.Expect(ok).To(gomega.BeTrue())
}

// Guards against messages and state about quotas at a site without customers.
func TestSiteWithoutQuotasSendsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := metrics.GetOrRegisterCounter("peerlink.sent.quotas", nil)
	before := sent.Count()
	free := serving.Customer{Name: "free"}
	owner, other := startQuotaNode(t, quotaConfig(1, free)), startQuotaNode(t, quotaConfig(1, free))
	owner.own(bootTime(), other)
	for range 3 {
		owner.quotas.tick()
		other.quotas.tick()
	}
	g.Expect(sent.Count()).To(gomega.Equal(before))
	g.Expect(owner.quotas.coordinators).To(gomega.BeEmpty())
	g.Expect(other.quotas.client.Customers()).To(gomega.BeZero())
}
