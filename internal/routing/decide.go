package routing

import "math/rand/v2"

// Policy configures how a gateway chooses a candidate.
type Policy struct {
	Weights Weights
	Pick    Pick
}

// Blocked is the reason why no candidate was chosen.
type Blocked uint8

// Reasons for which a request stays queued.
const (
	// NotBlocked means that a candidate was chosen.
	NotBlocked Blocked = iota
	// NoCopy means that no server can serve the target until a load makes it resident.
	NoCopy
	// NoCapacity means that at least one server has the target resident, but no concurrency left.
	NoCapacity
)

// Reason returns the text for the decision log.
func (b Blocked) Reason() string {
	switch b {
	case NoCopy:
		return "no server has the target resident under a valid permit"
	case NoCapacity:
		return "every server with the target is at its concurrency"
	default:
		return "highest score of the drawn candidates"
	}
}

// Choice is the result of a decision.
type Choice struct {
	// Index is the index of the chosen candidate in the snapshot, or -1 if there is none.
	Index   int
	Blocked Blocked
	// Verdicts has one entry per candidate. It is valid until the buffer passed to Decide is reused.
	Verdicts []Verdict
}

// HasRejection reports whether any candidate was rejected for the given reason.
func (c *Choice) HasRejection(rejection Rejection) bool {
	for i := range c.Verdicts {
		if c.Verdicts[i].Rejected == rejection {
			return true
		}
	}
	return false
}

// Decide filters and scores the candidates of the snapshot and picks one. The verdicts are stored in buffer, so that
// decisions don't allocate once the buffer is large enough.
func (p *Policy) Decide(request *Request, snapshot *Snapshot, random *rand.Rand, buffer []Verdict) Choice {
	verdicts := buffer[:0]
	blocked := NoCopy
	for i := range snapshot.Candidates {
		candidate := &snapshot.Candidates[i]
		verdict := Verdict{Rejected: filter(request, candidate, snapshot)}
		switch verdict.Rejected {
		case Accepted:
			verdict.Score = p.Weights.Score(request, candidate)
		case NoConcurrency:
			blocked = NoCapacity
		}
		verdicts = append(verdicts, verdict)
	}
	index := p.Pick(verdicts, random)
	if index >= 0 {
		blocked = NotBlocked
	}
	return Choice{Index: index, Blocked: blocked, Verdicts: verdicts}
}

func filter(request *Request, candidate *Candidate, snapshot *Snapshot) Rejection {
	for _, step := range Filters {
		if rejected := step(request, candidate, snapshot.Now); rejected != Accepted {
			return rejected
		}
	}
	return Accepted
}
