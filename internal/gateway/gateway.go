package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/decision"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/intake"
	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/permits"
	"waxwingcleat.example/waxwingcleat/internal/relay"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// Components are the components that a Gateway uses.
type Components struct {
	Config  resource.Source
	Permits Permits
	Claims  ledger.Claims
	// HashKey and ParseKeyTime are the ledger's functions of the same names.
	HashKey      func(key, target string) ledger.KeyHash
	ParseKeyTime func(key, header string) (time.Time, error)
	Recorder     *decision.Recorder
	Events       *event.Log
	Now          func() time.Time
	Random       *rand.Rand
}

// settleTimeout is how long a non-idempotent request whose connection broke still counts as running, which protects its
// load from eviction.
const settleTimeout = 10 * time.Second

// bodyCopies is the number of copies of a body: the one that was received, and the one that names the load to an engine.
const bodyCopies = 2

// Gateway serves the requests of callers.
type Gateway struct {
	settings   Settings
	components Components
	dispatcher *dispatcher
	endpoints  *endpoints
	relay      *relay.Client
	stopping   atomic.Bool
	// inProgress counts the requests that are queued or running.
	inProgress atomic.Int64
	// bodies reads the bodies of these requests.
	bodies *intake.Bodies
	// parsing holds one element for each body that is being parsed.
	parsing chan struct{}

	budgetMu sync.Mutex
	budget   *admission.RetryBudget

	models modelList
}

// New returns a gateway. Its handler serves requests while Dispatch runs.
func New(settings Settings, components Components) *Gateway {
	g := &Gateway{settings: settings, components: components, budget: admission.NewRetryBudget()}
	g.bodies = intake.New(intake.Limits{
		Bytes: int64(settings.MaximumBodiesBytes), Copies: bodyCopies, Stall: settings.BodyTimeout.Std(),
		Timeout: settings.BodyTimeout.Std(), DelimiterRate: settings.DelimiterRate, Events: components.Events,
	})
	g.parsing = make(chan struct{}, runtime.GOMAXPROCS(0))
	g.endpoints = newEndpoints(components.Config, settings.ServiceConcurrency)
	g.dispatcher = newDispatcher(g, components.Random)
	g.relay = relay.NewClient(relay.Options{
		ConnectTimeout:    settings.ConnectTimeout.Std(),
		StreamIdleTimeout: settings.StreamSilence.Std(),
		ResumeLimit:       settings.ResumeLimit,
		AnswerIdleTimeout: settings.AnswerSilence.Std(),
		AnswerTimeout:     settings.AnswerTimeout.Std(),
		AnswerLimit:       settings.MaximumAnswerBytes,
		SettleTimeout:     settleTimeout,
	})
	return g
}

// Dispatch assigns queued requests to servers until ctx ends.
func (g *Gateway) Dispatch(ctx context.Context) error { return g.dispatcher.run(ctx) }

// Report returns what the permits client reports to the schedulers.
func (g *Gateway) Report(now time.Time) permits.Report {
	report := permits.Report{Waiting: g.dispatcher.waiting(now)}
	if view := g.components.Config.View(); view != nil {
		report.AppliedConfig = uint64(view.Applied)
	}
	return report
}

// Ready returns nil if callers can be served, or an error with the reason why not.
func (g *Gateway) Ready() error {
	switch {
	case g.stopping.Load():
		return errors.New("the gateway is shutting down")
	case g.components.Config.View() == nil:
		return errors.New("the configuration is not known yet")
	case g.components.Permits.ServersWithPermits() == 0:
		return errors.New("no backend server has granted permits")
	default:
		return nil
	}
}

// BeginShutdown makes Ready fail. Requests are still served, but no longer held for batches.
func (g *Gateway) BeginShutdown() {
	g.stopping.Store(true)
	pushCtx, cancel := context.WithTimeout(context.Background(), endHoldsTimeout)
	defer cancel()
	// If the push times out, held requests are still released at the ends of their batch windows.
	_ = g.dispatcher.commands.Push(pushCtx, command{kind: commandEndHolds})
}

// endHoldsTimeout bounds the wait for a free entry in the dispatcher's ring when the gateway stops.
const endHoldsTimeout = time.Second

// RejectQueued answers all queued requests as not run and rejects later ones.
func (g *Gateway) RejectQueued() {
	_ = g.dispatcher.commands.Push(context.Background(), command{kind: commandStop})
}

// consumeRetry charges one retry to the retry budget and reports whether the budget allows it.
func (g *Gateway) consumeRetry() bool {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	return g.budget.AllowRetry()
}

func (g *Gateway) countRequest() {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	g.budget.CountRequest()
}

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", g.completions("/v1/completions", "prompt"))
	mux.HandleFunc("POST /v1/chat/completions", g.completions("/v1/chat/completions", "messages"))
	mux.HandleFunc("GET /v1/models", g.listModels)
	mux.HandleFunc("/services/{name}/{path...}", g.service)
	for _, path := range []string{"/v1/completions", "/v1/chat/completions", "/v1/models"} {
		mux.HandleFunc(path, g.methodNotAllowed)
	}
	mux.HandleFunc("/", g.notFound)
	return g.middleware(mux)
}
