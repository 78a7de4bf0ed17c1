package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/intake"
	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Values of Retry-After, before jitter is applied.
const (
	// configRetryAfter covers the first read of the configuration.
	configRetryAfter = 500 * time.Millisecond
	// busyRetryAfter covers a load, or the completion of a few requests.
	busyRetryAfter = 700 * time.Millisecond
	// retryAfterShare bounds Retry-After to a share of the caller's remaining time; callers honour up to a third.
	retryAfterShare = 0.33
	// jitterLow and jitterHigh bound the random factor on Retry-After, so that callers refused together don't retry
	// together.
	jitterLow, jitterHigh = 0.6, 1.4
)

// refuseUnserved answers a request that no server is processing any more. The answer says that the request has not run,
// unless an earlier send may have run it.
func (j *job) refuseUnserved(reason string) { j.refuseUnservedFor(reason, busyRetryAfter) }

// refuseUnservedFor is refuseUnserved with the time after which the request may be retried.
func (j *job) refuseUnservedFor(reason string, retryAfter time.Duration) {
	if j.attempts > 0 {
		j.refuseOutcomeUnknown(http.StatusBadGateway, reason)
		return
	}
	j.refuse(http.StatusServiceUnavailable, reason, retryAfter)
}

// refuseUntil is refuseUnservedFor with a time that is known, and that neither jitter nor the caller's deadline changes.
func (j *job) refuseUntil(reason string, retryAfter time.Duration) {
	if j.attempts > 0 {
		j.refuseOutcomeUnknown(http.StatusBadGateway, reason)
		return
	}
	j.writeRefusal(serving.Refusal{
		Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: retryAfter, Reason: reason,
	})
}

// refuse answers a request that has not run and will not run.
func (j *job) refuse(status int, reason string, retryAfter time.Duration) {
	j.writeRefusal(j.refusal(status, reason, retryAfter, rand.Float64()))
}

// refusal returns the answer to a request that has not run and will not run. random, from 0 to 1, selects the jitter.
func (j *job) refusal(status int, reason string, retryAfter time.Duration, random float64) serving.Refusal {
	if retryAfter > 0 {
		retryAfter = time.Duration(float64(retryAfter) * (jitterLow + (jitterHigh-jitterLow)*random))
		if !j.deadline.IsZero() {
			retryAfter = min(retryAfter, time.Duration(retryAfterShare*float64(j.remaining())))
		}
	}
	notRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout
	return serving.Refusal{Status: status, NotRun: notRun, RetryAfter: retryAfter, Reason: reason}
}

// refuseOutcomeUnknown answers a request that may have run.
func (j *job) refuseOutcomeUnknown(status int, reason string) {
	j.writeRefusal(serving.Refusal{Status: status, Reason: reason})
}

func (j *job) writeRefusal(refusal serving.Refusal) {
	j.f.metrics.refused.Inc(1)
	j.log(event.RequestRefused, refusal.Reason, nil, event.Fields{
		"status": refusal.Status, "notRun": refusal.NotRun, "retryAfterMs": refusal.RetryAfter.Milliseconds(),
	}, j.inputs)
	if j.body == nil {
		intake.CloseUnread(j.w, j.r)
	}
	j.f.options.Wire.WriteRefusal(j.w, j.request, refusal)
}

func (j *job) logAnswer(candidate serverview.Candidate, status int, outcome string, more ...event.Fields) {
	j.f.metrics.answered.Inc(1)
	j.f.metrics.latency.Update(time.Since(j.arrived).Milliseconds())
	more = append(more, event.Fields{
		"status": status, "zone": candidate.Zone, "softwareVersion": candidate.SoftwareVersion,
		"load": candidate.Load, "ageMs": candidate.Age.Milliseconds(),
	}, j.slotFields, j.choiceFields(candidate))
	j.log(event.RequestAnswered, outcome, nil, more...)
}

// choiceFields returns the inputs of the choice of a model server.
func (j *job) choiceFields(chosen serverview.Candidate) event.Fields {
	if j.service.Engine == nil {
		return nil
	}
	query := j.query(0)
	return event.Fields{
		"spread": query.Spreads(), "reported": chosen.Reported, "reportAgeMs": chosen.LoadAge.Milliseconds(),
		"askedSince": chosen.Asked, "arrivalsPerS": chosen.Arrivals, "slots": chosen.Slots,
		"expectedPauseMs": query.ExpectedPause(chosen, chosen.Load).Milliseconds(), "slowness": chosen.Step.Slowness,
		"takesRuns": query.Capacity(chosen),
	}
}

func (j *job) logFailedAttempt(candidate serverview.Candidate, mayHaveRun bool, err error) {
	j.f.metrics.failedAttempts.Inc(1)
	fields := event.Fields{
		"request": j.request.ID, "server": candidate.ID, "softwareVersion": candidate.SoftwareVersion,
		"mayHaveRun": mayHaveRun, "send": j.sends, "ms": time.Since(j.arrived).Milliseconds(),
		"promptParts": j.request.SharedParts,
	}
	if candidate.Brittle {
		fields["brittle"], fields["assigned"] = true, j.isAssigned()
	}
	if mayHaveRun {
		fields["method"], fields["path"], fields["caller"] = j.r.Method, j.r.URL.Path, j.caller
	}
	j.f.options.Events.EmitError(event.RequestAttempt, err, fields)
}

