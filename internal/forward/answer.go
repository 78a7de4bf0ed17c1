package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Times after which a refused caller is asked to come back, before they are spread.
const (
	// startPause covers the first read of the configuration.
	startPause = 500 * time.Millisecond
	// busyPause covers a load, or a few requests that end.
	busyPause = 700 * time.Millisecond
	// returnShare is the part of a caller's remaining time that it may be asked to wait; callers honour a third.
	returnShare = 0.33
	// spreadLow and spreadHigh spread the returns, so that callers refused together don't come back together.
	spreadLow, spreadHigh = 0.6, 1.4
)

// giveUp answers a request that no server has, or only servers that didn't run it.
func (j *job) giveUp(reason string) {
	if j.attempts > 0 {
		j.refuseUnknown(http.StatusBadGateway, reason)
		return
	}
	j.refuse(http.StatusServiceUnavailable, reason, busyPause)
}

// refuse answers a request that has not run and won't.
func (j *job) refuse(status int, reason string, comeBack time.Duration) {
	if comeBack > 0 {
		comeBack = time.Duration(float64(comeBack) * (spreadLow + (spreadHigh-spreadLow)*rand.Float64()))
		if !j.deadline.IsZero() {
			comeBack = min(comeBack, time.Duration(returnShare*float64(j.remaining())))
		}
	}
	notRun := status == http.StatusServiceUnavailable
	j.write(serving.Refusal{Status: status, NotRun: notRun, RetryAfter: comeBack, Reason: reason})
}

// refuseUnknown answers a request that may have run.
func (j *job) refuseUnknown(status int, reason string) {
	j.write(serving.Refusal{Status: status, Reason: reason})
}

func (j *job) write(refusal serving.Refusal) {
	j.f.metrics.refused.Inc(1)
	j.log(event.RequestRefused, refusal.Reason, nil, event.Fields{
		"status": refusal.Status, "notRun": refusal.NotRun, "retryAfterMs": refusal.RetryAfter.Milliseconds(),
	}, j.inputs)
	j.f.options.Wire.WriteRefusal(j.w, j.request, refusal)
}

func (j *job) logAnswer(candidate serverview.Candidate, status int, outcome string, more ...event.Fields) {
	j.f.metrics.answered.Inc(1)
	j.f.metrics.latency.Update(time.Since(j.arrived).Milliseconds())
	more = append(more, event.Fields{
		"status": status, "zone": candidate.Zone, "load": candidate.Load, "ageMs": candidate.Age.Milliseconds(),
	})
	j.log(event.RequestAnswered, outcome, nil, more...)
}

func (j *job) logFailedAttempt(candidate serverview.Candidate, mayHaveRun bool, err error) {
	j.f.metrics.failedAttempts.Inc(1)
	j.f.options.Events.EmitError(event.RequestAttempt, err, event.Fields{
		"request": j.request.ID, "server": candidate.ID, "mayHaveRun": mayHaveRun, "send": j.sends,
		"ms": time.Since(j.arrived).Milliseconds(),
	})
}

// log writes one line on the request with what decided it.
func (j *job) log(kind event.Event, reason string, err error, more ...event.Fields) {
	fields := event.Fields{
		"request": j.request.ID, "server": j.server, "reason": reason, "sends": j.sends,
		"ms": time.Since(j.arrived).Milliseconds(),
	}
	if j.route != nil {
		fields["route"] = j.route.Name
	}
	if !j.request.Adapter.IsZero() {
		fields["adapter"] = j.request.Adapter.String()
		fields["promptTokens"] = j.request.PromptTokens
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

// pickResident chooses a server for the rest of a stream, without waiting for a load.
func (j *job) pickResident(candidates []serverview.Candidate) (serverview.Candidate, bool) {
	if j.service.Engine == nil {
		return modelpick.Plain(candidates, j.query(0), newRandom())
	}
	declared, _ := j.f.options.View.Declared(j.request.Adapter)
	candidate, found, _ := modelpick.Resident(candidates, j.query(declared), newRandom())
	return candidate, found
}

// metricSet holds the forwarder's metrics, which are in the default registry.
type metricSet struct {
	answered       metrics.Counter
	refused        metrics.Counter
	failedAttempts metrics.Counter
	// latency is the time until the whole answer was passed on, in milliseconds.
	latency metrics.Histogram
}

// latencySample is the number of latest values that the histogram keeps.
const latencySample = 512

func newMetricSet() metricSet {
	return metricSet{
		answered:       metrics.GetOrRegisterCounter("forward.answered", nil),
		refused:        metrics.GetOrRegisterCounter("forward.refused", nil),
		failedAttempts: metrics.GetOrRegisterCounter("forward.failedAttempts", nil),
		latency: metrics.GetOrRegisterHistogram("forward.latencyMs", nil,
			metrics.NewExpDecaySample(latencySample, 0.015)),
	}
}
