package modelpick_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

// drawCandidates returns servers of all kinds.
func drawCandidates(t *rapid.T) (candidates []serverview.Candidate) {
	for i := range rapid.IntRange(0, 6).Draw(t, "servers") {
		c := holder(fmt.Sprint("s", i))
		c.Zone = rapid.SampledFrom([]string{"here", "there"}).Draw(t, "zone")
		c.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		c.Present = rapid.IntRange(0, 3).Draw(t, "present") > 0
		c.Version = rapid.IntRange(0, 2).Draw(t, "version")
		c.Load = rapid.IntRange(0, 70).Draw(t, "load")
		c.InFlight = rapid.IntRange(0, 3).Draw(t, "in flight")
		c.Reported, c.SentSince = c.Load, rapid.IntRange(0, 2).Draw(t, "sent since")
		c.Arrivals = float64(rapid.IntRange(0, 20).Draw(t, "arrivals"))
		c.Ejected = rapid.IntRange(0, 4).Draw(t, "ejected") == 0
		c.Unreachable = c.Ejected && rapid.Bool().Draw(t, "unreachable")
		c.LoadKnown = rapid.IntRange(0, 3).Draw(t, "load known") > 0
		c.Connected = rapid.Bool().Draw(t, "connected")
		c.HolderAlive = rapid.IntRange(0, 4).Draw(t, "holder") > 0
		if c.Limited = rapid.IntRange(0, 3).Draw(t, "limited") == 0; c.Limited {
			c.RoomIn = time.Duration(rapid.IntRange(0, 1).Draw(t, "room")) * time.Second
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// Guards against an explanation by other rules than those of the choice: a server that is chosen although it is said to be
// excluded, or a server among the choices without a probability.
func TestExplanationsFollowTheChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates, query := drawCandidates(t), baseQuery
		query.Nodes = rapid.SampledFrom([]int{6, 81}).Draw(t, "nodes")
		query.MinVersion = rapid.IntRange(0, 2).Draw(t, "least version")
		query.Tried = map[string]bool{"s0": rapid.Bool().Draw(t, "tried")}
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		resident, found, _ := modelpick.Resident(candidates, query, source)
		checkExplained(t, modelpick.ExplainResident(candidates, query), resident, found)
		plain, found := modelpick.Plain(candidates, query, source)
		checkExplained(t, modelpick.ExplainPlain(candidates, query), plain, found && plain.RoomIn <= 0)
		target, wait, found := modelpick.LoadTarget(candidates, query, "")
		eligible := 0
		for i, option := range modelpick.ExplainLoad(candidates, query) {
			if option.Excluded == "" {
				eligible++
			}
			if found && candidates[i].ID == target.ID && (option.Excluded != "" || option.Wait != wait) {
				t.Fatalf("load target %s: %+v", target.ID, option)
			}
			if option.Excluded == "" && option.Wait < wait {
				t.Fatalf("%s loads sooner than the target: %+v", candidates[i].ID, option)
			}
		}
		if found != (eligible > 0) {
			t.Fatalf("target found %t, eligible %d", found, eligible)
		}
	})
}

func checkExplained(t *rapid.T, explanations []modelpick.Explanation, chosen serverview.Candidate, found bool) {
	sum := 0.0
	for _, e := range explanations {
		sum += e.Probability
		if e.Excluded != "" && (e.Probability != 0 || found && e.ID == chosen.ID) {
			t.Fatalf("%s is excluded (%s) and has probability %g", e.ID, e.Excluded, e.Probability)
		}
		if found && e.ID == chosen.ID && e.Probability == 0 {
			t.Fatalf("%s is chosen and has no probability", e.ID)
		}
	}
	if found && math.Abs(sum-1) > 1e-6 || !found && sum != 0 {
		t.Fatalf("found %t, sum of the probabilities %g", found, sum)
	}
}

