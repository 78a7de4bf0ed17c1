package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/eventgap"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

// fakeKeys has a status that Refresh replaces.
type fakeKeys struct {
	status    forward.KeyStatus
	refreshed *forward.KeyStatus
	// onRefresh, if set, is called by Refresh.
	onRefresh func()
	refreshes int
}

func (k *fakeKeys) Status() forward.KeyStatus { return k.status }

func (k *fakeKeys) Refresh(context.Context) {
	k.refreshes++
	if k.refreshed != nil {
		k.status = *k.refreshed
	}
	if k.onRefresh != nil {
		k.onRefresh()
	}
}

var proven = forward.KeyStatus{Accept: true, Current: true}

// customerConfig returns the configuration of a fixture in a version with a customer that has the key "k1".
func customerConfig(f *fixture, version int64, anonymous bool) *serving.Configuration {
	config := *f.forwarder.Config()
	config.Version = version
	config.Routes = []serving.Route{config.Routes[0]}
	config.Routes[0].Anonymous = anonymous
	config.Customers = []serving.Customer{{Name: "acme", Keys: []serving.KeyDigest{serving.DigestKey("k1")}}}
	return &config
}

// withCustomers gives a fixture a configuration with customers, and the given keys.
func (f *fixture) withCustomers(keys forward.Keys, peers *fakePeers, transport http.RoundTripper, anonymous bool) {
	config := customerConfig(f, 2, anonymous)
	f.forwarder = forward.New(forward.Options{
		Wire: wire{}, View: f.view, Usage: usage.New("n"), Transport: f, EventGaps: eventgap.New(), Limits: f.limits,
		Crashes: noCrashes{}, Peers: peers, PeerTransport: transport, Keys: keys, Events: event.Discard(),
		Nodes:       func() int { return 1 },
		RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	})
	f.forwarder.SetConfig(config)
}

func callWithKey(handler http.HandlerFunc, key string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "http://example.com/x", strings.NewReader("body"))
	request.Header.Set("Id", "r1")
	if key != "" {
		request.Header.Set("Key", key)
	}
	handler(recorder, request)
	return recorder
}

// Guards against requests that run without a customer, with the wrong one, or are refused for good while the key may be a
// new one, and against a refusal of keys at all on anonymous routes.
func TestKeyDecidesWhetherARequestRuns(t *testing.T) {
	stale := forward.KeyStatus{Age: 2 * time.Second, Accept: true}
	expired := forward.KeyStatus{Age: 5 * time.Second}
	for name, c := range map[string]struct {
		status    forward.KeyStatus
		anonymous bool
		key       string
		code      int
		customer  string
	}{
		"valid":                       {proven, false, "k1", 200, "acme"},
		"missing":                     {proven, false, "", 401, ""},
		"malformed":                   {proven, false, "malformed", 401, ""},
		"unknown":                     {proven, false, "k2", 401, ""},
		"valid, stale":                {stale, false, "k1", 200, "acme"},
		"unknown, stale":              {stale, false, "k2", 503, ""},
		"missing, stale":              {stale, false, "", 401, ""},
		"valid, expired":              {expired, false, "k1", 503, ""},
		"unknown, expired":            {expired, false, "k2", 503, ""},
		"missing, expired":            {expired, false, "", 401, ""},
		"anonymous, missing":          {proven, true, "", 200, ""},
		"anonymous, malformed":        {proven, true, "malformed", 200, ""},
		"anonymous, unknown":          {proven, true, "k2", 200, ""},
		"anonymous, valid":            {proven, true, "k1", 200, "acme"},
		"anonymous, missing, expired": {expired, true, "", 200, ""},
		"anonymous, valid, expired":   {expired, true, "k1", 503, ""},
		"anonymous, unknown, stale":   {stale, true, "k2", 503, ""},
	} {
		g := gomega.NewWithT(t)
		f := newFixture(serving.NonIdempotent, "a")
		f.withCustomers(&fakeKeys{status: c.status}, nil, nil, c.anonymous)
		var header http.Header
		f.received = func(r *http.Request) { header = r.Header }
		recorder := callWithKey(f.forwarder.ServeHTTP, c.key)
		g.Expect(recorder.Code).To(gomega.Equal(c.code), name)
		g.Expect(header.Get("Customer")).To(gomega.Equal(c.customer), name)
		g.Expect(header).NotTo(gomega.HaveKey("Key"), name)
		g.Expect(recorder.Header().Get("Retry-After") != "").To(gomega.Equal(c.code == 503), name)
	}
}

