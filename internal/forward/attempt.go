package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

const (
	// minimumGateWait is the least wait allowed at a gate, also to a request that has used up its wait for the adapter.
	minimumGateWait = 200 * time.Millisecond
	// minimumBrittleWait is the least wait at the first gate of a brittle server.
	minimumBrittleWait = 50 * time.Millisecond
	// maximumGateWait bounds the wait at one gate; a healthy server prefills several prompts in that time.
	maximumGateWait = 700 * time.Millisecond
	// maximumGateTimeouts bounds the gates at which one request may time out.
	maximumGateTimeouts = 3
	// attemptTargetFactor, a multiple of the route's latency objective, and attemptShare, a share of the remaining
	// time, bound each send of an idempotent request but the last; the smaller bound applies.
	attemptTargetFactor = 3
	attemptShare        = 0.4
	// minimumAttemptTime covers the slowest requests of the specified workloads, 110 ms.
	minimumAttemptTime = 200 * time.Millisecond
	// suspectAfter is the time without an answer after which a cancelled attempt (caller disconnected or deadline
	// passed) counts as a failure of the server.
	suspectAfter = time.Second
	// maximumConnectionTries bounds the connections of one send that are given up because the request was refused on them.
	maximumConnectionTries = 3
	// maximumAttemptTime applies when neither the caller nor the route sets a timeout.
	maximumAttemptTime = 5 * time.Minute
)

// bufferedAnswerLimit bounds the answers that are buffered completely; larger ones are forwarded as they arrive.
const bufferedAnswerLimit = 256 << 10

// attempt sends the request to a server. It returns true once the caller has its final answer.
func (j *job) attempt(candidate serverview.Candidate, version int) (done bool) {
	j.setServer(candidate)
	defer j.endAttempt()
	if reserved, done := j.reserve(candidate); !reserved {
		return done
	}
	j.tried[candidate.ID] = true
	if j.service.Engine != nil {
		j.onEnd(j.f.options.Usage.Begin(candidate.ID, j.request.Adapter))
		release, ok := j.awaitGate(candidate)
		if !ok {
			j.reservation.cancel()
			j.inputs = event.Fields{"backlogMs": candidate.Backlog.Milliseconds(), "ageMs": candidate.Age.Milliseconds()}
			return j.handleGateTimeout()
		}
		defer release(false)
		j.releaseGate = release
		if j.isBarred(candidate) {
			j.reservation.cancel()
			delete(j.tried, candidate.ID)
			return false
		}
	}
	if j.refuseCrashing() {
		j.reservation.cancel()
		return true
	}
	if !j.chargeQuota() {
		j.reservation.cancel()
		return true
	}
	now := time.Now()
	j.onEnd(j.f.options.View.Begin(now, candidate.ID))
	j.sending(candidate, j.sendWay())
	j.sends++
	j.sentAt = now
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	j.startPatience(cancel)
	defer j.endPatience()
	answer, written, err := j.send(ctx, candidate, serving.Attempt{
		ServerID: candidate.ID, Remaining: j.remaining(), Priority: j.priority(), AdapterVersion: version,
		Customer: j.customerName(), Authenticated: j.authenticated,
	})
	var malformed *upstream.MalformedError
	if errors.As(err, &malformed) && j.ctx.Err() == nil {
		return j.handleUnusableAnswer(candidate, malformed.Error())
	}
	if err != nil {
		return j.sendFailed(now, candidate, written, err)
	}
	defer answer.Body.Close()
	j.slot.answeredAt = time.Now()
	return j.answered(candidate, answer)
}

// onEnd registers what ends with the current attempt.
func (j *job) onEnd(end func()) { j.attemptEnds = append(j.attemptEnds, end) }

// endAttempt frees the place that the current attempt takes at its server. Further calls have no effect.
func (j *job) endAttempt() {
	for _, end := range slices.Backward(j.attemptEnds) {
		end()
	}
	j.attemptEnds = nil
	j.releaseSlot()
}

// giveUp closes an answer that hasn't ended before its request goes on at another server, so that two servers never work on it.
func (j *job) giveUp(answer *http.Response) {
	// The rest of the answer is of no use, and so is an error.
	_ = answer.Body.Close()
	j.endAttempt()
}

// startPatience calls giveUp when the time of the send that begins now is over. The request's own deadline needs no such bound.
func (j *job) startPatience(giveUp func()) {
	j.patience = nil
	if limit := j.attemptTime(); j.deadline.IsZero() || limit < j.remaining() {
		j.patience = time.AfterFunc(limit, giveUp)
	}
}

// endPatience ends the time after which the current send is given up. It returns false if the send has been given up before.
func (j *job) endPatience() (ended bool) { return j.patience == nil || j.patience.Stop() }

