package slotdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/slotdispatch"
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// settled is a time at which a dispatcher that began at 0 no longer assumes that slots are in use.
const settled = 200

func servers(slots int, zones ...string) (entries []slotdispatch.Server) {
	for i, zone := range zones {
		entries = append(entries, slotdispatch.Server{ID: fmt.Sprintf("s%d", i), Zone: zone, Slots: slots})
	}
	return entries
}

func ask(id uint64) slotdispatch.Request {
	return slotdispatch.Request{Node: "n", ID: id, Zone: "a", Patience: time.Second, Lifetime: 2 * time.Second}
}

// assigned returns the IDs of the requests that got a server, in order.
func assigned(decisions []slotdispatch.Decision) (ids []uint64) {
	for _, decision := range decisions {
		if decision.Answer.Server != "" {
			ids = append(ids, decision.Request.ID)
		}
	}
	return ids
}

// Guards against a zone that is preferred although its server has no free slot, and against an uneven use of the others.
func TestOwnZoneIsUsedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	d := slotdispatch.New(at(0), servers(2, "a", "b", "c"))
	var got []string
	for id := range uint64(6) {
		got = append(got, d.Ask(at(settled), ask(id)).Server)
	}
	g.Expect(got).To(gomega.Equal([]string{"s0", "s0", "s1", "s2", "s1", "s2"}))
	g.Expect(d.Ask(at(settled), ask(7)).Queued).To(gomega.BeTrue())
}

// Guards against a queue in another order than priority, customers in turn, arrival.
func TestQueueIsServedByPriorityThenByCustomerInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	d := slotdispatch.New(at(0), servers(1, "a"))
	g.Expect(d.Ask(at(settled), ask(0)).Server).To(gomega.Equal("s0"))
	for i, r := range []struct {
		priority int
		customer string
	}{{1, "large"}, {1, "large"}, {1, "large"}, {1, "small"}, {0, "large"}} {
		request := ask(uint64(i + 1))
		request.Priority, request.Customer = r.priority, r.customer
		g.Expect(d.Ask(at(settled), request).Queued).To(gomega.BeTrue())
	}
	var order []uint64
	next := uint64(0)
	for ms := settled + 10; len(order) < 5; ms += 10 {
		d.Return(at(ms), "n", next, slotdispatch.End{Work: 10 * time.Millisecond})
		decisions, _ := d.Next(at(ms))
		got := assigned(decisions)
		g.Expect(got).To(gomega.HaveLen(1))
		next = got[0]
		order = append(order, next)
	}
	// The large customer had the first turn, with its urgent request.
	g.Expect(order).To(gomega.Equal([]uint64{5, 4, 1, 2, 3}))
}

// Guards against a slot that is lost for good when its node doesn't give it back.
func TestSlotExpiresWithTheDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	d := slotdispatch.New(at(0), servers(1, "a"))
	first := ask(1)
	first.Lifetime = 500 * time.Millisecond
	g.Expect(d.Ask(at(settled), first).Server).To(gomega.Equal("s0"))
	g.Expect(d.Ask(at(settled), ask(2)).Queued).To(gomega.BeTrue())
	_, next := d.Next(at(settled))
	g.Expect(next).To(gomega.BeTemporally("~", at(settled+500), time.Millisecond))
	decisions, _ := d.Next(next)
	g.Expect(assigned(decisions)).To(gomega.Equal([]uint64{2}))
	g.Expect(d.Expired()).To(gomega.Equal(1))
}

// Guards against a new dispatcher that fills servers which still process requests that the last one assigned.
func TestNewDispatcherAssumesThatHalfIsInUse(t *testing.T) {
	g := gomega.NewWithT(t)
	d := slotdispatch.New(at(0), servers(6, "a"))
	for id := range uint64(4) {
		d.Report(at(1), slotdispatch.Use{Node: "m", ID: id, Server: "s0", Lifetime: time.Second})
	}
	for id := range uint64(2) {
		g.Expect(d.Ask(at(2), ask(id)).Server).To(gomega.Equal("s0"))
	}
	g.Expect(d.Ask(at(2), ask(3)).Queued).To(gomega.BeTrue())
	g.Expect(d.Waiting()).To(gomega.Equal(1))

	unreported := slotdispatch.New(at(0), servers(6, "a"))
	for id := range uint64(4) {
		unreported.Ask(at(2), ask(id))
	}
	used, _ := unreported.InUse()
	g.Expect(used).To(gomega.Equal(3))
	decisions, _ := unreported.Next(at(settled))
	g.Expect(assigned(decisions)).To(gomega.Equal([]uint64{3}))
}

// Guards against a slot that is counted twice when a node has chosen another server than the dispatcher, and against one
// that a delayed message takes after its request has ended.
func TestReportsAndRepeatedMessagesCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	d := slotdispatch.New(at(0), servers(2, "a", "b"))
	g.Expect(d.Ask(at(settled), ask(1)).Server).To(gomega.Equal("s0"))
	g.Expect(d.Ask(at(settled), ask(1)).Server).To(gomega.Equal("s0"))
	use := slotdispatch.Use{Node: "n", ID: 1, Server: "s1", Lifetime: time.Second}
	d.Report(at(settled), use)
	d.Report(at(settled), use)
	states := d.States(at(settled))
	g.Expect([]int{states[0].Used, states[1].Used}).To(gomega.Equal([]int{0, 1}))
	d.Return(at(settled+1), "n", 1, slotdispatch.End{})
	d.Return(at(settled+1), "n", 1, slotdispatch.End{})
	d.Report(at(settled+2), use)
	g.Expect(d.Ask(at(settled+2), ask(1)).Server).To(gomega.BeEmpty())
	used, _ := d.InUse()
	g.Expect(used).To(gomega.BeZero())
}

