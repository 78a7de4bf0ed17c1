package modelpick

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

const (
	// spreadNodes is the number of live nodes from which the choice is drawn at random. Below it each node sees a good
	// part of the requests itself, and the least loaded server is the better choice. It is above the number that a node
	// assumes until it knows its peers.
	spreadNodes = 24
	// spreadHorizon is the time in which differences in load are to be levelled. With 0 s the server that has the least
	// load gets so many prompts at once that they wait for each other; with 4 s differences last.
	spreadHorizon = time.Second
	// longestAge bounds the age over which loads are extrapolated. Over longer times the requests that came and those that
	// ended are taken as equal.
	longestAge = 600 * time.Millisecond
	// spreadDraws is the number of draws, of which the server wins that got the fewest requests of this node since its
	// latest publication. The requests of one node often come in clumps.
	spreadDraws = 3
	// minimumSpread is the least share of the slots that is to be levelled, so that the draw stays random on sites
	// without requests, and unknownSpread the share for servers whose holder doesn't publish the rate of arrivals.
	minimumSpread = 0.02
	unknownSpread = 0.2
	// promptShare is the share of the longest pause that the prompts of one burst are expected to take. The gate of prompts
	// allows 0.7 of what the events leave.
	promptShare = 0.5
	// gapCost is the score of a server whose streams take the longest pause that the route allows between two events. Prompts
	// that are read in between, and spells in which a server is slower still, make all streams of a slow server late, while
	// faster ones have room: on a site with a third of its servers 2.4 times as slow, these caused most of the late streams.
	gapCost = 0.6
	// excessCost is the score of a server that has as many runs above its capacity as it has slots. Below the capacity the
	// number of runs that a server takes doesn't count, so that slow servers are as busy as fast ones.
	excessCost = 3.0
	// minimumCapacity is the least share of its slots that a server takes. A slow server thus gets some requests, which show
	// when it is no longer slow, and a service whose servers are all too slow for the route is still served.
	minimumCapacity = 0.1
)

// Spreads reports whether so many nodes choose that each sees only a small part of the requests, and the choice is drawn.
func (q Query) Spreads() bool { return q.Nodes >= spreadNodes }

// spread draws a server at random. The weights are such that the requests which all nodes send between the publications
// and the end of the horizon level the servers' scores: each server gets what it is below the common level. How many
// requests these are is known from the published rates; the other nodes draw in the same way.
func spread(candidates []serverview.Candidate, query Query, random *rand.Rand) (serverview.Candidate, bool) {
	if len(candidates) == 0 {
		return serverview.Candidate{}, false
	}
	weights, requests := spreadWeights(candidates, query)
	best := draw(candidates, weights, requests, random)
	for range spreadDraws - 1 {
		if c := draw(candidates, weights, requests, random); c.SentSince < best.SentSince {
			best = c
		}
	}
	return best, true
}

// spreadWeights returns the number of requests that bring each candidate to the common level, and the sum of them.
func spreadWeights(candidates []serverview.Candidate, query Query) (weights []float64, requests float64) {
	scores, capacities := make([]float64, len(candidates)), make([]float64, len(candidates))
	score := spreadScore(candidates, query)
	for i, c := range candidates {
		capacities[i] = slots(c)
		scores[i] = score(c).Total()
		requests += expectedArrivals(c)
	}
	level := fillLevel(capacities, scores, requests)
	weights = make([]float64, len(candidates))
	for i := range weights {
		weights[i] = math.Max(level-scores[i], 0) * capacities[i]
	}
	return weights, requests
}

// spreadScore returns the function that scores a server where the choice among the candidates is drawn. The load is what is
// estimated to remain of it.
func spreadScore(candidates []serverview.Candidate, query Query) func(c serverview.Candidate) Score {
	known, usual := 0.0, 0.0
	usualGap := meanGap(candidates)
	for _, c := range candidates {
		if c.LoadKnown {
			known += slots(c)
			usual += remaining(c)
		}
	}
	return func(c serverview.Candidate) Score {
		load := remaining(c) / slots(c)
		if !c.LoadKnown && known > 0 {
			// Its holder is silent. Without this the server would seem to be empty, and all nodes would send to it.
			load = usual / known
		}
		score := query.residentScore(c, load)
		score.Gap = gapCost * query.gapShare(c, usualGap)
		score.Excess = excessCost * (math.Max(float64(c.Load)-query.Capacity(c), 0) / slots(c))
		return score
	}
}

