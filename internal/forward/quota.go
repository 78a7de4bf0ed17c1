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
	// quotaLifetime is how long after it was charged a request may be sent, by a clock that goes on while the VM is
	// suspended: the bound counts what runs in a window, and use that is delayed adds to that of the next window.
	quotaLifetime = time.Second
)

// acquireQuota charges the quota of the request's customer for one send. It adds the charge to the reservation. Without room
// it answers the caller and returns false.
func (j *job) acquireQuota() bool {
	j.releaseQuota = nil
	if j.customer == nil || j.f.options.Quotas == nil || !j.customer.Quota.Limited() {
		return true
	}
	patience := quotaPatience
	if remaining := j.remaining(); remaining > 0 {
		patience = min(patience, time.Duration(quotaPatienceShare*float64(remaining)))
	}
	cost := j.customer.Quota.Cost(j.request)
	giveBack, retryAfter, ok := j.f.options.Quotas.Acquire(j.ctx, j.customer, cost, j.rank(), patience)
	if !ok {
		j.refuseQuota(cost, patience, retryAfter)
		return false
	}
	j.releaseQuota = giveBack
	return true
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
	j.refuse(http.StatusTooManyRequests, ReasonQuota, max(retryAfter, time.Millisecond))
}

// giveBackQuota gives back the charge of a send that has not run.
func (j *job) giveBackQuota() {
	if j.releaseQuota != nil {
		j.releaseQuota()
		j.releaseQuota = nil
	}
}
