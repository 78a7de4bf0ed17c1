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

// maximumAttempts bounds the attempts of one request, so that one request can't use up the retry budget.
const maximumAttempts = 3

// serve takes a parsed request through claim, admission, routing and relay.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call) {
	if !c.nonIdempotent {
		g.run(w, r, c, nil)
		return
	}
	attempt := ident.New()
	verdict := g.parts.Claims.Begin(r.Context(), c.key, attempt)
	switch verdict.State {
	case ledger.Claimed:
		claim := &claim{claims: g.parts.Claims, key: c.key, attempt: attempt}
		defer claim.abandon()
		g.run(w, r, c, claim)
	case ledger.Completed:
		replay(w, c, verdict.Outcome)
	default:
		claimAnswer(verdict, g.spreadRetry()).write(w, c.id)
	}
}

// replay answers with the outcome of an earlier request.
func replay(w http.ResponseWriter, c *call, outcome ledger.Outcome) {
	w.Header().Set(headerReplayed, "true")
	if outcome.BodyLost {
		p := refusal(http.StatusGone, codeResultGone, "the request ran with status %d; its result is no longer held", outcome.Status)
		p.execution = relay.Ran
		p.write(w, c.id)
		return
	}
	writeWhole(w, outcome.Status, outcome.ContentType, outcome.Body)
}

// claim is a claim that is held for one request. A nil claim belongs to an idempotent request and does nothing.
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

// abandon ends a claim that has not ended otherwise, also when the handler panics.
func (c *claim) abandon() {
	if c != nil && !c.ended {
		c.ended = true
		c.claims.Abandon(c.key, c.attempt)
	}
}

// run makes attempts until the request has its answer.
func (g *Gateway) run(w http.ResponseWriter, r *http.Request, c *call, held *claim) {
	g.countRequest()
	if c.target.Service == "" {
		g.parts.Permits.Arrived(c.target, c.class.Rank)
	}
	out := &answer{gateway: g, w: w, control: http.NewResponseController(w)}
	var past history
	for {
		t := g.dispatcher.wait(r.Context(), g.waiter(c, past))
		if t.place == nil {
			held.release()
			g.notDispatched(w, c, t, past)
			return
		}
		result := g.attempt(r.Context(), c, *t.place, out)
		past.add(*t.place, result, g.parts.Now())
		if !g.retries(r.Context(), c, result, past) {
			result.Execution = past.execution(result.Execution)
			g.finish(out, c, held, result)
			return
		}
	}
}

// history is what is known of a request's earlier attempts.
type history struct {
	tried    []failedPlace
	attempts int
	// mayHaveRun is true when an attempt is not known as not run. Then no later refusal makes the request "not run".
	mayHaveRun bool
}

// add takes an attempt that ended at now. A permit that ended says nothing against the server.
func (h *history) add(p place, result relay.Result, now time.Time) {
	h.attempts++
	h.mayHaveRun = h.mayHaveRun || result.Execution != relay.NotRun
	if code := failure.CodeOf(result.Err); code != relay.Refused {
		h.tried = append(h.tried, failedPlace{
			server: p.candidate.Server, load: p.candidate.Load, at: now, forGood: code == relay.NotLoaded,
		})
	}
}

// execution returns what is known of the whole request, given the last attempt's or the refusal's execution.
func (h *history) execution(last relay.Execution) relay.Execution {
	if last == relay.NotRun && h.mayHaveRun {
		return relay.Unknown
	}
	return last
}

func (g *Gateway) waiter(c *call, past history) *waiter {
	arrived := c.arrived
	if past.attempts > 0 {
		// The time of an attempt is no time in the queue.
		arrived = g.parts.Now()
	}
	return &waiter{
		requestID: c.id,
		entry:     admission.Entry{Target: c.target, Class: c.class, Arrived: arrived, Deadline: c.deadline},
		request:   routing.Request{Target: c.target, BaseModel: c.baseModel, Zone: g.settings.Node.Zone},
		tried:     past.tried,
	}
}

func (g *Gateway) notDispatched(w http.ResponseWriter, c *call, t ticket, past history) {
	if t.givenUp == nil {
		g.parts.Events.Emit(event.CallerGone, event.Fields{"request": c.id, "target": c.target.String()})
		panic(http.ErrAbortHandler)
	}
	p := givenUp(*t.givenUp)
	p.execution = past.execution(p.execution)
	metrics.GetOrRegisterCounter("gateway.given_up."+string(p.code), nil).Inc(1)
	g.parts.Events.Emit(event.RequestGivenUp, event.Fields{
		"request": c.id, "target": c.target.String(), "class": c.class.Name, "code": p.code,
		"retryAfterMs": p.retryAfter.Milliseconds(),
	})
	p.write(w, c.id)
}

