package modelpick_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

// manyNodes is baseQuery on a site of many nodes.
func manyNodes() modelpick.Query {
	query := baseQuery
	query.Nodes = 81
	return query
}

func busyHolder(id string, reported int) serverview.Candidate {
	c := holder(id)
	c.Load, c.Reported, c.Arrivals, c.Age = reported, reported, 6, 300*time.Millisecond
	return c
}

func shares(candidates []serverview.Candidate, query modelpick.Query) map[string]float64 {
	const choices = 4000
	source, chosen := random(), map[string]float64{}
	for range choices {
		if c, found, _ := modelpick.Resident(candidates, query, source); found {
			chosen[c.ID] += 1. / choices
		}
	}
	return chosen
}

// Guards against another choice on sites of 6 and 9 nodes, where the least loaded server is the better one.
func TestSmallSitesChooseTheLeastLoadedServer(t *testing.T) {
	g := gomega.NewWithT(t)
	candidates := []serverview.Candidate{busyHolder("s0", 20), busyHolder("s1", 17), busyHolder("s2", 24)}
	for _, nodes := range []int{0, 6, 9, 16} {
		query := baseQuery
		query.Nodes = nodes
		g.Expect(shares(candidates, query)).To(gomega.HaveKeyWithValue("s1", gomega.BeNumerically("~", 1, 1e-6)))
	}
}

// Guards against nodes with the same view that all choose the same server, and against busier servers that get as much as
// others.
func TestManyNodesSpreadTheirRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	got := shares([]serverview.Candidate{busyHolder("s0", 20), busyHolder("s1", 17), busyHolder("s2", 24)}, manyNodes())
	g.Expect(got["s1"]).To(gomega.And(gomega.BeNumerically(">", got["s0"]), gomega.BeNumerically("<", 0.8)))
	g.Expect(got["s0"]).To(gomega.BeNumerically(">", got["s2"]))
}

// Guards against requests to servers without the adapter, and to a server that the node's view shows as full.
func TestSpreadIsAmongTheServersWithTheAdapter(t *testing.T) {
	g := gomega.NewWithT(t)
	full := busyHolder("full", 64)
	candidates := []serverview.Candidate{withoutAdapter("s0"), busyHolder("s1", 60), full}
	g.Expect(shares(candidates, manyNodes())).To(gomega.HaveLen(1))
	g.Expect(shares(candidates, manyNodes())).To(gomega.HaveKey("s1"))
}

// Guards against all nodes choosing the same server where holders of an older build publish no rate of arrivals.
func TestRequestsAreSpreadWithoutPublishedArrivals(t *testing.T) {
	g := gomega.NewWithT(t)
	candidates := []serverview.Candidate{busyHolder("s0", 20), busyHolder("s1", 17), busyHolder("s2", 21)}
	for i := range candidates {
		candidates[i].Arrivals = 0
	}
	got := shares(candidates, manyNodes())
	g.Expect(got).To(gomega.HaveLen(3))
	g.Expect(got["s1"]).To(gomega.BeNumerically("<", 0.8))
}
