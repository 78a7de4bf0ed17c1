package forward

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/streamorigin"
)

const (
	// originMargin is how long after a stream's deadline its origin is still remembered; it covers the clocks and messages
	// of callers and nodes.
	originMargin = 5 * time.Second
	// originRetryAfter covers the restart of a process that may know the stream.
	originRetryAfter = time.Second
)

// resumesStream reports whether the caller resumes a stream.
func (j *job) resumesStream() bool {
	return j.route.Kind == serving.Stream && j.route.Resumable && j.request.LastEventID != ""
}

// findOrigin binds the request to the service and the software version at which the resumed stream began, as events of
// two versions don't fit together. If they are unknown, or the route doesn't lead there any more, it refuses the request
// and returns false.
func (j *job) findOrigin(config *serving.Configuration) bool {
	startedAt := time.Now()
	answer := j.f.options.Origins.Find(j.ctx, j.request.Resumes, j.onlyService(), j.streamLifetime())
	j.log(event.OriginResolved, answer.Basis.String(), nil, event.Fields{
		"service": answer.Service, "softwareVersion": answer.SoftwareVersion,
		"searchMs": time.Since(startedAt).Milliseconds(),
	})
	switch {
	case !answer.Known():
		j.f.metrics.resumesRefused.Inc(1)
		j.refuseUnservedFor(ReasonUnknownOrigin, originRetryAfter)
		return false
	case !j.route.LeadsTo(answer.Service):
		j.f.metrics.resumesRefused.Inc(1)
		j.refuseUnserved(ReasonOriginUnreachable)
		return false
	}
	j.f.metrics.resumed.Inc(1)
	j.service, j.softwareVersion = config.Services[answer.Service], answer.SoftwareVersion
	return true
}

// onlyService returns the service of a route that has only one, or an empty string.
func (j *job) onlyService() string {
	if len(j.route.Services) != 1 {
		return ""
	}
	return j.service.Name
}

// recordOrigin binds a stream that may be resumed to the software version of the server that answered, and remembers its
// origin for requests that resume it.
func (j *job) recordOrigin(candidate serverview.Candidate) {
	if !j.route.Resumable {
		return
	}
	request := j.request.ID
	if j.resumesStream() {
		request = j.request.Resumes
	}
	j.softwareVersion = candidate.SoftwareVersion
	j.f.options.Origins.Record(streamorigin.Origin{
		Request: request, Service: j.service.Name, SoftwareVersion: candidate.SoftwareVersion,
		Until: time.Now().Add(j.streamLifetime()),
	})
}

// streamLifetime returns how long from now the caller may resume the stream, which also bounds how long ago it can have
// begun.
func (j *job) streamLifetime() time.Duration {
	bound := max(j.route.Timeout, j.request.Timeout)
	if bound <= 0 {
		bound = maximumAttemptTime
	}
	return bound + originMargin
}
