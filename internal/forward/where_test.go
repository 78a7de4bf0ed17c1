package forward_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
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

// modelWire is wire with the adapter in a header.
type modelWire struct{ wire }

func (modelWire) DecodeRequest(r *http.Request) (serving.CallerRequest, error) {
	request, err := wire{}.DecodeRequest(r)
	request.Adapter = serving.ParseAdapter(r.Header.Get("Adapter"))
	return request, err
}

// shownQuotas is a fake that shows a state.
type shownQuotas struct {
	fakeQuotas
	state forward.QuotaState
}

func (q *shownQuotas) View(*serving.Customer, float64, int) forward.QuotaState { return q.state }

// shownSlots is a fake that shows a state.
type shownSlots struct {
	dispatcher
	state forward.WhereSlots
}

func (s *shownSlots) View(string, []serverview.Candidate) forward.WhereSlots { return s.state }

// whereFixture is a fixture with a model service and a plain one.
type whereFixture struct {
	*fixture
	usage   *usage.Tracker
	options forward.Options
	config  serving.Configuration
}

const modelService = "models"

func newWhereFixture(nodes int) *whereFixture {
	f := &whereFixture{fixture: newFixture(serving.NonIdempotent), usage: usage.New("n")}
	f.options = forward.Options{
		Wire: modelWire{}, View: f.view, Usage: f.usage, Transport: f.fixture, EventGaps: eventgap.New(), Limits: f.limits,
		Crashes: noCrashes{}, Gate: openGate{}, Zone: "here", Events: event.Discard(), Nodes: func() int { return nodes },
		RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	}
	f.config = serving.Configuration{
		Version: 7,
		Services: map[string]serving.Service{
			service:      {Name: service},
			modelService: {Name: modelService, Engine: &serving.Engine{Models: []serving.BaseModel{{Name: "base"}}}},
		},
		Routes: []serving.Route{
			{Name: "chat", Host: "example.com", PathPrefix: "/chat/", Kind: serving.NonIdempotent, MaxAttempts: 1, Priority: 2,
				Services: []serving.WeightedService{{Service: modelService, Weight: 1}}},
			{Name: "files", Host: "example.com", PathPrefix: "/files/", Kind: serving.NonIdempotent, MaxAttempts: 1,
				Services: []serving.WeightedService{{Service: service, Weight: 1}}},
		},
	}
	f.start()
	return f
}

// start replaces the forwarder by one with the fixture's options and configuration.
func (f *whereFixture) start() {
	config := f.config
	f.forwarder = forward.New(f.options)
	f.forwarder.SetConfig(&config)
}

func (f *whereFixture) putModel(id string, change func(p *serverview.Published)) {
	f.view.PutEntry(time.Now(), serving.Server{ID: id, Service: modelService, Address: id, Zone: "here", Slots: 16, SoftwareVersion: "v1"})
	published := serverview.Published{
		ServerID: id, Holder: "h", Sequence: 1, Ready: true, Slots: serving.SlotQueue{Free: 1},
		Adapters: map[serving.Adapter]int{{Model: "base", Name: "held"}: 1},
	}
	if change != nil {
		change(&published)
	}
	f.view.Publish(time.Now(), published)
}

func (f *whereFixture) putPlain(ids ...string) {
	for _, id := range ids {
		f.view.PutEntry(time.Now(), serving.Server{ID: id, Service: service, Address: id, Zone: "here", Slots: 4, SoftwareVersion: "v1"})
	}
}

func (f *whereFixture) where(t *testing.T, d forward.Description) forward.Where {
	t.Helper()
	where, err := f.forwarder.Where(d)
	if err != nil {
		t.Fatal(err)
	}
	return where
}

// send sends the described request.
func (f *whereFixture) send(path, adapter string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "http://example.com"+path, strings.NewReader("body"))
	request.Header.Set("Adapter", adapter)
	f.forwarder.ServeHTTP(recorder, request)
	return recorder
}

