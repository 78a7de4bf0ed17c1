package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/relay"
	"waxwingcleat.example/waxwingcleat/internal/routing"
)

// maximumAttempts bounds the attempts of one request, so that a single request can't exhaust the retry budget.
const maximumAttempts = 3

// serve processes a parsed request. A non-idempotent request runs only if its key can be claimed in the ledger.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call) {
	if !c.nonIdempotent {
		g.run(w, r, c, nil)
		return
	}
	attempt := ident.New()
	verdict := g.components.Claims.Begin(r.Context(), c.key, attempt)
	switch verdict.State {
	case ledger.Claimed:
		claim := &claim{claims: g.components.Claims, key: c.key, attempt: attempt}
		defer claim.abandon()
		g.run(w, r, c, claim)
	case ledger.Completed:
		replay(w, c, verdict.Outcome)
	default:
		claimProblem(verdict, g.jitteredRetryDelay()).write(w, c.id)
	}
}

// replay answers with the recorded outcome of an earlier request with the same key.
func replay(w http.ResponseWriter, c *call, outcome ledger.Outcome) {
	w.Header().Set(headerReplayed, "true")
	if outcome.BodyDropped {
		p := refusal(http.StatusGone, codeResultDropped, "the request ran with status %d; its result is no longer held", outcome.Status)
		p.execution = relay.Ran
		p.write(w, c.id)
		return
	}
	writeResponse(w, outcome.Status, outcome.ContentType, outcome.Body)
}

// claim is the claim on the key of one non-idempotent request. The methods of a nil claim, which idempotent requests
// have, do nothing.
type claim struct {
	claims  ledger.Claims
	key     ledger.Key
	attempt string
	ended   bool
}

func (c *claim) release() {
	if c != nil && !c.ended {
		c.ended = true
		c.claims.Release(c.key, c.attempt)
	}
}

func (c *claim) complete(outcome ledger.Outcome) {
	if c != nil && !c.ended {
		c.ended = true
		c.claims.Complete(c.key, c.attempt, outcome)
	}
}

// abandon ends a claim that was neither released nor completed, also if the handler panics.
func (c *claim) abandon() {
	if c != nil && !c.ended {
		c.ended = true
		c.claims.Abandon(c.key, c.attempt)
	}
}

// run makes attempts until the request can be answered.
func (g *Gateway) run(w http.ResponseWriter, r *http.Request, c *call, keyClaim *claim) {
	g.countRequest()
	if c.target.Service == "" {
		g.components.Permits.Arrived(c.target, c.class.Rank)
	}
	out := &responseWriter{gateway: g, w: w, control: http.NewResponseController(w)}
	var history attemptHistory
	for {
		dispatched := g.dispatcher.submit(r.Context(), g.newWaiter(c, history))
		if dispatched.assignment == nil {
			keyClaim.release()
			g.handleNotDispatched(w, c, dispatched, history)
			return
		}
		result := g.attempt(r.Context(), c, *dispatched.assignment, out)
		history.add(*dispatched.assignment, result, g.components.Now())
		if !g.shouldRetry(r.Context(), c, result, history) {
			result.Execution = history.execution(result.Execution)
			g.finish(out, c, keyClaim, result)
			return
		}
	}
}

// attemptHistory summarizes a request's earlier attempts.
type attemptHistory struct {
	tried    []failedAttempt
	attempts int
	// mayHaveRun is true if an attempt ran or may have run. The request is then never reported as not run, even if a
	// later attempt is known not to have run.
	mayHaveRun bool
}

// add records an attempt that ended at now. An expired permit isn't recorded as a failure of the server.
func (h *attemptHistory) add(p assignment, result relay.Result, now time.Time) {
	h.attempts++
	h.mayHaveRun = h.mayHaveRun || result.Execution != relay.NotRun
	if code := failure.CodeOf(result.Err); code != relay.PermitEnded {
		h.tried = append(h.tried, failedAttempt{
			server: p.candidate.Server, load: p.candidate.Load, at: now, permanent: code == relay.NotLoaded,
		})
	}
}