// Guards against a request that is refused although the node can learn at once that its configuration is the newest, and
// against a check by the configuration from before the proof.
func TestStaleProofIsRefreshed(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	keys := &fakeKeys{status: forward.KeyStatus{Accept: true}, refreshed: &proven}
	f.withCustomers(keys, nil, nil, false)
	g.Expect(callWithKey(f.forwarder.ServeHTTP, "k2").Code).To(gomega.Equal(401))
	g.Expect(keys.refreshes).To(gomega.Equal(1))
	g.Expect(callWithKey(f.forwarder.ServeHTTP, "k2").Code).To(gomega.Equal(401))
	g.Expect(keys.refreshes).To(gomega.Equal(1))

	keys.status = forward.KeyStatus{}
	keys.onRefresh = func() {
		revoked := customerConfig(f, 3, false)
		revoked.Customers[0].Keys = nil
		f.forwarder.SetConfig(revoked)
	}
	g.Expect(callWithKey(f.forwarder.ServeHTTP, "k1").Code).To(gomega.Equal(401))
	g.Expect(f.sent).To(gomega.BeEmpty())

	keys.status = forward.KeyStatus{}
	keys.onRefresh = func() {
		open := customerConfig(f, 4, false)
		open.Customers = nil
		f.forwarder.SetConfig(open)
	}
	g.Expect(callWithKey(f.forwarder.ServeHTTP, "k1").Code).To(gomega.Equal(200))
}

// Guards against a configuration with the key that takes effect again after the one that revoked it.
func TestRevokedKeyStaysRevoked(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	f.withCustomers(nil, nil, nil, false)
	older := f.forwarder.Config()
	g.Expect(callWithKey(f.forwarder.ServeHTTP, "k1").Code).To(gomega.Equal(200))
	revoked := customerConfig(f, 3, false)
	revoked.Customers[0].Keys = nil
	g.Expect(f.forwarder.SetConfig(revoked)).To(gomega.BeTrue())
	g.Expect(f.forwarder.SetConfig(older)).To(gomega.BeFalse())
	g.Expect(callWithKey(f.forwarder.ServeHTTP, "k1").Code).To(gomega.Equal(401))
}

// Guards against a key that another node or a server sees, a customer that gets lost on the way, and a second check.
func TestHandedOverRequestCarriesTheCustomerAndNoKey(t *testing.T) {
	g := gomega.NewWithT(t)
	other := newFixture(serving.NonIdempotent, "a")
	other.withCustomers(&fakeKeys{}, nil, nil, false)
	var atServer http.Header
	other.received = func(r *http.Request) { atServer = r.Header }
	address := other.servePeers(t)
	f, peers := newFixture(serving.NonIdempotent, "a"), &fakePeers{nodes: []string{address}}
	var between http.Header
	f.withCustomers(&fakeKeys{status: proven}, peers, roundTrip(func(r *http.Request) (*http.Response, error) {
		between = r.Header.Clone()
		return http.DefaultTransport.RoundTrip(r)
	}), false)
	f.answer = func(string) (*http.Response, error) { return nil, errUnreachable }
	f.view.Unreachable(time.Now(), "a")
	g.Expect(callWithKey(f.forwarder.ServeHTTP, "k1").Code).To(gomega.Equal(200))
	g.Expect(between.Get("Waxwing-Customer")).To(gomega.Equal("acme"))
	g.Expect(between).NotTo(gomega.HaveKey("Key"))
	g.Expect(atServer.Get("Customer")).To(gomega.Equal("acme"))
	g.Expect(atServer).NotTo(gomega.HaveKey("Key"))
	g.Expect(atServer).NotTo(gomega.HaveKey("Waxwing-Customer"))
}