// Guards against an explanation that names another server, or another refusal, than a request at the same moment gets.
func TestExplainedChoiceIsThatOfTheRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	compared := map[string]int{}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newWhereFixture([]int{3, 81}[random.IntN(2)])
		begun := time.Now()
		description, path := forward.Description{Route: "chat", Adapter: "base/held"}, "/chat/x"
		if random.IntN(3) == 0 {
			description, path = forward.Description{Route: "files"}, "/files/x"
		}
		for i := range random.IntN(5) {
			id := fmt.Sprint("s", i)
			if description.Adapter == "" {
				f.putPlain(id)
			} else {
				f.putModel(id, func(p *serverview.Published) {
					p.Running = random.IntN(20)
					if random.IntN(3) == 0 {
						p.Adapters = nil
					}
					if random.IntN(3) == 0 {
						// No load is possible in time, so that a request is refused at once.
						p.Backlog = time.Hour
					}
				})
			}
			switch random.IntN(6) {
			case 0:
				f.view.Failed(begun, id)
				f.view.Failed(begun, id)
			case 1:
				f.nameLimit(id)
				f.view.NoRoom(id, begun.Add(time.Hour))
			}
		}
		description.Unseen = true
		where := f.where(t, description)
		d := where.Destinations[0]
		if d.Outcome == forward.OutcomeLoad {
			// The request would wait.
			continue
		}
		answer := f.send(path, description.Adapter)
		if time.Since(begun) > 600*time.Millisecond {
			// The machine was so slow that publications count as old now.
			continue
		}
		compared[d.Outcome]++
		name := fmt.Sprintf("seed %d: %+v", seed, d)
		if d.Outcome == forward.OutcomeRefuse {
			g.Expect(f.sent).To(gomega.BeEmpty(), name)
			g.Expect(answer.Code).To(gomega.Equal(d.Refusal.Status), name)
			retryAfter, err := time.ParseDuration(answer.Header().Get("Retry-After"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			least := d.Refusal.RetryAfterMinMs
			if d.Refusal.Reason == forward.ReasonLimited {
				// The limit leaves room at a certain time, which is nearer by now.
				least -= time.Since(begun).Milliseconds()
			}
			g.Expect(retryAfter.Milliseconds()).To(gomega.And(
				gomega.BeNumerically(">=", least), gomega.BeNumerically("<=", d.Refusal.RetryAfterMaxMs)), name)
			continue
		}
		g.Expect(f.sent).To(gomega.HaveLen(1), name)
		if d.Server != "" {
			g.Expect(f.sent[0]).To(gomega.Equal(d.Server), name)
		}
		for _, c := range d.Candidates {
			if c.Server == f.sent[0] {
				g.Expect(c.Excluded).To(gomega.BeEmpty(), name)
				g.Expect(c.Probability).To(gomega.BeNumerically(">", 0), name)
			}
		}
	}
	g.Expect(compared[forward.OutcomeSend]).To(gomega.BeNumerically(">", 20))
	g.Expect(compared[forward.OutcomeRefuse]).To(gomega.BeNumerically(">", 20))
}

// Guards against a load target that isn't shown, and against a wait that is shown for a request which is refused.
func TestLoadTargetIsExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newWhereFixture(3)
	f.putModel("a", nil)
	f.putModel("b", nil)
	cold := forward.Description{Host: "example.com", Path: "/chat/x", Adapter: "base/cold", Unseen: true, Deadline: 4 * time.Second}
	where := f.where(t, cold)
	d := where.Destinations[0]
	g.Expect(where.Route).To(gomega.Equal("chat"))
	g.Expect(where.ConfigurationVersion).To(gomega.Equal(int64(7)))
	g.Expect([]int64{where.DeadlineMs, where.WaitMs, int64(where.Rank)}).To(gomega.Equal([]int64{4000, 1200, 2}))
	g.Expect(d.Outcome).To(gomega.Equal(forward.OutcomeLoad))
	g.Expect(d.Reason).To(gomega.Equal(forward.ReasonNotLoaded))
	g.Expect(d.Load.WaitMs).To(gomega.Equal(int64(270)))
	for _, c := range d.Candidates {
		g.Expect(c.Excluded).To(gomega.Equal("lacks the adapter"))
		if c.Server == d.Load.Server {
			g.Expect(c.LoadOption.WaitMs).To(gomega.Equal(int64(270)))
		}
	}
	cold.Deadline = 300 * time.Millisecond
	d = f.where(t, cold).Destinations[0]
	g.Expect(d.Outcome).To(gomega.Equal(forward.OutcomeRefuse))
	g.Expect(d.Refusal.Status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(d.Refusal.Reason).To(gomega.Equal(forward.ReasonOverloaded))
	g.Expect(d.Refusal.RetryAfterMaxMs).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 99)))
}