// execution returns the execution of the request over all attempts, given that of the last attempt or rejection.
func (h *attemptHistory) execution(last relay.Execution) relay.Execution {
	if last == relay.NotRun && h.mayHaveRun {
		return relay.Unknown
	}
	return last
}

func (g *Gateway) newWaiter(c *call, history attemptHistory) *waiter {
	arrived := c.arrived
	if history.attempts > 0 {
		// The duration of earlier attempts doesn't count as waiting time.
		arrived = g.components.Now()
	}
	return &waiter{
		requestID: c.id,
		entry:     admission.Entry{Target: c.target, Class: c.class, Arrived: arrived, Deadline: c.deadline},
		request:   routing.Request{Target: c.target, BaseModel: c.baseModel, Zone: g.settings.Node.Zone},
		tried:     history.tried,
	}
}

func (g *Gateway) handleNotDispatched(
	w http.ResponseWriter, c *call, dispatched dispatchResult, history attemptHistory,
) {
	if dispatched.rejection == nil {
		g.components.Events.Emit(event.CallerGone, event.Fields{"request": c.id, "target": c.target.String()})
		panic(http.ErrAbortHandler)
	}
	p := rejectionProblem(*dispatched.rejection)
	p.execution = history.execution(p.execution)
	metrics.GetOrRegisterCounter("gateway.given_up."+string(p.code), nil).Inc(1)
	g.components.Events.Emit(event.RequestGivenUp, event.Fields{
		"request": c.id, "target": c.target.String(), "class": c.class.Name, "code": p.code,
		"retryAfterMs": p.retryAfter.Milliseconds(),
	})
	p.write(w, c.id)
}

// attempt makes one attempt on the assigned server and releases the assignment afterwards.
func (g *Gateway) attempt(ctx context.Context, c *call, p assignment, out *responseWriter) relay.Result {
	releaseScheduled := false
	defer func() {
		if !releaseScheduled {
			g.dispatcher.release(p)
		}
	}()
	request := &relay.Request{
		Attempt: ident.New(), Address: p.candidate.Address, Method: c.method, Path: c.path, Header: c.header,
		Body: c.attemptBody(p.candidate.LoadName), LoadName: p.candidate.LoadName, Model: c.model,
		Stream: c.stream, Idempotent: !c.nonIdempotent, Allowed: g.permitCheck(c, p),
	}
	result := g.relay.Do(ctx, request, out)
	releaseScheduled = true
	g.releaseWhenSettled(p, result)
	if result.Err != nil && ctx.Err() == nil {
		kind := event.AttemptFailed
		if failure.CodeOf(result.Err) == relay.WrongModel {
			kind = event.WrongModelAnswered
		}
		g.components.Events.EmitError(kind, result.Err, event.Fields{
			"request": c.id, "attempt": request.Attempt, "execution": result.Execution, "server": p.candidate.Server,
		})
	}
	return result
}

// releaseWhenSettled releases the assignment once the request no longer runs on the server. Until then the load counts
// as in use, so that its closing isn't acknowledged.
func (g *Gateway) releaseWhenSettled(p assignment, result relay.Result) {
	if result.Settled == nil {
		g.dispatcher.release(p)
		return
	}
	go func() {
		<-result.Settled
		g.dispatcher.release(p)
	}()
}

// permitCheck returns the check that is made immediately before the request is written.
func (g *Gateway) permitCheck(c *call, p assignment) func() bool {
	if c.target.Service != "" {
		return func() bool { return g.endpoints.usable(c.target.Service, p.candidate.Address) }
	}
	return func() bool { return g.components.Permits.Valid(p.reservation) }
}

