package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Reasons for which a request is refused because of its key.
const (
	ReasonKeyMissing   = "the request has no API key"
	ReasonKeyMalformed = "the API key is malformed"
	ReasonKeyUnknown   = "the API key belongs to no customer"
	ReasonKeyUnproven  = "the configuration may be too old to check the API key"
)

// proofRetryAfter covers the next proof of a node that has lost one.
const proofRetryAfter = time.Second

// KeyStatus says what the configuration in force may be used for when an API key is checked.
type KeyStatus struct {
	// Accept is true when a key that the configuration has may be accepted.
	Accept bool
	// Current is true when a key that the configuration lacks may be refused for good.
	Current bool
	// Age is how long ago the configuration is known to have been the newest; negative if that isn't known.
	Age time.Duration
}

// Keys knows how recent the configuration is by which API keys are checked.
type Keys interface {
	// Status returns what may be done at this moment with the configurations that are in force from now on.
	Status() KeyStatus
	// Refresh waits a short time for the configuration to be confirmed as the newest.
	Refresh(ctx context.Context)
}

// keyStatus returns the status of the configuration. It has to be read before the configuration: the configuration that is
// read next is then at least as new as the one that the status is about.
func (f *Forwarder) keyStatus() KeyStatus {
	if f.options.Keys == nil {
		return KeyStatus{Accept: true, Current: true}
	}
	return f.options.Keys.Status()
}

// admit determines the customer of the request. If the request isn't admitted, it answers the caller and returns false.
func (j *job) admit(current *activeConfig, status KeyStatus) bool {
	j.authenticated = current.customers.Required()
	if j.fromPeer {
		return j.admitHandedOver(current)
	}
	if !j.authenticated {
		return true
	}
	if j.request.Credential.State != serving.CredentialPresent {
		reason := j.checkNoKey()
		return reason == "" || j.refuseKey(http.StatusUnauthorized, reason)
	}
	customer := current.customers.ByKey(j.request.Credential.Digest)
	if !status.sufficesFor(customer) && j.f.options.Keys != nil {
		j.f.options.Keys.Refresh(j.r.Context())
		status = j.f.keyStatus()
		// A configuration that came into force meanwhile counts for the key; the request keeps its route.
		current = j.f.current.Load()
		customer = current.customers.ByKey(j.request.Credential.Digest)
	}
	code, reason := j.checkKey(current, status, customer)
	if reason == ReasonKeyUnproven {
		j.inputs = event.Fields{"proofAgeMs": status.Age.Milliseconds(), "version": current.config.Version}
	}
	if reason != "" {
		return j.refuseKey(code, reason)
	}
	j.customer = customer
	return true
}

// checkNoKey returns why a request without a usable key isn't admitted; empty if it is.
func (j *job) checkNoKey() (reason string) {
	switch {
	case j.route.Anonymous:
		return ""
	case j.request.Credential.State == serving.CredentialMalformed:
		return ReasonKeyMalformed
	}
	return ReasonKeyMissing
}

// checkKey returns why a request with the key of a customer, or of none if it's nil, isn't admitted, and the status of the
// answer; an empty reason if it is. The customers may have been removed from the configuration while the request waited.
func (j *job) checkKey(
	current *activeConfig, status KeyStatus, customer *serving.Customer,
) (code int, reason string) {
	switch {
	case !status.sufficesFor(customer):
		return http.StatusServiceUnavailable, ReasonKeyUnproven
	case customer == nil && current.customers.Required() && !j.route.Anonymous:
		return http.StatusUnauthorized, ReasonKeyUnknown
	}
	return 0, ""
}

// sufficesFor reports whether the result of a look-up is final. A key without a customer may be a new one.
func (s KeyStatus) sufficesFor(customer *serving.Customer) bool {
	return s.Accept && (customer != nil || s.Current)
}

// admitHandedOver looks up the customer that another node has determined. The key was checked there and isn't passed on.
func (j *job) admitHandedOver(current *activeConfig) bool {
	if j.peerCustomer != "" {
		j.customer = current.customers.ByName(j.peerCustomer)
	}
	if j.customer == nil && (j.peerCustomer != "" || j.authenticated && !j.route.Anonymous) {
		j.f.options.Events.Emit(event.HandoverRefused, event.Fields{
			"peer": j.r.RemoteAddr, "request": j.request.ID, "customer": j.peerCustomer, "version": current.config.Version,
		})
		RefuseHandover(j.w, http.StatusServiceUnavailable)
		return false
	}
	return true
}

// refuseKey answers a request that isn't admitted, and returns false.
func (j *job) refuseKey(status int, reason string) bool {
	j.f.metrics.keysRefused[reason].Inc(1)
	j.refuse(status, reason, j.keyRetryAfter(status))
	return false
}

// keyRetryAfter returns the time after which a request that isn't admitted may be retried, before jitter; 0 for never.
func (j *job) keyRetryAfter(status int) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	if bound := j.timeout(); bound > 0 {
		return min(proofRetryAfter, time.Duration(retryAfterShare/jitterHigh*float64(bound)))
	}
	return proofRetryAfter
}

// customerName returns the name of the request's customer, empty without one.
func (j *job) customerName() string {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}

// logCustomerProblems logs what was ignored in the customers of a configuration that came into force.
func (f *Forwarder) logCustomerProblems(version int64, problems []serving.CustomerProblem) {
	for _, problem := range problems {
		fields := event.Fields{"version": version, "customer": problem.Customer, "reason": problem.Reason}
		if problem.Other != "" {
			fields["otherCustomer"] = problem.Other
		}
		f.options.Events.Emit(event.CustomerInvalid, fields)
	}
}

// newKeyCounters returns the counters of requests that were refused because of their keys, by reason.
func newKeyCounters() map[string]metrics.Counter {
	return map[string]metrics.Counter{
		ReasonKeyMissing:   metrics.GetOrRegisterCounter("keys.refused.missing", nil),
		ReasonKeyMalformed: metrics.GetOrRegisterCounter("keys.refused.malformed", nil),
		ReasonKeyUnknown:   metrics.GetOrRegisterCounter("keys.refused.unknown", nil),
		ReasonKeyUnproven:  metrics.GetOrRegisterCounter("keys.refused.unproven", nil),
	}
}