// Guards against a handover, an assignment by the dispatcher, a wait for room or a refusal that isn't shown.
func TestOutcomesAreExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	files := forward.Description{Route: "files", Deadline: 2 * time.Second}
	f := newWhereFixture(3)
	d := f.where(t, files).Destinations[0]
	g.Expect(d.Outcome).To(gomega.Equal(forward.OutcomeRefuse))
	g.Expect(d.Refusal.Reason).To(gomega.Equal(forward.ReasonNoServer))

	f.putPlain("a")
	f.nameLimit("a")
	f.view.NoRoom("a", time.Now().Add(300*time.Millisecond))
	d = f.where(t, files).Destinations[0]
	g.Expect(d.Outcome).To(gomega.Equal(forward.OutcomeRoom))
	g.Expect(d.Server).To(gomega.Equal("a"))
	g.Expect(d.Candidates[0].Excluded).To(gomega.Equal("limit"))
	f.view.NoRoom("a", time.Now().Add(time.Hour))
	d = f.where(t, files).Destinations[0]
	g.Expect(d.Refusal.Reason).To(gomega.Equal(forward.ReasonLimited))

	f = newWhereFixture(3)
	slots := &shownSlots{state: forward.WhereSlots{Active: true, Dispatcher: "10.0.0.9:7000"}}
	f.options.Slots = slots
	f.start()
	f.putPlain("a", "b")
	d = f.where(t, files).Destinations[0]
	g.Expect(d.Outcome).To(gomega.Equal(forward.OutcomeDispatch))
	g.Expect(d.Slots.Dispatcher).To(gomega.Equal("10.0.0.9:7000"))
	g.Expect(slots.requests).To(gomega.BeEmpty())

	f = newWhereFixture(3)
	f.options.Peers = &fakePeers{nodes: []string{"peer"}}
	f.start()
	f.putPlain("a")
	f.view.Unreachable(time.Now(), "a")
	d = f.where(t, files).Destinations[0]
	g.Expect(d.Outcome).To(gomega.Equal(forward.OutcomeHandOver))
	g.Expect(*d.HandOver).To(gomega.Equal(forward.WhereHandOver{Servers: []string{"a"}, Peer: "peer"}))
	f.putModel("m", nil)
	f.view.Unreachable(time.Now(), "m")
	d = f.where(t, forward.Description{Route: "chat", Adapter: "base/held"}).Destinations[0]
	g.Expect(d.Outcome).To(gomega.Equal(forward.OutcomeHandOver))
	g.Expect(d.HandOver.Servers).To(gomega.Equal([]string{"m"}))
}

// Guards against a service of the route that is left out, or shown with another share of the requests.
func TestAllServicesOfTheRouteAreExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newWhereFixture(3)
	f.config.Routes[1].Services = []serving.WeightedService{{Service: service, Weight: 3}, {Service: "absent", Weight: 1}, {Service: modelService}}
	f.start()
	f.putPlain("a")
	destinations := f.where(t, forward.Description{Route: "files"}).Destinations
	g.Expect(destinations).To(gomega.HaveLen(2))
	g.Expect(destinations[0].Probability).To(gomega.Equal(0.75))
	g.Expect(destinations[0].Server).To(gomega.Equal("a"))
	g.Expect(destinations[1].Probability).To(gomega.Equal(0.25))
	g.Expect(destinations[1].Refusal.Reason).To(gomega.Equal(forward.ReasonNoService))
	f.config.Routes[1].Services = nil
	f.start()
	g.Expect(f.where(t, forward.Description{Route: "files"}).Refusal.Reason).To(gomega.Equal(forward.ReasonNoService))
}

// Guards against refusals before the choice of a server that aren't shown: of the key, the quota, the route, and without a
// configuration. No key may be shown.
func TestRefusalsBeforeTheChoiceAreExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newWhereFixture(3)
	f.putModel("a", nil)
	digest, first := serving.DigestKey("secret"), 0
	f.config.Customers = []serving.Customer{{
		Name: "acme", Keys: []serving.KeyDigest{digest}, Priority: &first, Quota: serving.Quota{PerSecond: 50, Burst: 10, Unit: serving.QuotaTokens},
	}}
	quotas := &shownQuotas{state: forward.QuotaState{Decision: forward.QuotaRefuses, RetryAfterMs: 400}}
	keys := &fakeKeys{status: forward.KeyStatus{Accept: true, Current: true, Age: 300 * time.Millisecond}}
	f.options.Quotas, f.options.Keys = quotas, keys
	f.start()
	request := forward.Description{Route: "chat", Adapter: "base/held", PromptTokens: 20, OutputTokens: 5, TokensNamed: true}
	where := f.where(t, request)
	g.Expect(where.Refusal.Status).To(gomega.Equal(http.StatusUnauthorized))
	g.Expect(where.Refusal.RetryAfterMaxMs).To(gomega.BeZero())
	request.Customer = "acme"
	where = f.where(t, request)
	g.Expect(*where.Refusal).To(gomega.Equal(forward.WhereRefusal{
		Status: http.StatusTooManyRequests, Reason: forward.ReasonQuota, RetryAfterMinMs: 240, RetryAfterMaxMs: 560,
	}))
	g.Expect(where.Quota.Cost).To(gomega.Equal(25.0))
	g.Expect(where.Rank).To(gomega.BeZero())
	g.Expect(*where.Keys.ProofAgeMs).To(gomega.Equal(int64(300)))
	text, err := json.Marshal(where)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	encoded, _ := digest.MarshalText()
	g.Expect(string(text)).NotTo(gomega.Or(gomega.ContainSubstring(string(encoded)), gomega.ContainSubstring("secret")))
	quotas.state = forward.QuotaState{Decision: forward.QuotaAsks}
	g.Expect(f.where(t, request).Refusal).To(gomega.BeNil())
	g.Expect(quotas.charged).To(gomega.BeZero())
	keys.status = forward.KeyStatus{Age: 6 * time.Second}
	g.Expect(f.where(t, request).Refusal.Reason).To(gomega.Equal(forward.ReasonKeyUnproven))
	g.Expect(f.where(t, forward.Description{Host: "example.com", Path: "/none"}).Refusal.Status).To(gomega.Equal(http.StatusNotFound))
	f.forwarder = forward.New(f.options)
	g.Expect(f.where(t, request).Refusal.Reason).To(gomega.Equal(forward.ReasonNoConfig))
}