// attempt makes one attempt at a place and gives the place back.
func (g *Gateway) attempt(ctx context.Context, c *call, p place, out *answer) relay.Result {
	given := false
	defer func() {
		if !given {
			g.dispatcher.release(p)
		}
	}()
	request := &relay.Request{
		Attempt: ident.New(), Address: p.candidate.Address, Method: c.method, Path: c.path, Header: c.header,
		Body: c.attemptBody(p.candidate.LoadName), LoadName: p.candidate.LoadName, Model: c.model,
		Stream: c.stream, Idempotent: !c.nonIdempotent, Allowed: g.allowed(c, p),
	}
	result := g.relay.Do(ctx, request, out)
	given = true
	g.giveBack(p, result)
	if result.Err != nil && ctx.Err() == nil {
		kind := event.AttemptFailed
		if failure.CodeOf(result.Err) == relay.WrongModel {
			kind = event.WrongModelAnswered
		}
		g.parts.Events.EmitError(kind, result.Err, event.Fields{
			"request": c.id, "attempt": request.Attempt, "execution": result.Execution, "server": p.candidate.Server,
		})
	}
	return result
}

// giveBack gives the place back once the request is over at the server. Until then the load counts as in use, so that
// its closing isn't acknowledged.
func (g *Gateway) giveBack(p place, result relay.Result) {
	if result.Settled == nil {
		g.dispatcher.release(p)
		return
	}
	go func() {
		<-result.Settled
		g.dispatcher.release(p)
	}()
}

// allowed returns the check that is made just before the request is written.
func (g *Gateway) allowed(c *call, p place) func() bool {
	if c.target.Service != "" {
		return func() bool { return g.endpoints.usable(c.target.Service, p.candidate.Address) }
	}
	return func() bool { return g.parts.Permits.Valid(p.use) }
}

// retries reports whether another attempt is to be made, and takes it out of the retry budget.
func (g *Gateway) retries(ctx context.Context, c *call, result relay.Result, past history) bool {
	if c.nonIdempotent || result.Started || ctx.Err() != nil || past.attempts >= maximumAttempts {
		return false
	}
	if result.Complete && result.Status != http.StatusServiceUnavailable {
		return false
	}
	if c.target.Service != "" && !g.endpoints.untried(c.target.Service, past.tried, g.parts.Now()) {
		return false
	}
	if !g.mayRetry() {
		metrics.GetOrRegisterCounter("gateway.retries_refused", nil).Inc(1)
		return false
	}
	metrics.GetOrRegisterCounter("gateway.retries", nil).Inc(1)
	return true
}

// finish answers the caller and records the outcome of a non-idempotent request.
func (g *Gateway) finish(out *answer, c *call, held *claim, result relay.Result) {
	switch {
	case result.Complete && c.stream && result.Started:
		held.complete(outcomeOf(result, result.Status, result.Body))
	case result.Complete:
		g.finishWhole(out, c, held, result)
	case result.Started:
		held.abandon()
		g.abort(out, c, result)
	default:
		g.finishFailed(out, c, held, result)
	}
}

// finishWhole records the outcome first: a caller that sees the answer can rely on the record being on its way.
func (g *Gateway) finishWhole(out *answer, c *call, held *claim, result relay.Result) {
	status, header, body := result.Status, result.Header, result.Body
	if c.target.Service == "" && status != http.StatusOK {
		p := engineError(result)
		p.retryAfter = g.retryAfterFor(status)
		status, body = p.status, p.body(c.id)
		header = http.Header{"Content-Type": {contentTypeJSON}}
	}
	held.complete(ledger.Outcome{Status: status, ContentType: header.Get("Content-Type"), Body: body})
	out.whole(status, header, body)
}

func outcomeOf(result relay.Result, status int, body []byte) ledger.Outcome {
	return ledger.Outcome{
		Status: status, ContentType: result.Header.Get("Content-Type"), Body: body, BodyLost: result.BodyLost,
	}
}

func (g *Gateway) finishFailed(out *answer, c *call, held *claim, result relay.Result) {
	if result.Execution == relay.NotRun {
		held.release()
	} else if held != nil {
		held.abandon()
		g.parts.Events.Emit(event.OutcomeUnknown, event.Fields{"request": c.id, "target": c.target.String()})
	}
	p := attemptFailed(result, g.spreadRetry())
	if c.nonIdempotent && result.Execution != relay.NotRun {
		// A retry with the same key gets "outcome unknown" for ever, so that no time to retry is given.
		p.retryAfter = 0
	}
	p.write(out.w, c.id)
}

// abort ends a stream that can't be finished: an error event without [DONE], and no final chunk.
func (g *Gateway) abort(out *answer, c *call, result relay.Result) {
	p := attemptFailed(result, g.spreadRetry())
	p.execution = relay.Unknown
	g.parts.Events.EmitError(event.AnswerBroken, result.Err, event.Fields{"request": c.id, "target": c.target.String()})
	_ = out.Write(append(append([]byte("event: error\ndata: "), p.body(c.id)...), "\n\n"...))
	panic(http.ErrAbortHandler)
}

func (g *Gateway) retryAfterFor(status int) time.Duration {
	if status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		return g.spreadRetry()
	}
	return 0
}

// spreadRetry returns the default time after which to retry, spread by a random factor.
func (g *Gateway) spreadRetry() time.Duration {
	return admission.Spread(defaultRetryAfter, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}
