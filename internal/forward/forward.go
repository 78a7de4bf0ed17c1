// Package forward takes a caller's request to a backend server and the answer back: it finds the route, waits for the
// adapter to be loaded, sends the request, and repeats it only where that can't run it twice.
package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/routetable"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

const (
	// maximumSends bounds the servers that are asked for one request, those that refused it included.
	maximumSends = 3
	// patienceShare is the part of a caller's remaining time for which a request may wait for a load. Callers that
	// come back need time for that.
	patienceShare = 0.3
	maximumWait   = 2500 * time.Millisecond
	// recheckPeriod is the time between two looks at the servers while a request waits without news.
	recheckPeriod = 100 * time.Millisecond
	// connectionShare is the part of a server's connections that all nodes together use; the rest is for orders,
	// reports and nodes that join.
	connectionShare = 0.85
	// minimumConnections is what a node uses however many nodes there are.
	minimumConnections = 3
	// defaultBodyBytes bounds a body while the configuration names no limit.
	defaultBodyBytes = 4 << 20
	// outdatedAllowed is how long after a new version was declared an older one may still begin to serve. It's
	// well below the platform's bound of 5 s.
	outdatedAllowed = 600 * time.Millisecond
)

// Options are what a forwarder works with.
type Options struct {
	Wire      serving.Wire
	View      *serverview.View
	Usage     *usage.Tracker
	Transport http.RoundTripper
	Gate      Gate
	Zone      string
	Events    *event.Log
	// RetryBudget is the site's bound on repeats; its Nodes are replaced by what Nodes returns.
	RetryBudget retrybudget.Options
	Nodes       func() int
}

// Gate spreads the prompts that a model server reads over time.
type Gate interface {
	// Await returns when the server may be sent a prompt of that size and rank, or false when that took longer than
	// patience or ctx ended. The caller calls read once the prompt was read or given up.
	Await(ctx context.Context, server string, tokens, priority int, patience time.Duration) (read func(), ok bool)
}

// inForce is the configuration that requests see.
type inForce struct {
	config *serving.Configuration
	table  *routetable.Table
}

// Forwarder serves callers. It implements http.Handler.
type Forwarder struct {
	options  Options
	current  atomic.Pointer[inForce]
	draining atomic.Bool

	mu      sync.Mutex
	budgets map[string]*retrybudget.Budget
	metrics metricSet
}

// New returns a forwarder without a configuration.
func New(options Options) *Forwarder {
	return &Forwarder{options: options, budgets: make(map[string]*retrybudget.Budget), metrics: newMetricSet()}
}

// SetConfig puts a configuration in force unless a newer one is. It returns true when it did.
func (f *Forwarder) SetConfig(config *serving.Configuration) bool {
	for {
		last := f.current.Load()
		if last != nil && last.config.Version >= config.Version {
			return false
		}
		if f.current.CompareAndSwap(last, &inForce{config: config, table: routetable.New(config)}) {
			return true
		}
	}
}

// Config returns the configuration in force, or nil.
func (f *Forwarder) Config() *serving.Configuration {
	if current := f.current.Load(); current != nil {
		return current.config
	}
	return nil
}

// Drain makes each answer ask its caller for a new connection.
func (f *Forwarder) Drain() { f.draining.Store(true) }