// Guards against a customer that a node takes from another one although its own configuration doesn't have it, and against
// one that a caller names.
func TestUnknownCustomersOfOtherNodesAreNotTaken(t *testing.T) {
	for _, c := range []struct {
		customer            string
		anonymous, notTaken bool
	}{
		{"acme", false, false}, {"else", false, true}, {"", false, true}, {"else", true, true}, {"", true, false},
	} {
		g := gomega.NewWithT(t)
		f := newFixture(serving.NonIdempotent, "a")
		f.withCustomers(&fakeKeys{}, nil, nil, c.anonymous)
		recorder := callWithKey(func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set("Waxwing-Caller", "192.0.2.1")
			r.Header.Set("Waxwing-Customer", c.customer)
			f.forwarder.ServePeer(w, r)
		}, "")
		g.Expect(recorder.Header().Get("Waxwing-Not-Taken") != "").To(gomega.Equal(c.notTaken), "%+v", c)
		g.Expect(len(f.sent) == 0).To(gomega.Equal(c.notTaken), "%+v", c)
	}
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	f.withCustomers(&fakeKeys{status: proven}, nil, nil, false)
	recorder := callWithKey(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Waxwing-Customer", "acme")
		f.forwarder.ServeHTTP(w, r)
	}, "")
	g.Expect(recorder.Code).To(gomega.Equal(401))
}

// priorityLimits is a fake that records the ranks of sends and of prompts.
type priorityLimits struct {
	limits
	ranks []int
}

func (l *priorityLimits) Acquire(
	_ context.Context, _ serverview.Candidate, rank int, _ time.Duration,
) (forward.Reservation, time.Duration, bool) {
	l.ranks = append(l.ranks, rank)
	return forward.Reservation{}, 0, true
}

// Guards against the route's rank where the customer has one of its own.
func TestRankOfTheCustomerReplacesTheOneOfTheRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	f, rank := newFixture(serving.NonIdempotent, "a"), 5
	ranks := &priorityLimits{}
	config := customerConfig(f, 2, true)
	config.Routes[0].Priority = 2
	config.Customers[0].Priority = &rank
	f.forwarder = forward.New(forward.Options{
		Wire: wire{}, View: f.view, Usage: usage.New("n"), Transport: f, EventGaps: eventgap.New(), Limits: ranks,
		Crashes: noCrashes{}, Events: event.Discard(), Nodes: func() int { return 1 },
		RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	})
	g.Expect(callWithKey(f.forwarder.ServeHTTP, "k1").Code).To(gomega.Equal(503), "without a configuration")
	f.forwarder.SetConfig(config)
	f.nameLimit("a")
	g.Expect(callWithKey(f.forwarder.ServeHTTP, "k1").Code).To(gomega.Equal(200))
	g.Expect(callWithKey(f.forwarder.ServeHTTP, "").Code).To(gomega.Equal(200))
	g.Expect(ranks.ranks).To(gomega.Equal([]int{5, 2}))
}

// Guards against a key that is withheld from servers where no customers are declared, as those check it themselves.
func TestCredentialsArePassedOnWithoutCustomers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	var header http.Header
	f.received = func(r *http.Request) { header = r.Header }
	g.Expect(callWithKey(f.forwarder.ServeHTTP, "k1").Code).To(gomega.Equal(200))
	g.Expect(header.Get("Key")).To(gomega.Equal("k1"))
	g.Expect(header).NotTo(gomega.HaveKey("Customer"))
}
