package routing

import (
	"math/rand/v2"
	"time"
)

// Filter returns why a candidate can't take the request, or Accepted.
type Filter func(request *Request, candidate *Candidate, now time.Time) Rejection

// FilterBaseModel rejects servers that run another base model than the adapter's.
func FilterBaseModel(request *Request, candidate *Candidate, _ time.Time) Rejection {
	if request.BaseModel != "" && candidate.BaseModel != "" && request.BaseModel != candidate.BaseModel {
		return WrongBaseModel
	}
	return Accepted
}

// FilterResident rejects servers on which the adapter version is not in place or is closing.
func FilterResident(_ *Request, candidate *Candidate, _ time.Time) Rejection {
	if candidate.State != Resident {
		return NotResident
	}
	return Accepted
}

// FilterPermit rejects servers for which the permit has expired or is superseded.
func FilterPermit(_ *Request, candidate *Candidate, now time.Time) Rejection {
	if candidate.Superseded {
		return NoPermit
	}
	if !candidate.Expires.IsZero() && !now.Before(candidate.Expires) {
		return NoPermit
	}
	return Accepted
}

// FilterLeaving rejects servers that are leaving.
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

// FilterConcurrency rejects servers on which this gateway has used up its share.
func FilterConcurrency(_ *Request, candidate *Candidate, _ time.Time) Rejection {
	if candidate.InFlight >= candidate.Concurrent {
		return NoConcurrency
	}
	return Accepted
}

// Filters are all filters. FilterConcurrency is last, so that NoConcurrency means that nothing else is in the way.
var Filters = [...]Filter{
	FilterBaseModel, FilterResident, FilterPermit, FilterLeaving, FilterTried, FilterConcurrency,
}

// Weights set how much each score counts.
type Weights struct {
	Load  float64
	Zone  float64
	Batch float64
}

// halfLoad is the number of running requests at which a server counts as half loaded. Continuous batching
// slows down smoothly, so that only the comparison between servers matters.
const halfLoad = 32

// ScoreLoad returns 1 for an idle server and falls towards 0 with the gateway's own use of its share and with the
// requests of all gateways.
func ScoreLoad(_ *Request, candidate *Candidate) float64 {
	share := 1.0
	if candidate.Concurrent > 0 {
		share = float64(candidate.InFlight) / float64(candidate.Concurrent)
	}
	running := float64(candidate.Running)
	return 1 - share/2 - running/(running+halfLoad)/2
}

// ScoreZone returns 1 for a server in the gateway's zone and 0 otherwise.
func ScoreZone(request *Request, candidate *Candidate) float64 {
	if request.Zone == candidate.Zone {
		return 1
	}
	return 0
}

// ScoreBatch returns 1 when requests on the same load are in flight, so that the engine can batch them, else 0.
func ScoreBatch(_ *Request, candidate *Candidate) float64 {
	if candidate.SameLoad > 0 {
		return 1
	}
	return 0
}

// Score returns the weighted sum of the scores; the higher the better.
func (w Weights) Score(request *Request, candidate *Candidate) float64 {
	return w.Load*ScoreLoad(request, candidate) +
		w.Zone*ScoreZone(request, candidate) +
		w.Batch*ScoreBatch(request, candidate)
}

// Verdict is the result of filter and score for one candidate.
type Verdict struct {
	Rejected Rejection
	Score    float64
}

// Pick returns the index of the chosen candidate among the accepted ones, or -1.
type Pick func(verdicts []Verdict, random *rand.Rand) int

// PickBest returns the accepted candidate with the highest score, the first of equals.
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

// PickTwoChoices draws two accepted candidates and returns the one with the higher score. Gateways that see
// the same lagging counts then don't all choose the same server.
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
