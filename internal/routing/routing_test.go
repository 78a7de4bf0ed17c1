package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/routing"
)

func TestRouting(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "routing")
}

var now = time.Unix(1_000_000, 0)

func usableCandidate() routing.Candidate {
	return routing.Candidate{
		Server: "s", Zone: "z", BaseModel: "base", State: routing.Resident, Expires: now.Add(time.Second), Concurrent: 2,
	}
}

var _ = ginkgo.Describe("filters", func() {
	request := &routing.Request{BaseModel: "base", Zone: "z"}

	ginkgo.DescribeTable("rejects with the reason of its filter only",
		func(step routing.Filter, modify func(*routing.Candidate), expected routing.Rejection) {
			candidate := usableCandidate()
			gomega.Expect(step(request, &candidate, now)).To(gomega.Equal(routing.Accepted))
			modify(&candidate)
			gomega.Expect(step(request, &candidate, now)).To(gomega.Equal(expected))
		},
		ginkgo.Entry("base model", routing.Filter(routing.FilterBaseModel),
			func(c *routing.Candidate) { c.BaseModel = "other" }, routing.WrongBaseModel),
		ginkgo.Entry("loading", routing.Filter(routing.FilterResident),
			func(c *routing.Candidate) { c.State = routing.Loading }, routing.NotResident),
		ginkgo.Entry("closing", routing.Filter(routing.FilterResident),
			func(c *routing.Candidate) { c.State = routing.Closing }, routing.NotResident),
		ginkgo.Entry("expired", routing.Filter(routing.FilterPermit),
			func(c *routing.Candidate) { c.Expires = now }, routing.NoPermit),
		ginkgo.Entry("superseded", routing.Filter(routing.FilterPermit),
			func(c *routing.Candidate) { c.Superseded = true }, routing.NoPermit),
		ginkgo.Entry("leaving", routing.Filter(routing.FilterLeaving),
			func(c *routing.Candidate) { c.Leaving = true }, routing.ServerLeaving),
		ginkgo.Entry("tried", routing.Filter(routing.FilterTried),
			func(c *routing.Candidate) { c.Tried = true }, routing.AlreadyTried),
		ginkgo.Entry("busy", routing.Filter(routing.FilterConcurrency),
			func(c *routing.Candidate) { c.InFlight = 2 }, routing.NoConcurrency),
	)
})

var _ = ginkgo.Describe("scores", func() {
	request := &routing.Request{Zone: "z"}

	ginkgo.It("prefer a less loaded server, one in the same zone and one that can batch", func() {
		idle, busy := usableCandidate(), usableCandidate()
		busy.InFlight, busy.Running = 1, 50
		gomega.Expect(routing.ScoreLoad(request, &idle)).To(gomega.BeNumerically(">", routing.ScoreLoad(request, &busy)))
		remote := usableCandidate()
		remote.Zone = "y"
		gomega.Expect(routing.ScoreZone(request, &idle)).To(gomega.BeNumerically(">", routing.ScoreZone(request, &remote)))
		batch := usableCandidate()
		batch.SameLoad = 1
		gomega.Expect(routing.ScoreBatch(request, &batch)).To(gomega.BeNumerically(">", routing.ScoreBatch(request, &idle)))
	})
})

var _ = ginkgo.Describe("picks", func() {
	verdicts := []routing.Verdict{
		{Score: 1}, {Score: 9, Rejected: routing.NoPermit}, {Score: 3}, {Score: 2},
	}

	ginkgo.It("never return a rejected candidate, and PickBest returns the highest score", func() {
		gomega.Expect(routing.PickBest(verdicts, nil)).To(gomega.Equal(2))
		gomega.Expect(routing.PickBest(verdicts[1:2], nil)).To(gomega.Equal(-1))
		random := rand.New(rand.NewPCG(1, 2))
		counts := map[int]int{}
		for range 3000 {
			counts[routing.PickTwoChoices(verdicts, random)]++
		}
		gomega.Expect(counts[1]).To(gomega.BeZero())
		gomega.Expect(counts[0]).To(gomega.BeZero(), "the candidate with the lowest score never wins a pair")
		gomega.Expect(counts[2]).To(gomega.BeNumerically("~", 2000, 150))
		gomega.Expect(counts[3]).To(gomega.BeNumerically("~", 1000, 150))
	})
})

var _ = ginkgo.Describe("Decide", func() {
	policy := routing.Policy{Weights: routing.Weights{Load: 1}, Pick: routing.PickBest}

	// Guards against demand for another load when a resident copy is merely busy.
	ginkgo.It("distinguishes a missing copy from a busy one", func() {
		busy, loading := usableCandidate(), usableCandidate()
		busy.InFlight = busy.Concurrent
		loading.State = routing.Loading
		decide := func(candidates ...routing.Candidate) routing.Choice {
			return policy.Decide(&routing.Request{}, &routing.Snapshot{Now: now, Candidates: candidates}, nil, nil)
		}
		gomega.Expect(decide().Blocked).To(gomega.Equal(routing.NoCopy))
		gomega.Expect(decide(loading).Blocked).To(gomega.Equal(routing.NoCopy))
		gomega.Expect(decide(loading, busy).Blocked).To(gomega.Equal(routing.NoCapacity))
		gomega.Expect(decide(busy, usableCandidate()).Index).To(gomega.Equal(1))
	})
})