// shouldRetry reports whether to make another attempt, and if so charges it to the retry budget.
func (g *Gateway) shouldRetry(ctx context.Context, c *call, result relay.Result, history attemptHistory) bool {
	if c.nonIdempotent || result.Started || ctx.Err() != nil || history.attempts >= maximumAttempts {
		return false
	}
	if result.Complete && result.Status != http.StatusServiceUnavailable {
		return false
	}
	if c.target.Service != "" && !g.endpoints.hasUntried(c.target.Service, history.tried, g.components.Now()) {
		return false
	}
	if !g.consumeRetry() {
		metrics.GetOrRegisterCounter("gateway.retries_refused", nil).Inc(1)
		return false
	}
	metrics.GetOrRegisterCounter("gateway.retries", nil).Inc(1)
	return true
}

// finish answers the caller and records the outcome of a non-idempotent request.
func (g *Gateway) finish(out *responseWriter, c *call, keyClaim *claim, result relay.Result) {
	switch {
	case result.Complete && c.stream && result.Started:
		keyClaim.complete(streamOutcome(result, result.Status, result.Body))
	case result.Complete:
		g.finishComplete(out, c, keyClaim, result)
	case result.Started:
		keyClaim.abandon()
		g.abort(out, c, result)
	default:
		g.finishFailed(out, c, keyClaim, result)
	}
}

// finishComplete sends an answer that is not a stream. It hands the outcome to the ledger first, so that recording has
// started before the caller sees the answer.
func (g *Gateway) finishComplete(out *responseWriter, c *call, keyClaim *claim, result relay.Result) {
	status, header, body := result.Status, result.Header, result.Body
	if c.target.Service == "" && status != http.StatusOK {
		p := engineProblem(result)
		p.retryAfter = g.retryAfterFor(status)
		status, body = p.status, p.body(c.id)
		header = http.Header{"Content-Type": {contentTypeJSON}}
	}
	keyClaim.complete(ledger.Outcome{Status: status, ContentType: header.Get("Content-Type"), Body: body})
	out.writeComplete(status, header, body)
}

// streamOutcome returns the outcome to record for a stream.
func streamOutcome(result relay.Result, status int, body []byte) ledger.Outcome {
	return ledger.Outcome{
		Status: status, ContentType: result.Header.Get("Content-Type"), Body: body, BodyDropped: result.BodyDropped,
	}
}

func (g *Gateway) finishFailed(out *responseWriter, c *call, keyClaim *claim, result relay.Result) {
	if result.Execution == relay.NotRun {
		keyClaim.release()
	} else if keyClaim != nil {
		keyClaim.abandon()
		g.components.Events.Emit(event.OutcomeUnknown, event.Fields{"request": c.id, "target": c.target.String()})
	}
	p := attemptProblem(result, g.jitteredRetryDelay())
	if c.nonIdempotent && result.Execution != relay.NotRun {
		// Every retry with the same key is answered with codeOutcomeUnknown, so there is no time after which to retry.
		p.retryAfter = 0
	}
	p.write(out.w, c.id)
}

// abort ends a stream that can't be finished: it sends an error event instead of [DONE] and aborts the connection
// without the final HTTP chunk.
func (g *Gateway) abort(out *responseWriter, c *call, result relay.Result) {
	p := attemptProblem(result, g.jitteredRetryDelay())
	p.execution = relay.Unknown
	fields := event.Fields{"request": c.id, "target": c.target.String()}
	g.components.Events.EmitError(event.AnswerBroken, result.Err, fields)
	_ = out.Write(append(append([]byte("event: error\ndata: "), p.body(c.id)...), "\n\n"...))
	panic(http.ErrAbortHandler)
}

func (g *Gateway) retryAfterFor(status int) time.Duration {
	if status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		return g.jitteredRetryDelay()
	}
	return 0
}

// jitteredRetryDelay returns the default retry delay with random jitter.
func (g *Gateway) jitteredRetryDelay() time.Duration {
	return admission.RetryAfter(defaultRetryAfter, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}
