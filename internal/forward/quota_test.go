package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/eventgap"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

// fakeQuotas admits requests while there is room, and counts what was charged and given back.
type fakeQuotas struct {
	room              int
	charged, returned int
	cost              float64
	patience          time.Duration
}

func (q *fakeQuotas) Acquire(
	_ context.Context, _ *serving.Customer, cost float64, _ int, patience time.Duration,
) (giveBack func(), retryAfter time.Duration, ok bool) {
	q.cost, q.patience = cost, patience
	if q.charged-q.returned >= q.room {
		return nil, 300 * time.Millisecond, false
	}
	q.charged++
	return func() { q.returned++ }, 0, true
}

var customer = &serving.Customer{Name: "c", Quota: serving.Quota{PerSecond: 10, Burst: 10}}

// withQuotas gives a fixture quotas and a clock.
func (f *fixture) withQuotas(quotas forward.Quotas, clock func() time.Duration, peers *fakePeers, transport http.RoundTripper) {
	config := f.forwarder.Config()
	f.forwarder = forward.New(forward.Options{
		Wire: wire{}, View: f.view, Usage: usage.New("n"), Transport: f, EventGaps: eventgap.New(), Limits: f.limits,
		Crashes: noCrashes{}, Quotas: quotas, BootTime: clock, Peers: peers, PeerTransport: transport,
		Events: event.Discard(), Nodes: func() int { return 1 },
		RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	})
	f.forwarder.SetConfig(config)
}

func (f *fixture) callAs(c *serving.Customer) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	f.forwarder.ServeAs(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/x", strings.NewReader("body")), c)
	return recorder
}

// Guards against a request over the quota that is sent, or refused without the time at which a retry makes sense.
func TestRequestOverTheQuotaIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	quotas := &fakeQuotas{}
	f.withQuotas(quotas, nil, nil, nil)
	answer := f.callAs(customer)
	g.Expect(answer.Code).To(gomega.Equal(http.StatusTooManyRequests))
	g.Expect(answer.Header().Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(f.sent).To(gomega.BeEmpty())
	g.Expect(quotas.cost).To(gomega.Equal(1.0))
	g.Expect(quotas.patience).To(gomega.BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
}

// Guards against a charge of requests that no quota bounds, and against a missing one of others.
func TestOnlyCustomersWithAQuotaAreCharged(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	quotas := &fakeQuotas{room: 10}
	f.withQuotas(quotas, nil, nil, nil)
	g.Expect(f.callAs(nil).Code).To(gomega.Equal(http.StatusOK))
	g.Expect(f.callAs(&serving.Customer{Name: "free"}).Code).To(gomega.Equal(http.StatusOK))
	g.Expect(quotas.charged).To(gomega.BeZero())
	g.Expect(f.callAs(customer).Code).To(gomega.Equal(http.StatusOK))
	g.Expect(quotas.charged).To(gomega.Equal(1))
	g.Expect(quotas.returned).To(gomega.BeZero())
}

// Guards against a charge that is kept although the server said that the request has not run, and against a send that may have
// run and isn't charged.
func TestEachSendThatMayRunIsCharged(t *testing.T) {
	for status, returned := range map[int]int{http.StatusServiceUnavailable: 1, http.StatusInternalServerError: 0} {
		g := gomega.NewWithT(t)
		f := newFixture(serving.Idempotent, "a", "b")
		quotas := &fakeQuotas{room: 10}
		f.withQuotas(quotas, nil, nil, nil)
		f.answer = func(string) (*http.Response, error) {
			if len(f.sent) == 1 {
				return answerWith(status, ""), nil
			}
			return answerWith(http.StatusOK, "body"), nil
		}
		g.Expect(f.callAs(customer).Code).To(gomega.Equal(http.StatusOK))
		g.Expect(f.sent).To(gomega.HaveLen(2))
		g.Expect(quotas.charged).To(gomega.Equal(2))
		g.Expect(quotas.returned).To(gomega.Equal(returned))
	}
}

// Guards against a 429, which says that the request has not run, after a send that may have run.
func TestRepeatedRequestOverTheQuotaIsNotSaidToHaveNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.Idempotent, "a", "b")
	f.withQuotas(&fakeQuotas{room: 1}, nil, nil, nil)
	f.answer = func(string) (*http.Response, error) { return answerWith(http.StatusInternalServerError, ""), nil }
	g.Expect(f.callAs(customer).Code).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(f.sent).To(gomega.HaveLen(1))
}

// Guards against a charge that is lost when the request is refused or was never written.
func TestChargeOfAnUnsentRequestIsGivenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent)
	quotas := &fakeQuotas{room: 10}
	f.withQuotas(quotas, nil, nil, nil)
	g.Expect(f.callAs(customer).Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(quotas.returned).To(gomega.Equal(1))
	g.Expect(quotas.charged).To(gomega.Equal(1))

	f = newFixture(serving.NonIdempotent, "a")
	quotas = &fakeQuotas{room: 10}
	f.withQuotas(quotas, nil, &fakePeers{}, nil)
	f.answer = func(string) (*http.Response, error) { return nil, errUnreachable }
	f.callAs(customer)
	g.Expect(f.sent).NotTo(gomega.BeEmpty())
	g.Expect(quotas.returned).To(gomega.Equal(quotas.charged))
}

// Guards against a request that runs in a later window than the one to which it was charged, as the process was suspended.
func TestOldChargeIsRenewedBeforeTheSend(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	quotas := &fakeQuotas{room: 1}
	var now atomic.Int64
	f.withQuotas(quotas, func() time.Duration { return time.Duration(now.Load()) }, nil, nil)
	f.limits.acquire = func(string, time.Duration) (forward.Reservation, time.Duration, bool) {
		now.Add(int64(2 * time.Second))
		return forward.Reservation{}, 0, true
	}
	g.Expect(f.callAs(customer).Code).To(gomega.Equal(http.StatusOK))
	g.Expect(quotas.charged).To(gomega.Equal(2))
	g.Expect(quotas.returned).To(gomega.Equal(1))
}

// Guards against a request that is charged here although another node sends it.
func TestChargeIsGivenBackBeforeAHandover(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	quotas := &fakeQuotas{room: 1}
	var atHandover int
	transport := roundTripper(func(r *http.Request) (*http.Response, error) {
		atHandover = quotas.charged - quotas.returned
		answer := answerWith(http.StatusOK, "body")
		answer.Request = r
		return answer, nil
	})
	f.withQuotas(quotas, nil, &fakePeers{nodes: []string{"peer"}}, transport)
	f.view.Unreachable(time.Now(), "a")
	g.Expect(f.callAs(customer).Code).To(gomega.Equal(http.StatusOK))
	g.Expect(quotas.charged).To(gomega.Equal(1))
	g.Expect(atHandover).To(gomega.BeZero())
}

type roundTripper func(r *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