// attemptTime returns the time after which one send is given up. For an idempotent request it leaves time to retry at another server
// when this one doesn't answer. It doesn't apply to an answer that is being passed on, which no other server can continue.
func (j *job) attemptTime() time.Duration {
	remaining := j.remaining()
	if remaining == 0 {
		return maximumAttemptTime
	}
	if !j.route.Repeatable() || j.attempts+1 >= j.route.MaxAttempts {
		return remaining
	}
	byTarget := max(attemptTargetFactor*j.route.TargetLatency, minimumAttemptTime)
	return min(byTarget, time.Duration(attemptShare*float64(remaining)))
}

// handleGateTimeout handles a timeout at a server's gate: another server may hold the adapter or load it. It returns
// true once the caller has its final answer.
func (j *job) handleGateTimeout() (done bool) {
	j.gateTimeouts++
	if j.gateTimeouts < maximumGateTimeouts && time.Since(j.arrived) < j.loadWait() && j.ctx.Err() == nil {
		return false
	}
	j.refuseUnserved(ReasonPrefillQueueTooLong)
	return true
}

// awaitGate waits until the prompt may be sent to the server.
func (j *job) awaitGate(candidate serverview.Candidate) (release func(read bool), ok bool) {
	left := j.loadWait() - time.Since(j.arrived)
	timeout := min(max(left, minimumGateWait), maximumGateWait)
	if candidate.Brittle && j.gateTimeouts == 0 {
		// Another server may have had room all the while, as the loads by which servers are chosen are old.
		timeout = min(timeout, max(left/2, minimumBrittleWait))
	}
	admission, ok := j.f.options.Gate.Await(j.ctx, Prompt{
		Server: candidate, Tokens: j.request.PromptTokens, Priority: j.rank(), Lifetime: j.remaining(),
	}, timeout)
	j.admittedByHolder = admission.ByHolder
	return admission.Release, ok
}

// priority returns the rank sent to model servers, or -1 for plain services, which get none.
func (j *job) priority() int {
	if j.service.Engine == nil {
		return -1
	}
	return j.rank()
}

// send writes the request to a server and returns the header of its answer. written is false when no byte was written.
func (j *job) send(
	ctx context.Context, candidate serverview.Candidate, attempt serving.Attempt,
) (answer *http.Response, written bool, err error) {
	permit := j.permit()
	header := j.f.options.Wire.ServerHeader(j.r.Header, j.request, attempt)
	var trace *upstream.RequestTrace
	for range maximumConnectionTries {
		trace = &upstream.RequestTrace{Avoided: &j.refusedOn}
		request := j.outgoing(candidate.Address, header)
		answer, err = j.f.options.Transport.RoundTrip(request.WithContext(trace.WithTrace(ctx, permit)))
		if !trace.WasAvoided() {
			break
		}
	}
	j.trace = trace
	if err != nil {
		if !trace.Written() {
			j.sendLapsed = !permit()
			j.reservation.cancel()
			j.giveBackQuota()
		}
		j.charge = charge{}
		return nil, trace.Written(), failure.Wrap(err, failure.Unavailable, "send request", candidate.Address)
	}
	upstream.VerifyEvents(answer, j.expectedType(answer.StatusCode))
	return answer, true, nil
}

// outgoing returns the caller's request to a server or another node, with the given headers.
func (j *job) outgoing(address string, header http.Header) *http.Request {
	return &http.Request{
		Method:     j.r.Method,
		URL:        j.target.url(address),
		Host:       j.r.Host,
		Header:     header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1,
		// net/http can't rewind this body, so it never retries the request on its own.
		Body:          io.NopCloser(bytes.NewReader(j.body.Bytes())),
		ContentLength: int64(len(j.body.Bytes())),
	}
}

// expectedType returns the media type of an answer that has no Content-Type, or "" if it can be any.
func (j *job) expectedType(status int) string {
	if j.route.Kind == serving.Stream && status < http.StatusMultipleChoices {
		return upstream.EventStream
	}
	return ""
}

