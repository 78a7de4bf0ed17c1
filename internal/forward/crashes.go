package forward

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

// CrashGuard keeps requests on which servers crash away from servers: those with certain parts of prompts, and single ones
// that come again. Both have keys.
type CrashGuard interface {
	// Check decides whether a request with the keys may be sent to a server.
	Check(request string, keys []string) crashguard.Decision
	// WatchesRequests reports whether a server has ended under a request, so that the keys of all requests are compared.
	WatchesRequests() bool
	// Suspected reports whether servers ended under requests with one of the keys.
	Suspected(keys []string) bool
	// Broken records an attempt whose connection was closed without a complete answer.
	Broken(b crashguard.Break)
	// BytesReceived records a sign of life of a server.
	BytesReceived(now time.Time, server crashguard.Incarnation)
	// Answered records an answer to a request with the keys.
	Answered(keys []string)
}

// earlyAnswer is the age of an answer up to which the end of its server may be due to a part of the prompt. A part with which
// answers go on for longer doesn't crash servers.
const earlyAnswer = 100 * time.Millisecond

// requestKeys returns the keys of the request, which are computed only when they are needed.
func (j *job) requestKeys() []string {
	if j.keys == nil {
		j.keys = crashguard.RequestIdentity{
			Method: j.r.Method, Host: j.r.Host, Target: j.r.RequestURI, Body: j.body.Bytes(), Caller: j.caller,
		}.Keys()
	}
	return j.keys
}

// suspects returns the keys to compare: the shared parts of the prompt and, if a server ended under a request, the request.
func (j *job) suspects() []string {
	if !j.f.options.Crashes.WatchesRequests() {
		return j.request.SharedParts
	}
	return slices.Concat(j.request.SharedParts, j.requestKeys())
}

// refuseCrashing answers the request if servers crash on it or on a part of its prompt, and then returns true. One request
// now and then is sent as a trial.
func (j *job) refuseCrashing() (refused bool) {
	if j.trial {
		return false
	}
	decision := j.f.options.Crashes.Check(j.request.ID, j.suspects())
	j.trial = decision.Trial
	if decision.Allowed {
		return false
	}
	reason := ReasonCrashing
	if crashguard.IsRequest(decision.Part) {
		reason = ReasonCrashingRequest
	}
	j.inputs = event.Fields{"part": decision.Part}
	// Retry-After isn't bounded by the caller's deadline: a repeat before the next trial would be refused as well.
	j.refuseUntil(reason, decision.RetryAfter)
	return true
}

// suspected reports whether servers ended under the request or under others with parts of its prompt, so that it isn't sent
// to another one.
func (j *job) suspected() bool {
	return j.f.options.Crashes.Suspected(slices.Concat(j.request.SharedParts, j.requestKeys()))
}

// setServer records the server that the next attempt is sent to.
func (j *job) setServer(candidate serverview.Candidate) {
	j.server = candidate.ID
	j.address = candidate.Address
	j.incarnation = crashguard.Incarnation{ServerID: candidate.ID, Born: candidate.Born}
}

// recordBreak records that the latest attempt got no complete answer, if the server closed its connection. parts are those
// that it may be due to, besides the request itself.
func (j *job) recordBreak(err error, parts []string) {
	var timeout net.Error
	timedOut := errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.Canceled) || j.ctx.Err() != nil
	if timedOut || errors.Is(err, errEventTooLarge) {
		return
	}
	j.f.options.Crashes.Broken(crashguard.Break{
		Server: j.incarnation, Address: j.address, Parts: parts, Requests: j.requestKeys(), BegunAt: j.sentAt, At: time.Now(),
	})
}

// recordStreamEnd is recordBreak for a stream that broke off. Parts of the prompt are suspects only at its beginning.
func (j *job) recordStreamEnd(s *stream, err error) {
	if err == nil || s.callerErr != nil {
		return
	}
	var parts []string
	if s.begunAt.IsZero() || time.Since(s.begunAt) < earlyAnswer {
		parts = j.request.SharedParts
	}
	j.recordBreak(err, parts)
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