// draw returns a candidate at random, with a probability in proportion to its weight. requests is the sum of the weights.
func draw(
	candidates []serverview.Candidate, weights []float64, requests float64, random *rand.Rand,
) serverview.Candidate {
	left := requests * random.Float64()
	for i, c := range candidates {
		if left -= weights[i]; left < 0 {
			return c
		}
	}
	// Only rounding leads here.
	best, _ := lowest(candidates, func(c serverview.Candidate) float64 { return load(c) })
	return best
}

// expectedArrivals estimates the requests to a server that aren't in its published state, up to the end of the horizon.
func expectedArrivals(c serverview.Candidate) float64 {
	if c.Arrivals <= 0 {
		return unknownSpread * slots(c)
	}
	return math.Max(c.Arrivals*(min(c.Age, longestAge)+spreadHorizon).Seconds(), minimumSpread*slots(c))
}

// remaining estimates how many of the requests that are known for a server still run at the end of the horizon. A server
// ends about as many requests as it gets, each of them with the same probability.
func remaining(c serverview.Candidate) float64 {
	if c.Reported == 0 {
		return float64(c.Asked)
	}
	reported := float64(c.Reported)
	ending := c.Arrivals * (min(c.LoadAge, longestAge) + spreadHorizon).Seconds()
	return reported*math.Exp(-ending/reported) + float64(c.Asked)
}

// fillLevel returns the score up to which the given number of requests fills the servers with the lowest scores.
func fillLevel(capacities, scores []float64, requests float64) (level float64) {
	order := make([]int, len(scores))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return scores[order[a]] < scores[order[b]] })
	capacity, used := 0.0, 0.0
	for n, i := range order {
		capacity += capacities[i]
		used += capacities[i] * scores[i]
		level = (requests + used) / capacity
		if n+1 < len(order) && level <= scores[order[n+1]] {
			break
		}
	}
	return level
}

// gapShare returns the time between two events of a server's streams at its load, as a share of the longest pause that the
// route allows. For a server of which nothing is learned yet, usual is taken.
func (q Query) gapShare(c serverview.Candidate, usual time.Duration) float64 {
	if !q.Spreads() || q.MaxPause <= 0 {
		return 0
	}
	gap := usual
	if c.Step.Known() {
		gap = c.Step.Gap(c.Load)
	}
	return float64(gap) / float64(q.MaxPause)
}

// meanGap returns the mean time between two events over the servers of which it is known; 0 if there are none.
func meanGap(candidates []serverview.Candidate) time.Duration {
	sum, known := time.Duration(0), 0
	for _, c := range candidates {
		if c.Step.Known() {
			sum += c.Step.Gap(c.Load)
			known++
		}
	}
	return sum / time.Duration(max(known, 1))
}

// Capacity returns the number of runs that a server takes: its slots, or fewer where the expected pause of its streams would
// be longer than the route allows.
func (q Query) Capacity(c serverview.Candidate) float64 {
	if !q.Spreads() || q.MaxPause <= 0 {
		return slots(c)
	}
	// ExpectedPause is at most MaxPause where the time between two events is at most this.
	longest := q.MaxPause - time.Duration(max(c.Step.Slowness, 1)*promptShare*float64(q.MaxPause))
	return math.Max(float64(c.Step.Runs(longest, max(c.Slots, 1))), minimumCapacity*slots(c))
}

// ExpectedPause returns the longest pause to be expected of the streams of a server: the time between two events at a number
// of runs, and the prompts read in between, which take longer while the server is slow.
func (q Query) ExpectedPause(c serverview.Candidate, runs int) time.Duration {
	return c.Step.Gap(runs) + time.Duration(max(c.Step.Slowness, 1)*promptShare*float64(q.MaxPause))
}

func slots(c serverview.Candidate) float64 { return float64(max(c.Slots, 1)) }