// log writes an event about the request, with the fields that explain the outcome.
func (j *job) log(kind event.Event, reason string, err error, more ...event.Fields) {
	fields := event.Fields{
		"request": j.request.ID, "server": j.server, "reason": reason, "sends": j.sends,
		"ms": time.Since(j.arrived).Milliseconds(),
	}
	if kind == event.RequestRefused {
		j.f.addConfig(time.Now(), fields)
	}
	if j.route != nil {
		fields["route"] = j.route.Name
	}
	if j.customer != nil {
		fields["customer"] = j.customer.Name
	}
	if !j.request.Adapter.IsZero() {
		fields["adapter"] = j.request.Adapter.String()
		fields["promptTokens"] = j.request.PromptTokens
	}
	if j.request.LastEventID != "" {
		fields["resumes"], fields["lastEvent"] = j.request.Resumes, j.request.LastEventID
	}
	for _, extra := range more {
		for key, value := range extra {
			fields[key] = value
		}
	}
	if err != nil {
		j.f.options.Events.EmitError(kind, err, fields)
		return
	}
	j.f.options.Events.Emit(kind, fields)
}

// handleUnusableAnswer handles an answer that can't be forwarded; the request may have run.
func (j *job) handleUnusableAnswer(candidate serverview.Candidate, reason string) (done bool) {
	return j.handleBrokenAnswer(candidate, reason, failure.New(failure.Invalid, "read answer", candidate.Address, reason))
}

// handleBrokenAnswer is handleUnusableAnswer with an error for the log. Its text may hold internal addresses, so callers get the
// reason alone.
func (j *job) handleBrokenAnswer(candidate serverview.Candidate, reason string, err error) (done bool) {
	// The next answer on the connection may be the one to this request.
	j.trace.Discard()
	j.attempts++
	j.f.recordFailure(time.Now(), candidate.ID)
	j.logFailedAttempt(candidate, true, err)
	if j.repeatable() && !j.suspected() && j.retryAllowed() {
		return false
	}
	j.refuseOutcomeUnknown(http.StatusBadGateway, reason)
	return true
}

// addConfig adds the configuration in force to the fields of a log line, and how old that knowledge is.
func (f *Forwarder) addConfig(now time.Time, fields event.Fields) {
	config := f.Config()
	if config == nil {
		return
	}
	fields["config"] = config.Version
	if f.options.ConfigAge != nil {
		fields["configAgeMs"] = f.options.ConfigAge(now).Milliseconds()
	}
}

// pickResident chooses a server that can resume a stream without waiting for a load.
func (j *job) pickResident(candidates []serverview.Candidate) (serverview.Candidate, bool) {
	if j.service.Engine == nil {
		return modelpick.Plain(candidates, j.query(0), newRandom())
	}
	declared, _ := j.f.options.View.Declared(j.request.Adapter)
	candidate, found, _ := modelpick.Resident(candidates, j.query(declared), newRandom())
	return candidate, found
}

// metricSet holds the forwarder's metrics, which are registered in the default registry.
type metricSet struct {
	answered       metrics.Counter
	refused        metrics.Counter
	failedAttempts metrics.Counter
	handedOver     metrics.Counter
	// spread and leastLoaded count the choices of model servers by how they were made.
	spread, leastLoaded metrics.Counter
	// resumed and resumesRefused count the callers' requests to resume a stream, by whether its origin was found.
	resumed        metrics.Counter
	resumesRefused metrics.Counter
	// latency is the time until the answer was completely forwarded, in milliseconds.
	latency metrics.Histogram
	// keysRefused counts the requests that were refused because of their keys, by reason.
	keysRefused map[string]metrics.Counter
}

// latencySample is the size of the histogram's sample of recent values.
const latencySample = 512

func newMetricSet() metricSet {
	return metricSet{
		keysRefused:    newKeyCounters(),
		answered:       metrics.GetOrRegisterCounter("forward.answered", nil),
		refused:        metrics.GetOrRegisterCounter("forward.refused", nil),
		failedAttempts: metrics.GetOrRegisterCounter("forward.failedAttempts", nil),
		handedOver:     metrics.GetOrRegisterCounter("forward.handedOver", nil),
		spread:         metrics.GetOrRegisterCounter("forward.choice.spread", nil),
		leastLoaded:    metrics.GetOrRegisterCounter("forward.choice.leastLoaded", nil),
		resumed:        metrics.GetOrRegisterCounter("forward.resumed", nil),
		resumesRefused: metrics.GetOrRegisterCounter("forward.resumesRefused", nil),
		latency: metrics.GetOrRegisterHistogram("forward.latencyMs", nil,
			metrics.NewExpDecaySample(latencySample, 0.015)),
	}
}

// choice returns the counter for the way in which a model server is chosen.
func (m metricSet) choice(query modelpick.Query) metrics.Counter {
	if query.Spreads() {
		return m.spread
	}
	return m.leastLoaded
}