// sendFailed handles a send that got no answer.
func (j *job) sendFailed(now time.Time, candidate serverview.Candidate, written bool, err error) (done bool) {
	if j.ctx.Err() != nil {
		j.attempts++
		return j.attemptCancelled(candidate)
	}
	j.logFailedAttempt(candidate, written, err)
	if !written {
		j.unsent++
	}
	if !written && j.sendLapsed {
		// The connection took longer than the reservation lasts, the process was suspended, or the server has begun to leave or
		// rest; it isn't to blame.
		delete(j.tried, candidate.ID)
		if j.sends >= maximumSends {
			j.refuseUnserved(ReasonPermitEnded)
			return true
		}
		return false
	}
	if !written {
		j.connectionFailed(now, candidate.ID)
		if j.sends >= maximumSends {
			if servers, _ := unreachable(j.f.options.View.Candidates(now, j.service.Name, j.request.Adapter)); j.handOver(servers) {
				return true
			}
			j.refuseUnserved(ReasonNoConnection)
			return true
		}
		return false
	}
	j.attempts++
	j.f.options.View.Doubt(candidate.ID)
	j.f.recordFailure(now, candidate.ID)
	j.recordBreak(err, j.request.SharedParts)
	if j.repeatable() && !j.suspected() && j.retryAllowed() {
		return false
	}
	j.refuseOutcomeUnknown(http.StatusBadGateway, ReasonNoAnswer)
	return true
}

// connectionFailed records that no connection to a server was obtained.
func (j *job) connectionFailed(now time.Time, server string) {
	if j.f.options.View.Unreachable(now, server) {
		j.f.options.Events.Emit(event.ServerUnreachable, event.Fields{"server": server})
	}
}

// attemptCancelled ends a request whose deadline passed or whose caller disconnected while a server was processing it.
func (j *job) attemptCancelled(candidate serverview.Candidate) bool {
	if j.f.ending.Err() != nil && j.r.Context().Err() == nil {
		j.refuseOutcomeUnknown(http.StatusBadGateway, ReasonStopping)
		return true
	}
	if time.Since(j.sentAt) > suspectAfter {
		j.f.options.View.Doubt(candidate.ID)
		j.f.recordFailure(time.Now(), candidate.ID)
	}
	if j.r.Context().Err() != nil {
		j.log(event.RequestRefused, ReasonCallerLeft, nil)
		panic(http.ErrAbortHandler)
	}
	j.refuseOutcomeUnknown(http.StatusGatewayTimeout, reasonDeadlineAt+candidate.ID)
	return true
}

// repeatable reports whether the request may be sent again although an earlier send may have run.
func (j *job) repeatable() bool {
	return j.route.Repeatable() || j.route.Kind == serving.Stream && j.route.Resumable
}

// retryAllowed reports whether the route, the deadline and the retry budget allow another send. It consumes from the
// budget.
func (j *job) retryAllowed() bool {
	return j.attempts < j.route.MaxAttempts && j.sends < maximumSends && j.ctx.Err() == nil && j.consumeRetry()
}

func (f *Forwarder) recordFailure(now time.Time, server string) {
	if f.options.View.Failed(now, server) {
		f.options.Events.Emit(event.ServerEjected, event.Fields{"server": server})
	}
}

// answered handles the header of a server's answer.
func (j *job) answered(candidate serverview.Candidate, answer *http.Response) (done bool) {
	info := j.f.options.Wire.DecodeAnswer(answer)
	j.observe(candidate, answer, info)
	j.settleQuota(info)
	now := time.Now()
	if answer.StatusCode != http.StatusMisdirectedRequest {
		// A server that has started again is empty, and refuses the requests that were meant for the incarnation before.
		j.f.options.Crashes.BytesReceived(now, j.incarnation)
	}
	j.f.options.View.Reached(now, candidate.ID)
	switch {
	case !info.BelongsTo(j.request.ID):
		return j.handleUnusableAnswer(candidate, "the answer belongs to another request")
	case info.NotRun && info.RequestID != j.request.ID:
		// It may be the refusal of an earlier request on the connection, written once more.
		return j.handleUnusableAnswer(candidate, "the refusal names no request")
	case info.NotRun:
		return j.notRun(candidate, answer, info)
	case !info.HasDigest:
		return j.handleUnusableAnswer(candidate, "the answer carries no digest")
	case answer.StatusCode >= http.StatusInternalServerError:
		j.attempts++
		j.f.recordFailure(time.Now(), candidate.ID)
		if j.route.Repeatable() && j.retryAllowed() {
			status := "status " + strconv.Itoa(answer.StatusCode)
			j.logFailedAttempt(candidate, true, failure.New(failure.Internal, "read answer", candidate.Address, status))
			return false
		}
		return j.forwardBuffered(candidate, answer)
	case j.route.Kind == serving.Stream && answer.StatusCode < http.StatusMultipleChoices:
		j.attempts++
		return j.forwardStream(candidate, answer)
	default:
		j.attempts++
		return j.forwardBuffered(candidate, answer)
	}
}