// job is one request in progress.
type job struct {
	f        *Forwarder
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	request  serving.CallerRequest
	route    *serving.Route
	service  serving.Service
	body     []byte
	arrived  time.Time
	deadline time.Time
	tried    map[string]bool
	sends    int
	// attempts counts the sends after which the request may have run.
	attempts int
	server   string
	reason   string
	// promptRead ends the request's place at the gate; nil for plain services.
	promptRead func()
	// sentAt is when the latest send began, gatesLeft how many gates the request has waited at in vain.
	sentAt    time.Time
	gatesLeft int
	// recent is how many requests for the adapter this node had lately.
	recent float64
	// inputs are what decided the latest choice, for the log.
	inputs event.Fields
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{f: f, w: w, r: r, arrived: time.Now(), tried: make(map[string]bool)}
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	var err error
	j.request, err = f.options.Wire.DecodeRequest(r)
	current := f.current.Load()
	if current == nil {
		j.refuse(http.StatusServiceUnavailable, ReasonNoConfig, startPause)
		return
	}
	if err != nil {
		j.refuse(http.StatusBadRequest, err.Error(), 0)
		return
	}
	if !j.findRoute(current) || !j.readBody(current) {
		return
	}
	ctx, cancel := j.bounded()
	defer cancel()
	j.ctx = ctx
	f.budget(j.service.Name, func(b *retrybudget.Budget) { b.Request(j.arrived) })
	j.serve()
}

func (j *job) findRoute(current *inForce) bool {
	route, found := current.table.Match(j.r.Host, j.r.URL.Path)
	if !found {
		j.refuse(http.StatusNotFound, ReasonNoRoute, 0)
		return false
	}
	j.route = route
	name := routetable.PickService(route, newRandom())
	service, known := current.config.Services[name]
	if !known {
		j.refuse(http.StatusServiceUnavailable, "the route names no service", busyPause)
		return false
	}
	j.service = service
	return true
}

// newRandom returns a source of its own, as sources aren't safe for concurrent use.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// readBody reads the whole body, so that it can be sent again to another server.
func (j *job) readBody(current *inForce) bool {
	limit := current.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	if err == nil {
		j.body = body
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		j.refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge, 0)
		return false
	}
	// Half a request arrived: there is nothing to answer.
	j.log(event.RequestRefused, "the caller broke off its request", nil)
	panic(http.ErrAbortHandler)
}

// bounded returns the context of the request, which ends at the caller's deadline or the route's timeout.
func (j *job) bounded() (context.Context, context.CancelFunc) {
	bound := j.route.Timeout
	if j.request.Patience > 0 && (bound <= 0 || j.request.Patience < bound) {
		bound = j.request.Patience
	}
	if bound <= 0 {
		return context.WithCancel(j.r.Context())
	}
	j.deadline = j.arrived.Add(bound)
	return context.WithDeadline(j.r.Context(), j.deadline)
}

// remaining returns the time left, or 0 without a bound.
func (j *job) remaining() time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return max(time.Until(j.deadline), time.Millisecond)
}