// Guards against servers that a node can't use and against ones that have left.
func TestUnusableServersAreNotAssigned(t *testing.T) {
	g := gomega.NewWithT(t)
	d := slotdispatch.New(at(0), servers(1, "a", "b"))
	request := ask(1)
	request.Excluded = []string{"s0"}
	g.Expect(d.Ask(at(settled), request).Server).To(gomega.Equal("s1"))
	request.ID = 2
	g.Expect(d.Ask(at(settled), request).Queued).To(gomega.BeTrue())
	g.Expect(d.Ask(at(settled), ask(3)).Server).To(gomega.Equal("s0"))
	d.SetServers(at(settled), servers(1, "a"))
	decisions, _ := d.Next(at(settled))
	g.Expect(decisions).To(gomega.HaveLen(1))
	g.Expect(decisions[0].Answer.Unusable).To(gomega.BeTrue())
	request.ID = 4
	g.Expect(d.Ask(at(settled), request).Unusable).To(gomega.BeTrue())
}

// Guards against requests that wait although no slot returns in time.
func TestRequestWithoutATurnInTimeIsRejectedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	d := slotdispatch.New(at(0), servers(1, "a"))
	for id := range uint64(20) {
		d.Ask(at(settled+int(id)*100), ask(id))
		d.Return(at(settled+int(id)*100+100), "n", id, slotdispatch.End{Work: 100 * time.Millisecond})
	}
	now := settled + 2000
	g.Expect(d.Ask(at(now), ask(100)).Server).To(gomega.Equal("s0"))
	request := ask(101)
	request.Patience = 50 * time.Millisecond
	first := d.Ask(at(now), request)
	g.Expect(first.Queued).To(gomega.BeFalse())
	g.Expect(first.TurnIn).To(gomega.BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
	request.ID++
	second := d.Ask(at(now), request)
	g.Expect(second.TurnIn).To(gomega.BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
}

// Guards against a server that gets requests at the usual rate although it has become slow.
func TestSlowServerGetsFewerRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	d := slotdispatch.New(at(0), servers(6, "a", "b"))
	type running struct {
		id     uint64
		server string
		ends   int
	}
	var inProgress []running
	sent := make(map[string]int)
	id := uint64(0)
	for ms := settled; ms < settled+5000; ms += 10 {
		kept := inProgress[:0]
		for _, r := range inProgress {
			if r.ends <= ms {
				d.Return(at(ms), "n", r.id, slotdispatch.End{Work: 50 * time.Millisecond})
			} else {
				kept = append(kept, r)
			}
		}
		inProgress = kept
		id++
		server := d.Ask(at(ms), ask(id)).Server
		work := 50
		if server == "s0" {
			work = 125
		}
		sent[server]++
		inProgress = append(inProgress, running{id, server, ms + work})
	}
	g.Expect(sent["s0"]).To(gomega.BeNumerically("<", sent["s1"]), "%v", sent)
}

// Guards against servers with more assigned requests than their capacity, requests without an answer, and slots that stay
// in use after all requests have ended, under any order of messages.
func TestSlotsAreNeitherLostNorAssignedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		d := slotdispatch.New(at(0), servers(slots, "a", "b", "c"))
		open := make(map[uint64]bool)
		waits := make(map[uint64]bool)
		id, ms := uint64(0), settled
		drain := func() {
			decisions, next := d.Next(at(ms))
			for _, decision := range decisions {
				if !waits[decision.Request.ID] {
					t.Fatalf("request %d got an answer that it didn't wait for", decision.Request.ID)
				}
				delete(waits, decision.Request.ID)
				if decision.Answer.Server != "" {
					open[decision.Request.ID] = true
				}
			}
			if len(waits) != d.Waiting() {
				t.Fatalf("%d requests wait, %d are queued", len(waits), d.Waiting())
			}
			if len(waits) > 0 && next.IsZero() {
				t.Fatal("requests wait and nothing is due")
			}
			for _, state := range d.States(at(ms)) {
				if state.Used > state.Capacity {
					t.Fatalf("%d requests at %s with a capacity of %d", state.Used, state.ID, state.Capacity)
				}
			}
			if used, _ := d.InUse(); used != len(open) {
				t.Fatalf("%d slots in use of %d assigned", used, len(open))
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			ms += rapid.IntRange(0, 20).Draw(t, "ms")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				id++
				request := ask(id)
				request.Lifetime = 0
				request.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				request.Patience = time.Duration(rapid.IntRange(0, 200).Draw(t, "patience")) * time.Millisecond
				request.Excluded = rapid.SampledFrom([][]string{nil, {"s0"}, {"s1", "s2"}}).Draw(t, "excluded")
				drain()
				switch answer := d.Ask(at(ms), request); {
				case answer.Server != "":
					open[id] = true
				case answer.Queued:
					waits[id] = true
				case answer.TurnIn <= 0:
					t.Fatal("a rejection without a time")
				}
			default:
				for ended := range id + 1 {
					if open[ended] {
						d.Return(at(ms), "n", ended, slotdispatch.End{})
						delete(open, ended)
						break
					}
				}
			}
			drain()
		}
		for len(open)+len(waits) > 0 {
			for ended := range open {
				d.Return(at(ms), "n", ended, slotdispatch.End{})
				delete(open, ended)
			}
			ms += 300
			drain()
		}
	})
}