// Guards against a name that is misspelt and silently explained as another request.
func TestUnknownNamesAreErrorsWithSimilarNames(t *testing.T) {
	f := newWhereFixture(3)
	f.putModel("a", nil)
	f.config.Customers = []serving.Customer{{Name: "acme"}}
	f.start()
	for similar, d := range map[string]forward.Description{
		"chat":        {Route: "chatt"},
		"example.com": {Host: "exmaple.com", Path: "/chat/"},
		"acme":        {Route: "chat", Customer: "acne"},
		"base":        {Route: "chat", Adapter: "bas/held"},
		"base/held":   {Route: "chat", Adapter: "base/hold"},
	} {
		g := gomega.NewWithT(t)
		_, err := f.forwarder.Where(d)
		var unknown *forward.UnknownNameError
		g.Expect(errors.As(err, &unknown)).To(gomega.BeTrue(), similar)
		g.Expect(unknown.Similar).To(gomega.Equal([]string{similar}))
		g.Expect(err.Error()).To(gomega.ContainSubstring("similar: " + similar))
	}
}

// Guards against an explanation that counts as a request: sends, use of a server or an adapter, demand for a load, quota,
// slots and limits.
func TestExplanationsChangeNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newWhereFixture(81)
	quotas := &shownQuotas{fakeQuotas: fakeQuotas{room: 10}}
	slots := &shownSlots{dispatcher: dispatcher{servers: []string{"p"}}}
	f.options.Quotas, f.options.Slots = quotas, slots
	f.limits.acquire = func(string, time.Duration) (forward.Reservation, time.Duration, bool) {
		t.Error("a limit was charged")
		return forward.Reservation{}, 0, true
	}
	f.config.Customers = []serving.Customer{{Name: "acme", Quota: serving.Quota{PerSecond: 50, Burst: 10}}}
	f.start()
	f.putPlain("p")
	f.putModel("a", func(p *serverview.Published) { p.Running = 15 })
	f.putModel("b", func(p *serverview.Published) { p.Adapters = nil })
	now := time.Now()
	held := serving.Adapter{Model: "base", Name: "held"}
	before := [][]serverview.Candidate{f.view.Candidates(now, modelService, held), f.view.Candidates(now, service, serving.Adapter{})}
	changed := f.view.Changed()
	for range 50 {
		f.where(t, forward.Description{Route: "chat", Adapter: "base/held", Customer: "acme"})
		f.where(t, forward.Description{Route: "chat", Adapter: "base/cold", Customer: "acme", Unseen: true})
		f.where(t, forward.Description{Route: "files", Customer: "acme"})
	}
	after := [][]serverview.Candidate{f.view.Candidates(now, modelService, held), f.view.Candidates(now, service, serving.Adapter{})}
	g.Expect(after).To(gomega.Equal(before))
	g.Expect(changed).NotTo(gomega.BeClosed())
	g.Expect(f.usage.Waiting()).To(gomega.BeFalse())
	g.Expect(f.usage.Collect(now)).To(gomega.BeEmpty())
	g.Expect(f.sent).To(gomega.BeEmpty())
	g.Expect(quotas.charged).To(gomega.BeZero())
	g.Expect(slots.requests).To(gomega.BeEmpty())
}
