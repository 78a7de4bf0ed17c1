package forward

import (
	"net/http"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

// Tolerances learns of the rejections by brittle servers, which fall over when they reject too many requests a second.
type Tolerances interface {
	// Rejected records that a brittle server rejected a request for want of room. assigned is true when the node that knows
	// the requests of all nodes had assigned it to the server.
	Rejected(server serverview.Candidate, assigned bool)
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
