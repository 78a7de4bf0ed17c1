package modelpick

import (
	"math"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

// Exclusion is a reason for which a server doesn't get a request.
type Exclusion string

// Exclusions, in the order in which they are checked.
const (
	ExcludedLeaving     Exclusion = "draining"
	ExcludedResting     Exclusion = "has asked for rest"
	ExcludedSoftware    Exclusion = "other software version"
	ExcludedTried       Exclusion = "tried"
	ExcludedConnections Exclusion = "this node's share of its connections is in use"
	ExcludedLacks       Exclusion = "lacks the adapter"
	ExcludedOutdated    Exclusion = "outdated version"
	ExcludedFull        Exclusion = "full"
	ExcludedLimit       Exclusion = "limit"
	ExcludedUnreachable Exclusion = "unreachable"
	ExcludedEjected     Exclusion = "ejected"
)

// Score is the score of a server by term. The lowest one is the best; 1 is the load of a full server.
type Score struct {
	Load       float64 `json:"load"`
	Failures   float64 `json:"failures"`
	Backlog    float64 `json:"backlog"`
	Zone       float64 `json:"zone"`
	Connection float64 `json:"connection"`
	// Gap is due to the time between two events of the server's streams.
	Gap float64 `json:"gap"`
	// Excess is due to runs above those that the server takes.
	Excess float64 `json:"excess"`
}

// Total returns the sum of the terms.
func (s Score) Total() float64 {
	return s.Load + s.Failures + s.Backlog + (s.Zone + s.Connection) + s.Gap + s.Excess
}

// Explanation tells what a choice makes of a candidate.
type Explanation struct {
	serverview.Candidate
	// Excluded is empty for the servers among which the request's is chosen.
	Excluded Exclusion
	Score    Score
	// Probability is that of being chosen.
	Probability float64
}

// ExplainResident explains the choice of Resident.
func ExplainResident(candidates []serverview.Candidate, query Query) []Explanation {
	choices, _ := residentChoices(candidates, query)
	exclusion := func(c serverview.Candidate) Exclusion {
		if lacking := query.lacking(c); lacking != "" {
			return lacking
		}
		if !isFree(c) {
			return ExcludedFull
		}
		return ""
	}
	if query.Spreads() {
		weights, requests := spreadWeights(choices, query)
		probabilities := drawProbabilities(choices, weights, requests)
		return explain(candidates, choices, query, probabilities, spreadScore(choices, query), exclusion)
	}
	score := func(c serverview.Candidate) Score { return query.residentScore(c, load(c)) }
	return explain(candidates, choices, query, lowestProbabilities(choices, score), score, exclusion)
}

// ExplainPlain explains the choice of Plain.
func ExplainPlain(candidates []serverview.Candidate, query Query) []Explanation {
	choices := PlainChoices(candidates, query)
	exclusion := func(serverview.Candidate) Exclusion { return "" }
	return explain(candidates, choices, query, lowestProbabilities(choices, query.plainScore), query.plainScore, exclusion)
}

// explain explains a choice among choices, which is a subset of the candidates in the same order.
func explain(
	candidates, choices []serverview.Candidate, query Query, probabilities []float64,
	score func(serverview.Candidate) Score, exclusion func(serverview.Candidate) Exclusion,
) []Explanation {
	explanations := make([]Explanation, 0, len(candidates))
	next := 0
	for _, c := range candidates {
		e := Explanation{Candidate: c, Score: score(c)}
		if next < len(choices) && choices[next].ID == c.ID {
			e.Probability = probabilities[next]
			next++
		} else if e.Excluded = query.unusable(c); e.Excluded == "" {
			if e.Excluded = exclusion(c); e.Excluded == "" {
				e.Excluded = roomExclusion(c)
			}
		}
		explanations = append(explanations, e)
	}
	return explanations
}

// roomExclusion returns why a usable server with the adapter and free slots isn't among the choices.
func roomExclusion(c serverview.Candidate) Exclusion {
	switch {
	case !hasRoom(c):
		return ExcludedLimit
	case c.Unreachable:
		return ExcludedUnreachable
	}
	return ExcludedEjected
}

// drawProbabilities returns the probabilities with which spread chooses the candidates: of several draws, the first one
// with the fewest requests since the publication wins.
func drawProbabilities(candidates []serverview.Candidate, weights []float64, requests float64) []float64 {
	probabilities := make([]float64, len(candidates))
	for i, c := range candidates {
		if weights[i] == 0 {
			continue
		}
		equal, more := 0.0, 0.0
		for j, other := range candidates {
			switch {
			case other.SentSince == c.SentSince:
				equal += weights[j] / requests
			case other.SentSince > c.SentSince:
				more += weights[j] / requests
			}
		}
		wins := math.Pow(equal+more, spreadDraws) - math.Pow(more, spreadDraws)
		probabilities[i] = wins * (weights[i] / requests) / equal
	}
	return probabilities
}

// probabilitySteps is the number of steps of the integral over the random part of a score.
const probabilitySteps = 200

// lowestProbabilities returns the probabilities with which candidates have the lowest score, each with a random part
// between 0 and tieSpread.
func lowestProbabilities(candidates []serverview.Candidate, score func(serverview.Candidate) Score) []float64 {
	least := math.Inf(1)
	scores := make([]float64, len(candidates))
	for i, c := range candidates {
		scores[i] = score(c).Total()
		least = math.Min(least, scores[i])
	}
	probabilities, sum := make([]float64, len(candidates)), 0.0
	for i, own := range scores {
		for step := range probabilitySteps {
			drawn := own + tieSpread*(float64(step)+0.5)/probabilitySteps
			if drawn > least+tieSpread {
				break
			}
			all := 1.0
			for j, other := range scores {
				if j != i {
					all *= 1 - math.Min(math.Max((drawn-other)/tieSpread, 0), 1)
				}
			}
			probabilities[i] += all / probabilitySteps
		}
		sum += probabilities[i]
	}
	for i := range probabilities {
		probabilities[i] /= sum
	}
	return probabilities
}

// LoadExplanation tells whether a server may load an adapter.
type LoadExplanation struct {
	// Excluded is empty for the servers among which the load target is chosen.
	Excluded string
	// Wait is the estimated wait until the server serves the adapter; 0 for excluded ones.
	Wait time.Duration
}

// ExplainLoad explains the choice of LoadTarget for a request that isn't waiting yet, in the order of the candidates.
func ExplainLoad(candidates []serverview.Candidate, query Query) []LoadExplanation {
	waits := make(map[string]time.Duration)
	for _, option := range loadOptions(candidates, query, "", "") {
		waits[option.ID] = option.wait
	}
	explanations := make([]LoadExplanation, len(candidates))
	for i, c := range candidates {
		if wait, eligible := waits[c.ID]; eligible {
			explanations[i].Wait = wait
			continue
		}
		explanations[i].Excluded = loadExclusion(c, query)
	}
	return explanations
}

// loadExclusion returns why a server isn't among the load targets.
func loadExclusion(c serverview.Candidate, query Query) string {
	switch o := obstacleOf(c); {
	case o != none:
		return o.String()
	case c.Present:
		return "holds the adapter"
	case !query.usable(c):
		return string(query.unusable(c))
	case c.Limited:
		return "others name no limit"
	}
	return "more load than others, or not a home of the adapter"
}

// String returns the obstacle as in an explanation.
func (o obstacle) String() string {
	return [...]string{"", "draining", "has asked for rest", "ejected", "no holder publishes its state", "full"}[o]
}
