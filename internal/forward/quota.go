package forward

import (
	"context"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Quotas keeps the use of customers at all nodes within their quotas.
type Quotas interface {
	// Acquire charges a customer's quota with a cost in the quota's unit. It waits up to patience. If there is no room,
	// retryAfter is when there will be. The caller must call giveBack if the request has not run.
	Acquire(
		ctx context.Context, customer *serving.Customer, cost float64, priority int, patience time.Duration,
	) (giveBack func(), retryAfter time.Duration, ok bool)
}

const (
	// quotaPatience and quotaPatienceShare, a share of the remaining time, bound the wait for credit.
	quotaPatience      = 100 * time.Millisecond
	quotaPatienceShare = 0.1
	// quotaLifetime is how long after it was charged a request may be sent, by a clock that goes on while the VM is suspended.
	// The bound counts what runs in a window, and use that is delayed adds to that of the next window.
	quotaLifetime = 500 * time.Millisecond
)

// charge is what a send has used of the customer's quota.
type charge struct {
	// giveBack is nil without a charge.
	giveBack func()
	// at is when it was charged, by the clock of Options.BootTime.
	at time.Duration
}

// charges reports whether the request counts against a quota.
func (j *job) charges() bool {
	return j.customer != nil && j.f.options.Quotas != nil && j.customer.Quota.Limited()
}

// bootTime returns the reading of Options.BootTime.
func (j *job) bootTime() time.Duration {
	if j.f.options.BootTime == nil {
		return time.Since(j.arrived)
	}
	return j.f.options.BootTime()
}

// chargeQuota charges the quota for the next send, unless an earlier charge was not used and is recent. Without room it
// answers the caller and returns false.
func (j *job) chargeQuota() bool {
	cost, patience, retryAfter, ok := j.acquireQuota()
	if !ok {
		j.refuseQuota(cost, patience, retryAfter)
	}
	return ok
}

// chargeResumption charges the quota for the resumption of a stream whose answer has begun.
func (j *job) chargeResumption() bool {
	_, _, _, ok := j.acquireQuota()
	return ok
}

func (j *job) acquireQuota() (cost float64, patience, retryAfter time.Duration, ok bool) {
	if !j.charges() || j.charge.giveBack != nil && j.chargeIsRecent() {
		return 0, 0, 0, true
	}
	j.giveBackQuota()
	patience = quotaPatience
	if remaining := j.remaining(); remaining > 0 {
		patience = min(patience, time.Duration(quotaPatienceShare*float64(remaining)))
	}
	cost = j.customer.Quota.Cost(j.request)
	at := j.bootTime()
	giveBack, retryAfter, ok := j.f.options.Quotas.Acquire(j.ctx, j.customer, cost, j.rank(), patience)
	if ok {
		j.charge = charge{giveBack: giveBack, at: at}
	}
	return cost, patience, retryAfter, ok
}

func (j *job) chargeIsRecent() bool { return j.bootTime()-j.charge.at < quotaLifetime }

// permit returns the function that reports whether the request may still be written to the server. Transports may call it
// after the send has ended.
func (j *job) permit() func() bool {
	reservation, charged, at, incarnation := j.reservation, j.charge.giveBack != nil, j.charge.at, j.incarnation
	return func() bool {
		return reservation.isValid() && (!charged || j.bootTime()-at < quotaLifetime) && j.serverAllows(incarnation)
	}
}

// refuseQuota answers a request for which the customer's quota leaves no room.
func (j *job) refuseQuota(cost float64, patience, retryAfter time.Duration) {
	j.inputs = event.Fields{
		"customer": j.customer.Name, "cost": cost, "perSecond": j.customer.Quota.PerSecond, "burst": j.customer.Quota.Burst,
		"patienceMs": patience.Milliseconds(), "roomInMs": retryAfter.Milliseconds(),
	}
	if j.attempts > 0 {
		j.refuseOutcomeUnknown(http.StatusBadGateway, ReasonQuota)
		return
	}
	j.refuse(http.StatusTooManyRequests, ReasonQuota, quotaRetryAfter(retryAfter))
}

// quotaRetryAfter returns the time that a refusal names, before jitter, where there is room after roomIn.
func quotaRetryAfter(roomIn time.Duration) time.Duration { return max(roomIn, time.Millisecond) }

// giveBackQuota gives back the charge of a send that has not run.
func (j *job) giveBackQuota() {
	if j.charge.giveBack != nil {
		j.charge.giveBack()
	}
	j.charge = charge{}
}

// settleQuota gives back the charge of a send if the server said that the request has not run. Otherwise it's used.
func (j *job) settleQuota(info serving.AnswerInfo) {
	if info.NotRun && info.BelongsTo(j.request.ID) {
		j.giveBackQuota()
	}
	j.charge = charge{}
}
