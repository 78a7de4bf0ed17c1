package quota_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/quota"
)

var tenPerSecond = quota.Quota{PerSecond: 10, Burst: 10}

// filled returns a coordinator whose bucket is full at a time.
func filled(now time.Duration) *quota.Coordinator {
	c := quota.NewCoordinator(0, -time.Hour, tenPerSecond, quota.Bound{Window: 8 * time.Second, Over: 0.1})
	c.State(now)
	return c
}

// Guards against doubled messages that grant, or give back, twice.
func TestRepeatedMessagesCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := 10 * time.Second
	c := filled(now)
	ask := quota.Ask{Customer: "c", ID: 7, Cost: 4}
	g.Expect(c.Ask(now, "n", ask).Granted).To(gomega.Equal(4.0))
	g.Expect(c.Ask(now, "n", ask).Granted).To(gomega.Equal(4.0))
	g.Expect(c.State(now).Available).To(gomega.BeNumerically("~", 6, 1e-6))
	for range 2 {
		c.Return(now, "n", quota.Return{Customer: "c", ID: 7, Amount: 3})
	}
	g.Expect(c.State(now).Available).To(gomega.BeNumerically("~", 9, 1e-6))
	// A repeated request that is delayed until after the return must not be granted again.
	g.Expect(c.Ask(now, "n", ask).Granted).To(gomega.BeZero())
}

// Guards against urgent requests that wait behind others.
func TestQueueIsInTheOrderOfRanks(t *testing.T) {
	g := gomega.NewWithT(t)
	now := 10 * time.Second
	c := filled(now)
	g.Expect(c.Ask(now, "n", quota.Ask{ID: 1, Cost: 10}).Granted).To(gomega.Equal(10.0))
	for id, rank := range []int{2, 0, 1} {
		answer := c.Ask(now, "n", quota.Ask{ID: uint64(10 + id), Cost: 1, Priority: rank, Patience: time.Second})
		g.Expect(answer.Queued).To(gomega.BeTrue())
	}
	granted, _ := c.Next(now + 150*time.Millisecond)
	g.Expect(granted).To(gomega.HaveLen(1))
	g.Expect(granted[0].Answer.ID).To(gomega.Equal(uint64(11)))
}

// Guards against a share that is granted to others while its node may use it, and against one that stays reserved after its
// release.
func TestShareOfASilentNodeIsReservedUntilItsRelease(t *testing.T) {
	g := gomega.NewWithT(t)
	now := 10 * time.Second
	c := filled(now)
	c.Ask(now, "n", quota.Ask{ID: 1, Cost: 1, Share: 5})
	later := now + 2*time.Second
	g.Expect(c.State(later).Available).To(gomega.BeNumerically("<", 2))
	c.Return(later, "n", quota.Return{Release: true})
	g.Expect(c.State(later).Available).To(gomega.BeNumerically("~", 10, 1e-6))
}

// Guards against credit that is used after its node was suspended, and against a share that counts from a late answer.
func TestAnswerThatWaitedDuringASuspensionGivesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	client := quota.NewClient(quota.Bound{Window: 8 * time.Second}, 0)
	request := quota.Request{
		Customer: "c", Quota: tenPerSecond, Coordinator: "o", Nodes: 81, Cost: 1, Patience: 100 * time.Millisecond,
	}
	_, _, decided := client.Acquire(0, request)
	g.Expect(decided).To(gomega.BeFalse())
	messages, _ := client.Take()
	g.Expect(messages).To(gomega.HaveLen(1))
	client.Answer(5*time.Second, "o", quota.Answer{ID: messages[0].Ask.ID, Granted: 8})
	_, decisions := client.Take()
	g.Expect(decisions).To(gomega.HaveLen(1))
	g.Expect(decisions[0].OK).To(gomega.BeFalse())
	request.Coordinator = ""
	_, decision, decided := client.Acquire(5*time.Second, request)
	g.Expect(decided).To(gomega.BeTrue())
	g.Expect(decision.OK).To(gomega.BeFalse())
	g.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", 0))
}
