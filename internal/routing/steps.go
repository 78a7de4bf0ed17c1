package routing

import (
	"math/rand/v2"
	"time"
)

// Filter returns the reason why a candidate can't serve the request, or Accepted.
type Filter func(request *Request, candidate *Candidate, now time.Time) Rejection

// FilterBaseModel rejects servers that run a different base model than the adapter requires.
func FilterBaseModel(request *Request, candidate *Candidate, _ time.Time) Rejection {
	if request.BaseModel != "" && candidate.BaseModel != "" && request.BaseModel != candidate.BaseModel {
		return WrongBaseModel
	}
	return Accepted
}

// FilterResident rejects servers on which the adapter version is still loading or is closing.
func FilterResident(_ *Request, candidate *Candidate, _ time.Time) Rejection {
	if candidate.State != Resident {
		return NotResident
	}
	return Accepted
}

// FilterPermit rejects servers whose permit has expired or was superseded by a newer owner.
func FilterPermit(_ *Request, candidate *Candidate, now time.Time) Rejection {
	if candidate.Superseded {
		return NoPermit
	}
	if !candidate.Expires.IsZero() && !now.Before(candidate.Expires) {
		return NoPermit
	}
	return Accepted
}

// FilterLeaving rejects servers that are about to leave the fleet.
func FilterLeaving(_ *Request, candidate *Candidate, _ time.Time) Rejection {
	if candidate.Leaving {
		return ServerLeaving
	}
	return Accepted
}

// FilterTried rejects servers at which an earlier attempt of the request failed.
func FilterTried(_ *Request, candidate *Candidate, _ time.Time) Rejection {
	if candidate.Tried {
		return AlreadyTried
	}
	return Accepted
}

// FilterConcurrency rejects servers on which this gateway has used up its share of the concurrency.
func FilterConcurrency(_ *Request, candidate *Candidate, _ time.Time) Rejection {
	if candidate.InFlight >= candidate.Concurrent {
		return NoConcurrency
	}
	return Accepted
}

// Filters lists all filters in order of evaluation. FilterConcurrency is last, so that NoConcurrency implies that the
// candidate passed every other filter.
var Filters = [...]Filter{
	FilterBaseModel, FilterResident, FilterPermit, FilterLeaving, FilterTried, FilterConcurrency,
}

// Weights are the coefficients of the scores in the weighted sum.
type Weights struct {
	Load  float64
	Zone  float64
	Batch float64
}

// halfLoadRequests is the number of running requests at which a server counts as half loaded. With continuous batching,
// latency rises smoothly with load, so only the relative order of servers matters, not the exact value.
const halfLoadRequests = 32

// ScoreLoad returns 1 for an idle server. The score decreases towards 0 as this gateway uses up its share and as the
// total number of requests from all gateways grows.
func ScoreLoad(_ *Request, candidate *Candidate) float64 {
	share := 1.0
	if candidate.Concurrent > 0 {
		share = float64(candidate.InFlight) / float64(candidate.Concurrent)
	}
	running := float64(candidate.Running)
	return 1 - share/2 - running/(running+halfLoadRequests)/2
}

// ScoreZone returns 1 for a server in the gateway's zone and 0 otherwise.
func ScoreZone(request *Request, candidate *Candidate) float64 {
	if request.Zone == candidate.Zone {
		return 1
	}
	return 0
}

// ScoreBatch returns 1 if this gateway has requests in flight on the same load, which the engine can batch with this
// one, and 0 otherwise.
func ScoreBatch(_ *Request, candidate *Candidate) float64 {
	if candidate.SameLoad > 0 {
		return 1
	}
	return 0
}

// Score returns the weighted sum of the scores; higher is better.
func (w Weights) Score(request *Request, candidate *Candidate) float64 {
	return w.Load*ScoreLoad(request, candidate) +
		w.Zone*ScoreZone(request, candidate) +
		w.Batch*ScoreBatch(request, candidate)
}

// Verdict is the result of filtering and scoring one candidate.
type Verdict struct {
	Rejected Rejection
	Score    float64
}

// Pick returns the index of the chosen candidate among the accepted ones, or -1.
type Pick func(verdicts []Verdict, random *rand.Rand) int

// PickBest returns the accepted candidate with the highest score; the first one wins a tie.
func PickBest(verdicts []Verdict, _ *rand.Rand) int {
	best := -1
	for i := range verdicts {
		if verdicts[i].Rejected != Accepted {
			continue
		}
		if best < 0 || verdicts[i].Score > verdicts[best].Score {
			best = i
		}
	}
	return best
}

// PickTwoChoices draws two accepted candidates at random and returns the one with the higher score. The randomness
// prevents gateways that see the same outdated request counts from all choosing the same server.
func PickTwoChoices(verdicts []Verdict, random *rand.Rand) int {
	accepted := countAccepted(verdicts)
	if accepted <= 2 {
		return PickBest(verdicts, random)
	}
	first := random.IntN(accepted)
	second := random.IntN(accepted - 1)
	if second >= first {
		second++
	}
	a, b := nthAccepted(verdicts, first), nthAccepted(verdicts, second)
	if verdicts[b].Score > verdicts[a].Score {
		return b
	}
	return a
}

func countAccepted(verdicts []Verdict) int {
	count := 0
	for i := range verdicts {
		if verdicts[i].Rejected == Accepted {
			count++
		}
	}
	return count
}

func nthAccepted(verdicts []Verdict, n int) int {
	for i := range verdicts {
		if verdicts[i].Rejected != Accepted {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}
