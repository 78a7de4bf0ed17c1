// Package engine is a stand-in for a model engine with continuous batching and a few adapter slots. It implements the
// HTTP interface of package vllm and generates the texts of package tokens.
package engine

import (
	"context"
	"sync"
	"time"

	api "waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

const (
	defaultRole = "both"
	// snapshotsPerLag is the number of state snapshots per report lag.
	snapshotsPerLag = 4
	// minimumSampleInterval bounds the cost of snapshots when the lag is short.
	minimumSampleInterval = 5 * time.Millisecond
)

// Weights loads adapter weights.
type Weights interface {
	// Load returns when the weights have been read or the load has failed.
	Load(ctx context.Context) error
}

// Connections are the open connections of an engine's callers.
type Connections interface {
	// Break closes them.
	Break()
}

// Options configures an Engine.
type Options struct {
	// Name is also the fault target.
	Name      string
	BaseModel string
	// Slots is the number of adapters that the engine can hold.
	Slots int
	// Concurrency is the maximum number of running requests.
	Concurrency int
	// ChecksFence makes the engine refuse orders with a stale fencing number.
	ChecksFence bool
	// Step is the duration of one step, which generates one token for each running request.
	Step time.Duration
	// ReportLag is the minimum age of the state in a report.
	ReportLag time.Duration
	// RequestRetention is how long ended requests are retained, so that they can be resumed.
	RequestRetention time.Duration
}

// Counters counts the events of an engine since the process started, over all its incarnations.
type Counters struct {
	// EvictedInUse counts unload orders for an adapter in use by requests, and Broken the requests that these ended.
	EvictedInUse int `json:"evictedInUse"`
	Broken       int `json:"broken"`
	Loads        int `json:"loads"`
	LoadsFailed  int `json:"loadsFailed"`
	Unloads      int `json:"unloads"`
	// Fenced counts the orders refused because of a stale fencing number.
	Fenced int `json:"fenced"`
	// StaleExecuted counts the orders with a stale number that an engine without the check executed.
	StaleExecuted int `json:"staleObeyed"`
	LostAnswers   int `json:"lostAnswers"`
	Restarts      int `json:"restarts"`
	// NotLoaded counts requests refused because the adapter is not loaded.
	NotLoaded  int `json:"notLoaded"`
	Duplicates int `json:"duplicates"`
	Resumed    int `json:"resumed"`
	Cancelled  int `json:"cancelled"`
	// Steps counts steps with at least one running request; Tokens / Steps is the mean batch.
	Steps  int `json:"steps"`
	Tokens int `json:"tokens"`
	// Requests counts accepted requests by adapter@version.
	Requests map[string]int `json:"requests"`
}

// Engine simulates one engine. Its faults are fault.Restart, fault.Draining, fault.LoadFailure and fault.LostAnswer,
// and those of its listener.
type Engine struct {
	options     Options
	faults      *fault.Registry
	weights     Weights
	connections Connections
	events      *event.Log
	workSignal  chan struct{}

	mu          sync.Mutex
	core        *core
	history     history
	incarnation string
	started     time.Time
	// lifetime ends with the incarnation.
	lifetime    context.Context
	endLifetime context.CancelFunc
	counts      Counters
}

// New returns an engine without adapters.
func New(options Options, weights Weights, connections Connections, faults *fault.Registry, events *event.Log) *Engine {
	e := &Engine{
		options: options, faults: faults, weights: weights, connections: connections,
		events: events.With(event.Fields{"engine": options.Name}), workSignal: make(chan struct{}, 1),
		counts: Counters{Requests: make(map[string]int)},
	}
	faults.Declare(options.Name, fault.Draining, fault.LoadFailure, fault.LostAnswer)
	faults.DeclareAction(options.Name, fault.Restart, func(fault.Order) { e.Restart() })
	e.boot()
	return e
}

// Run generates tokens and records snapshots until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { e.stepLoop(ctx) })
	loops.Go(func() { e.sampleLoop(ctx) })
	loops.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLifetime()
	return nil
}

// Restart drops all adapters and requests, breaks the connections and starts a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	e.counts.Restarts++
	e.core.end(e.clock(), endRestart, func(*request) bool { return true })
	e.endLifetime()
	e.boot()
	e.events.Emit(event.EngineRestarted, event.Fields{"incarnation": e.incarnation})
	e.mu.Unlock()
	e.connections.Break()
}

// Counters returns a copy of the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := e.counts
	copied.Requests = make(map[string]int, len(e.counts.Requests))
	for adapter, count := range e.counts.Requests {
		copied.Requests[adapter] = count
	}
	return copied
}

// boot starts a new incarnation. The caller holds mu, except in New.
func (e *Engine) boot() {
	e.core = newCore(e.options.Concurrency, e.options.RequestRetention)
	e.incarnation = ident.New()
	e.started = time.Now()
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	e.history = history{}
	e.history.add(e.core.report(0))
}

// clock returns the engine's own clock.
func (e *Engine) clock() time.Duration { return time.Since(e.started) }

// stepLoop runs steps while there are requests, and waits otherwise.
func (e *Engine) stepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-e.workSignal:
			e.stepWhileBusy(ctx)
		case <-ctx.Done():
		}
	}
}

func (e *Engine) stepWhileBusy(ctx context.Context) {
	ticker := time.NewTicker(e.options.Step)
	defer ticker.Stop()
	for e.busy() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		e.faults.AwaitClear(ctx.Done(), e.options.Name, fault.Freeze)
		e.step()
	}
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	generated := e.core.step(e.clock())
	if generated > 0 {
		e.counts.Steps++
		e.counts.Tokens += generated
	}
}

func (e *Engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.busy()
}

// signalWork wakes stepLoop.
func (e *Engine) signalWork() {
	select {
	case e.workSignal <- struct{}{}:
	default:
	}
}

// sampleLoop records the snapshots for reports.
func (e *Engine) sampleLoop(ctx context.Context) {
	ticker := time.NewTicker(max(e.options.ReportLag/snapshotsPerLag, minimumSampleInterval))
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			e.faults.AwaitClear(ctx.Done(), e.options.Name, fault.Freeze)
			e.sample()
		case <-ctx.Done():
		}
	}
}

func (e *Engine) sample() {
	draining := e.faults.Active(e.options.Name, fault.Draining)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	e.core.dropExpired(now)
	current := e.core.report(now)
	current.draining = draining
	e.history.add(current)
	e.history.at(now - e.options.ReportLag)
}

// checkFence applies an order's fencing number and reports whether the order may run. The caller holds mu.
func (e *Engine) checkFence(fence api.FencingNumber) bool {
	if fence >= e.core.fence {
		e.core.fence = fence
		return true
	}
	if e.options.ChecksFence {
		e.counts.Fenced++
		return false
	}
	e.counts.StaleExecuted++
	return true
}