// notRun handles an answer which states that the server didn't run the request.
func (j *job) notRun(candidate serverview.Candidate, answer *http.Response, info serving.AnswerInfo) (done bool) {
	reason := "the server refused the request with status " + strconv.Itoa(answer.StatusCode)
	j.slot.noteNotRun(answer.StatusCode)
	j.noteRejection(candidate, answer)
	j.logFailedAttempt(candidate, false, failure.New(failure.Refused, "read answer", candidate.Address, reason))
	if answer.StatusCode == http.StatusBadRequest {
		j.refuse(http.StatusBadRequest, reason, 0)
		return true
	}
	if info.Misdirected && !j.request.Adapter.IsZero() {
		j.f.options.View.Lacks(candidate.ID, j.request.Adapter)
	}
	if now := time.Now(); j.f.options.View.RestsFor(now, candidate.ID) > 0 {
		candidates := j.f.options.View.Candidates(now, j.service.Name, j.request.Adapter)
		if refusal := restRefusal(candidates); refusal != nil {
			j.refuseResting(refusal)
			return true
		}
	}
	if j.sends >= maximumSends || j.ctx.Err() != nil || !j.consumeRetry() {
		j.refuseUnserved(reason)
		return true
	}
	if info.Misdirected {
		// A server that writes this refusal once more must not refuse the request by it when it's sent there again.
		j.refusedOn.Add(j.trace)
		// The server may load the adapter while the request waits, so it stays a candidate.
		delete(j.tried, candidate.ID)
	}
	return false
}

var errGivenUp = errors.New("the server took too long")

// forwardBuffered forwards an answer that isn't a stream. It buffers the answer, so that the request can be retried at
// another server if the connection breaks.
func (j *job) forwardBuffered(candidate serverview.Candidate, answer *http.Response) (done bool) {
	holding := j.f.options.Held.Hold()
	defer holding.Release()
	needsJSON := upstream.NeedsVerifiedJSON(answer, j.expectedType(answer.StatusCode))
	body, err := upstream.ReadHeld(answer.Body, answer.ContentLength, bufferedAnswerLimit, holding)
	if err == nil && needsJSON {
		err = upstream.VerifyJSON(body)
	}
	switch {
	case err == nil:
		j.releaseSlot()
		j.bodyRead(candidate)
	// Without memory, only an answer whose content has to show whether it's complete must be held.
	case errors.Is(err, upstream.ErrTooLarge), errors.Is(err, upstream.ErrNoMemory) && !needsJSON:
		j.bodyRead(candidate)
		if j.endPatience() {
			j.forwardUnbuffered(candidate, answer, body, holding)
			return true
		}
		err = errGivenUp
	}
	if err != nil && j.ctx.Err() != nil {
		return j.attemptCancelled(candidate)
	}
	if err != nil {
		var parts []string
		if len(body) == 0 {
			parts = j.request.SharedParts
		}
		j.recordBreak(err, parts)
		j.attempts--
		return j.handleBrokenAnswer(candidate, "the answer broke off",
			failure.Wrap(err, failure.Unavailable, "read answer", candidate.Address))
	}
	if answer.StatusCode < http.StatusInternalServerError {
		j.f.options.View.Succeeded(candidate.ID)
	}
	if answer.StatusCode < http.StatusMultipleChoices {
		j.f.options.Crashes.Answered(j.suspects())
	}
	j.copyHeader(answer)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(answer.StatusCode)
	_, err = j.w.Write(body)
	j.logAnswer(candidate, answer.StatusCode, outcomeOf(err), delimiterField(answer))
	return true
}

func delimiterField(answer *http.Response) event.Fields {
	return event.Fields{"delimiter": upstream.DelimiterOf(answer)}
}

func outcomeOf(err error) string {
	if err != nil {
		return ReasonCallerLeft
	}
	return "passed on whole"
}

// forwardUnbuffered copies a large answer as it arrives, after the beginning that is held. If it breaks off, the caller's connection
// is aborted, so that the answer doesn't look complete.
func (j *job) forwardUnbuffered(
	candidate serverview.Candidate, answer *http.Response, beginning []byte, holding *bytelimit.Holding,
) {
	j.copyHeader(answer)
	j.w.WriteHeader(answer.StatusCode)
	_, err := j.w.Write(beginning)
	holding.Release()
	if err == nil {
		_, err = io.Copy(j.w, answer.Body)
	}
	if err != nil {
		j.log(event.RequestAnswered, "the answer broke off", err)
		panic(http.ErrAbortHandler)
	}
	j.logAnswer(candidate, answer.StatusCode, "passed on as it arrived", delimiterField(answer))
}

// copyHeader copies the end-to-end headers of the server's answer to the caller's.
func (j *job) copyHeader(answer *http.Response) {
	header := j.w.Header()
	for name, values := range upstream.WithoutHopHeaders(answer.Header) {
		header[name] = values
	}
	if _, found := answer.Header["Content-Type"]; !found {
		// A nil value stops net/http from sniffing the content type.
		header["Content-Type"] = nil
	}
}