// Guards against probabilities that differ from the shares of the choices, where the choice is drawn and where only nearly
// equal scores are decided by chance.
func TestProbabilitiesAreThoseOfTheChoice(t *testing.T) {
	g := gomega.NewWithT(t)
	clumped := busyHolder("b", 20)
	clumped.SentSince = 2
	candidates := []serverview.Candidate{busyHolder("a", 20), clumped, busyHolder("c", 22), busyHolder("d", 60)}
	for _, query := range []modelpick.Query{manyNodes(), baseQuery} {
		drawn := shares(candidates, query)
		for _, e := range modelpick.ExplainResident(candidates, query) {
			// 4000 choices have a standard deviation of at most 0.008.
			g.Expect(e.Probability).To(gomega.BeNumerically("~", drawn[e.ID], 0.04), e.ID)
		}
	}
	close := []serverview.Candidate{busyHolder("a", 20), busyHolder("b", 21)}
	drawn := shares(close, baseQuery)
	g.Expect(drawn["b"]).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 0.5)))
	g.Expect(modelpick.ExplainResident(close, baseQuery)[1].Probability).To(gomega.BeNumerically("~", drawn["b"], 0.04))
}

// Guards against an exclusion that names another reason than the one that applies.
func TestExclusionsNameTheReason(t *testing.T) {
	g := gomega.NewWithT(t)
	query := baseQuery
	query.MinVersion, query.Tried, query.MaxInFlight, query.SoftwareVersion = 2, map[string]bool{"tried": true}, 5, "v1"
	expected := map[string]modelpick.Exclusion{}
	var candidates []serverview.Candidate
	add := func(id string, exclusion modelpick.Exclusion, change func(c *serverview.Candidate)) {
		c := holder(id)
		c.Version, c.SoftwareVersion = 2, "v1"
		change(&c)
		candidates, expected[id] = append(candidates, c), exclusion
	}
	add("chosen", "", func(*serverview.Candidate) {})
	add("leaving", modelpick.ExcludedLeaving, func(c *serverview.Candidate) { c.Leaving = true })
	add("software", modelpick.ExcludedSoftware, func(c *serverview.Candidate) { c.SoftwareVersion = "v2" })
	add("tried", modelpick.ExcludedTried, func(*serverview.Candidate) {})
	add("connections", modelpick.ExcludedConnections, func(c *serverview.Candidate) { c.InFlight = 5 })
	add("lacks", modelpick.ExcludedLacks, func(c *serverview.Candidate) { c.Present = false })
	add("outdated", modelpick.ExcludedOutdated, func(c *serverview.Candidate) { c.Version = 1 })
	add("full", modelpick.ExcludedFull, func(c *serverview.Candidate) { c.Load = 64 })
	add("limit", modelpick.ExcludedLimit, func(c *serverview.Candidate) { c.Limited, c.RoomIn = true, time.Second })
	add("ejected", modelpick.ExcludedEjected, func(c *serverview.Candidate) { c.Ejected = true })
	add("unreachable", modelpick.ExcludedUnreachable, func(c *serverview.Candidate) { c.Ejected, c.Unreachable = true, true })
	for _, e := range modelpick.ExplainResident(candidates, query) {
		g.Expect(e.Excluded).To(gomega.Equal(expected[e.ID]), e.ID)
	}
}

// Guards against a term of the score that is shown as another one, or isn't part of the sum.
func TestScoreIsTheSumOfItsTerms(t *testing.T) {
	g := gomega.NewWithT(t)
	c := holder("a")
	c.Zone, c.Load, c.InFlight, c.FailureRate, c.Backlog = "there", 32, 16, 0.1, 200*time.Millisecond
	resident := modelpick.ExplainResident([]serverview.Candidate{c}, baseQuery)[0].Score
	plain := modelpick.ExplainPlain([]serverview.Candidate{c}, baseQuery)[0].Score
	c.Load, c.Reported, c.LoadKnown = 80, 80, true
	drawn := modelpick.ExplainResident([]serverview.Candidate{c}, manyNodes())[0].Score
	for score, terms := range map[modelpick.Score][]float64{
		resident: {0.5, 0.3, 0.2, 0.08, 0.05, 0, 1.13}, plain: {0.25, 0.3, 0, 0.4, 0.05, 0, 1},
		drawn: {1.25, 0.3, 0.2, 0.08, 0.05, 0.75, 2.63},
	} {
		for i, term := range []float64{
			score.Load, score.Failures, score.Backlog, score.Zone, score.Connection, score.Excess, score.Total(),
		} {
			g.Expect(term).To(gomega.BeNumerically("~", terms[i], 1e-9))
		}
	}
}
