package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// CrashGuard keeps requests with parts of prompts on which servers crash away from servers.
type CrashGuard interface {
	// Check decides whether a request with the parts may be sent to a server.
	Check(request string, parts []string) crashguard.Decision
	// Suspected reports whether servers ended under requests with one of the parts.
	Suspected(parts []string) bool
	// Broken records an attempt whose connection was closed without an answer.
	Broken(b crashguard.Break)
	// BytesReceived records a sign of life of a server.
	BytesReceived(now time.Time, server crashguard.Incarnation)
	// Answered records an answer to a request with the parts.
	Answered(parts []string)
}

// earlyAnswer is the age of an answer up to which the end of its server may be due to the request. A request whose answer
// goes on for longer doesn't crash servers.
const earlyAnswer = 100 * time.Millisecond

// refuseCrashing answers the request if servers crash on a part of its prompt, and then returns true. One request now and
// then is sent as a trial.
func (j *job) refuseCrashing() (refused bool) {
	if j.trial {
		return false
	}
	decision := j.f.options.Crashes.Check(j.request.ID, j.request.SharedParts)
	j.trial = decision.Trial
	if decision.Allowed {
		return false
	}
	j.inputs = event.Fields{"part": decision.Part}
	if j.attempts > 0 {
		j.refuseOutcomeUnknown(http.StatusBadGateway, ReasonCrashing)
		return true
	}
	// Retry-After isn't bounded by the caller's deadline: a repeat before the next trial would be refused as well.
	j.writeRefusal(serving.Refusal{
		Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: decision.RetryAfter, Reason: ReasonCrashing,
	})
	return true
}

// setServer records the server that the next attempt is sent to.
func (j *job) setServer(candidate serverview.Candidate) {
	j.server = candidate.ID
	j.incarnation = crashguard.Incarnation{ServerID: candidate.ID, Born: candidate.Born}
}

// recordBreak records that the latest attempt got no answer, if the server closed its connection.
func (j *job) recordBreak(err error) {
	var timeout net.Error
	timedOut := errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.Canceled) || j.ctx.Err() != nil
	if timedOut || errors.Is(err, errEventTooLarge) {
		return
	}
	j.f.options.Crashes.Broken(crashguard.Break{
		Server: j.incarnation, Parts: j.request.SharedParts, BegunAt: j.sentAt, At: time.Now(),
	})
}

// recordEarlyEnd is recordBreak for an answer that broke off at its beginning.
func (j *job) recordEarlyEnd(s *stream, err error) {
	early := s.begunAt.IsZero() || time.Since(s.begunAt) < earlyAnswer
	if err != nil && s.callerErr == nil && early {
		j.recordBreak(err)
	}
}

// received records that data of a stream arrived.
func (j *job) received(now time.Time, s *stream) {
	j.f.options.View.BytesReceived(now, j.server)
	j.f.options.Crashes.BytesReceived(now, j.incarnation)
	if !s.sound && now.Sub(s.begunAt) >= earlyAnswer {
		s.sound = true
		j.f.options.Crashes.Answered(j.request.SharedParts)
	}
}