func (f *Forwarder) budget(service string, use func(*retrybudget.Budget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.budgets[service]
	if known == nil {
		known = retrybudget.New(f.options.RetryBudget)
		f.budgets[service] = known
	}
	known.SetNodes(f.options.Nodes())
	use(known)
}

func (j *job) mayRepeat() bool {
	allowed := false
	j.f.budget(j.service.Name, func(b *retrybudget.Budget) { allowed = b.TryRepeat(time.Now()) })
	return allowed
}

// serve tries servers until the request has its final answer.
func (j *job) serve() {
	for {
		candidate, version, ok := j.choose()
		if !ok {
			return
		}
		if j.attempt(candidate, version) {
			return
		}
	}
}

// choose returns the server for the next send, after waiting for a load if need be. It answers the caller and returns
// false when there is none.
func (j *job) choose() (chosen serverview.Candidate, version int, ok bool) {
	if j.service.Engine == nil {
		return j.choosePlain()
	}
	return j.chooseModel()
}

func (j *job) choosePlain() (serverview.Candidate, int, bool) {
	candidates := j.f.options.View.Candidates(time.Now(), j.service.Name, serving.Adapter{})
	candidate, found := modelpick.Plain(candidates, j.query(0), newRandom())
	if !found {
		j.giveUp(modelpick.ReasonNoServer)
	}
	return candidate, 0, found
}

func (j *job) query(minVersion int) modelpick.Query {
	return modelpick.Query{
		Adapter: j.request.Adapter, MinVersion: minVersion, Zone: j.f.options.Zone, Tried: j.tried,
		MaxInFlight: j.maxInFlight(),
	}
}

// maxInFlight returns this node's share of the connections that one server of the service accepts.
func (j *job) maxInFlight() int {
	if j.service.MaxConnections <= 0 {
		return 0
	}
	share := connectionShare * float64(j.service.MaxConnections) / float64(max(j.f.options.Nodes(), 1))
	return max(int(share), minimumConnections)
}

// chooseModel waits until a server with room holds the adapter, and makes one load it meanwhile.
func (j *job) chooseModel() (serverview.Candidate, int, bool) {
	giveUpAt := j.arrived.Add(j.patience())
	if j.sends == 0 {
		j.recent = j.f.options.Usage.Arrived(j.arrived, j.request.Adapter)
	}
	var want wanted
	defer want.end()
	for {
		changed := j.f.options.View.Changed()
		now := time.Now()
		declared, since := j.f.options.View.Declared(j.request.Adapter)
		minVersion := declared
		if now.Sub(since) < outdatedAllowed {
			minVersion = 0
		}
		candidates := j.f.options.View.Candidates(now, j.service.Name, j.request.Adapter)
		query := j.query(minVersion)
		chosen, found, reason := modelpick.Resident(candidates, query, newRandom())
		if found {
			j.wantCopy(now, candidates, query, chosen)
			return chosen, j.expected(chosen, declared, minVersion), true
		}
		j.reason = reason
		if home, possible := modelpick.Home(candidates, query); possible {
			want.at(j, home.ID)
		}
		if !now.Before(giveUpAt) || reason == modelpick.ReasonNoServer {
			j.inputs = obstacleFields(candidates)
			j.giveUp(reason)
			return chosen, 0, false
		}
		if !j.wait(changed, giveUpAt.Sub(now)) {
			return chosen, 0, false
		}
	}
}

func obstacleFields(candidates []serverview.Candidate) event.Fields {
	o := modelpick.CountObstacles(candidates)
	return event.Fields{
		"servers": o.Servers, "leaving": o.Leaving, "leftAlone": o.LeftAlone, "withoutHolder": o.WithoutHolder, "full": o.Full,
	}
}

// expected returns the version that the server must have, once older ones may no longer serve.
func (j *job) expected(chosen serverview.Candidate, declared, minVersion int) int {
	if minVersion == 0 || declared == 0 {
		return 0
	}
	return chosen.Version
}

// patience returns how long the request may wait for a load.
func (j *job) patience() time.Duration {
	remaining := j.deadline.Sub(j.arrived)
	if j.deadline.IsZero() {
		return maximumWait
	}
	return min(maximumWait, time.Duration(patienceShare*float64(remaining)))
}

func (j *job) wantCopy(now time.Time, candidates []serverview.Candidate, query modelpick.Query, chosen serverview.Candidate) {
	if home, worth := modelpick.Copy(candidates, query, chosen, j.recent); worth {
		j.f.options.Usage.WantCopy(now, home.ID, j.request.Adapter)
	}
}

// wait returns false when the caller is gone or the time is over; the caller then has its answer.
func (j *job) wait(changed <-chan struct{}, atMost time.Duration) bool {
	timer := time.NewTimer(min(recheckPeriod, atMost))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-j.ctx.Done():
		j.giveUp(ReasonWaitedTooLong)
		return false
	}
	return true
}

// wanted is the demand that a waiting request makes at one server.
type wanted struct {
	server string
	stop   func()
}

func (w *wanted) at(j *job, server string) {
	if w.server == server {
		return
	}
	w.end()
	w.server = server
	w.stop = j.f.options.Usage.Want(server, j.request.Adapter, j.route.Priority)
	j.f.options.Events.Emit(event.AdapterWanted, event.Fields{
		"request": j.request.ID, "adapter": j.request.Adapter.String(), "server": server, "reason": j.reason,
	})
}

func (w *wanted) end() {
	if w.stop != nil {
		w.stop()
		w.stop = nil
	}
}
