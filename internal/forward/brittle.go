package forward

import (
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Tolerances learns which servers are brittle: they name in their answers how many requests a second they can reject for
// want of room without falling over.
type Tolerances interface {
	// Observe applies what an answer says about its server's tolerance. sentAt is when the request was sent. An answer without
	// a tolerance means that there is none only if it's conclusive.
	Observe(server serverview.Candidate, tolerance serving.NamedRate, sentAt time.Time, conclusive bool)
	// Rejected records that a brittle server rejected a request for want of room. assigned is true when the node that knows
	// the requests of all nodes had assigned it to the server.
	Rejected(server serverview.Candidate, assigned bool)
}

// observeTolerance applies the tolerance in an answer, unless the answer may be that of another request or server.
func (j *job) observeTolerance(candidate serverview.Candidate, answer *http.Response, info serving.AnswerInfo) {
	if j.f.options.Tolerances == nil || !isOwnAnswer(j.request.ID, info) {
		return
	}
	conclusive := answer.StatusCode < http.StatusInternalServerError
	j.f.options.Tolerances.Observe(candidate, info.Tolerance, j.sentAt, conclusive)
}

// noteRejection records an answer with which a brittle server rejected the request for want of room.
func (j *job) noteRejection(candidate serverview.Candidate, answer *http.Response) {
	if candidate.Brittle && answer.StatusCode == http.StatusServiceUnavailable && j.f.options.Tolerances != nil {
		j.f.options.Tolerances.Rejected(candidate, j.isAssigned())
	}
}

// isAssigned reports whether the node that knows the requests of all nodes has assigned the latest server, or admitted the
// request there.
func (j *job) isAssigned() bool {
	return j.slot.Server != "" || j.service.Engine != nil && j.admittedByHolder
}
