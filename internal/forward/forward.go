// Package forward forwards a caller's request to a backend server and the answer back: it matches the route, waits
// until the adapter is loaded, sends the request, and retries it only where that can't run a non-idempotent request
// twice.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/customers"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/eventgap"
	"waxwingcleat.example/waxwingcleat/internal/intake"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/routetable"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/streamorigin"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

const (
	// maximumSends bounds the sends of one request, including those that a server refused.
	maximumSends = 3
	// loadWaitShare is the share of a request's time limit that it may wait for a load; the rest is for a retry by the
	// caller.
	loadWaitShare   = 0.3
	maximumLoadWait = 2500 * time.Millisecond
	// recheckPeriod is the interval at which a waiting request checks the servers again if no change is signalled.
	recheckPeriod = 100 * time.Millisecond
	// connectionShare is the share of a server's connections that the requests of all nodes may use; the rest is
	// reserved for orders, reports and nodes that join.
	connectionShare = 0.85
	// minimumConnections is the least number of connections a node may use, regardless of the number of nodes.
	minimumConnections = 3
	// defaultBodyBytes bounds a request body when the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// outdatedVersionGrace is how long after the declaration of a new version a request may still be sent to an older
	// one. It's well below the platform's bound of 5 s.
	outdatedVersionGrace = 600 * time.Millisecond
)

// Options holds the dependencies and settings of a forwarder.
type Options struct {
	Wire      serving.Wire
	View      *serverview.View
	Usage     *usage.Tracker
	Transport http.RoundTripper
	Gate      Gate
	EventGaps *eventgap.Observer
	// StepTimes gets the time between two events of a stream of a model server; it may be nil.
	StepTimes func(now time.Time, server crashguard.Incarnation, gap time.Duration)
	Origins   Origins
	Limits    Limits
	// Notices learns what servers say about themselves; it may be nil.
	Notices Notices
	// Tolerances learns of rejections by brittle servers; it may be nil.
	Tolerances Tolerances
	// Keys is nil when API keys are checked by the configuration in force alone.
	Keys Keys
	// Slots assigns the slots of plain services' servers; nil means that this node chooses by itself.
	Slots Slots
	// Quotas keeps customers within their quotas; nil admits all requests.
	Quotas Quotas
	// BootTime reads a clock that goes on while the VM is suspended; nil stands for one that doesn't.
	BootTime func() time.Duration
	Crashes  CrashGuard
	Peers    Peers
	// Bodies reads the bodies of requests; nil bounds only their sizes.
	Bodies *intake.Bodies
	// Held bounds the memory of answers that are held; nil bounds nothing.
	Held *bytelimit.Budget
	// PeerTransport sends requests to other nodes.
	PeerTransport http.RoundTripper
	Zone          string
	Events        *event.Log
	// RetryBudget is the site-wide bound on retries; its Nodes field is overridden by the result of Nodes.
	RetryBudget retrybudget.Options
	Nodes       func() int
	// ConfigAge returns how long ago the configuration in force was known to be the newest, for the log; it may be nil.
	ConfigAge func(now time.Time) time.Duration
}

// Gate paces the prompts sent to each model server.
type Gate interface {
	// Await blocks until a prompt may be sent to its server. It returns false if the timeout passed or ctx ended first, or if
	// the server may have no room for the request.
	Await(ctx context.Context, prompt Prompt, timeout time.Duration) (admission Admission, ok bool)
}

// Admission allows a prompt to be sent.
type Admission struct {
	// Release must be called with true once the server has read the prompt, and with false once the request has ended. Further
	// calls have no effect.
	Release func(read bool)
	// ByHolder is true when the holder of the server's lease has admitted the prompt, false when it didn't answer.
	ByHolder bool
}

// Prompt is the prompt of a request to a model server.
type Prompt struct {
	Server serverview.Candidate
	Tokens int
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// Lifetime is the time until the request's deadline, 0 without one.
	Lifetime time.Duration
}

// Origins knows at which software version streams began, from this node's own streams and from other nodes.
type Origins interface {
	// Record remembers the origin of a stream and passes it on to other nodes. It ignores one without a request's ID.
	Record(origin streamorigin.Origin)
	// Find returns what is known about the stream that a request began. service is the only one at which it can have begun,
	// empty if there are several, and maximumAge bounds how long ago that was. It asks other nodes if necessary, for a
	// bounded time.
	Find(ctx context.Context, request, service string, maximumAge time.Duration) streamorigin.Answer
}

// activeConfig is a configuration with its route table and its customers.
type activeConfig struct {
	config    *serving.Configuration
	table     *routetable.Table
	customers *customers.Directory
}

// Forwarder is the http.Handler for callers' requests.
type Forwarder struct {
	options  Options
	current  atomic.Pointer[activeConfig]
	draining atomic.Bool
	// closed is true once requests that arrive are refused.
	closed atomic.Bool
	// ending is done when the requests in progress have to be answered at once; end makes it so.
	ending context.Context
	end    context.CancelFunc
	// taken is the number of requests of other nodes in progress.
	taken atomic.Int64

	mu      sync.Mutex
	budgets map[string]*retrybudget.Budget
	metrics metricSet
}

// New returns a forwarder without a configuration.
func New(options Options) *Forwarder {
	if options.Bodies == nil {
		options.Bodies = intake.New(intake.Limits{})
	}
	f := &Forwarder{options: options, budgets: make(map[string]*retrybudget.Budget), metrics: newMetricSet()}
	f.ending, f.end = context.WithCancel(context.Background())
	return f
}

// SetConfig activates a configuration and returns true, unless one of the same or a newer version is active.
func (f *Forwarder) SetConfig(config *serving.Configuration) bool {
	directory, problems := customers.New(config)
	next := &activeConfig{config: config, table: routetable.New(config), customers: directory}
	for {
		last := f.current.Load()
		if last != nil && last.config.Version >= config.Version {
			return false
		}
		if f.current.CompareAndSwap(last, next) {
			f.logCustomerProblems(config.Version, problems)
			return true
		}
	}
}

// Config returns the active configuration, or nil.
func (f *Forwarder) Config() *serving.Configuration {
	if current := f.current.Load(); current != nil {
		return current.config
	}
	return nil
}

// Drain makes every further answer carry "Connection: close".
func (f *Forwarder) Drain() { f.draining.Store(true) }

// Close makes the forwarder refuse each request whose last byte arrives from now on. A stopping node may be gone before such a
// request is answered, and its caller would then not know whether it has run.
func (f *Forwarder) Close() { f.closed.Store(true) }

// End makes all requests in progress end at once: those without the beginning of an answer are answered.
func (f *Forwarder) End() { f.end() }

// job is one request in progress.
type job struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	request serving.CallerRequest
	route   *serving.Route
	// customer is the customer whose request it is; nil without one.
	customer *serving.Customer
	// authenticated is true when the configuration has customers, so that the key ends at this node.
	authenticated bool
	// peerCustomer is the name of the customer according to the node that passed the request on.
	peerCustomer string
	service      serving.Service
	// body takes room until the request ends.
	body     *intake.Body
	arrived  time.Time
	deadline time.Time
	tried    map[string]bool
	sends    int
	// unsent counts the sends of which no byte was written.
	unsent int
	// attempts counts the sends after which the request may have run.
	attempts int
	// softwareVersion is the version at which the stream began; empty before its first event, and for other requests.
	softwareVersion string
	// trace is that of the latest send, refusedOn the connections on which servers refused the request.
	trace     *upstream.RequestTrace
	refusedOn upstream.Connections
	// leavingUnread is true when the head of the latest answer says that the server leaves, and its body is still to be read.
	leavingUnread bool
	// reservation allows the latest send.
	reservation Reservation
	// slot is the slot for the next or the latest send to a plain service.
	slot heldSlot
	// target is what the caller sent as the target of the request.
	target requestTarget
	// patience gives the current send up; nil if only the request's deadline does.
	patience *time.Timer
	// attemptEnds end what the current attempt takes at its server.
	attemptEnds []func()
	// slotFields describe how the latest slot was obtained, for the log.
	slotFields event.Fields
	// charge is what the next send, or the latest one, has used of the customer's quota.
	charge charge
	// sendLapsed is true when the latest send wasn't written because its reservation or its charge had lapsed.
	sendLapsed bool
	// server is the ID of the server chosen last, address where it listens, incarnation its run.
	server      string
	address     string
	incarnation crashguard.Incarnation
	// caller is the caller's address without the port, keys those of the request once they were needed.
	caller string
	keys   []string
	// fromPeer is true when another node passed the request on, peerRemaining the time that was left then; 0 for no bound.
	fromPeer      bool
	peerRemaining time.Duration
	// reason is why the latest choice found no server.
	reason string
	// releaseGate frees the request's place at the gate; nil for plain services. admittedByHolder is that of the latest gate.
	releaseGate      func(read bool)
	admittedByHolder bool
	// sentAt is when the latest send began, gateTimeouts the number of gates at which the request timed out.
	sentAt       time.Time
	gateTimeouts int
	// trial is true when the request has a blocked part and is sent to see whether servers still crash on it.
	trial bool
	// recent is the decayed count of requests for the adapter at this node.
	recent float64
	// inputs holds the inputs of the latest decision, for the log.
	inputs event.Fields
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	removePeerHeaders(r.Header)
	f.newJob(w, r).handle()
}

func (f *Forwarder) newJob(w http.ResponseWriter, r *http.Request) *job {
	return &job{f: f, w: w, r: r, arrived: time.Now(), tried: make(map[string]bool), caller: callerOf(r)}
}

// handle answers the request.
func (j *job) handle() {
	f, r := j.f, j.r
	var err error
	j.request, err = f.options.Wire.DecodeRequest(r)
	keyStatus := f.keyStatus()
	current := f.current.Load()
	if current == nil {
		j.refuse(http.StatusServiceUnavailable, ReasonNoConfig, configRetryAfter)
		return
	}
	if err != nil {
		j.refuse(http.StatusBadRequest, err.Error(), 0)
		return
	}
	var valid bool
	if j.target, valid = targetOf(r); !valid {
		j.refuse(http.StatusBadRequest, ReasonBadTarget, 0)
		return
	}
	if !j.findRoute(current) || !j.admit(current, keyStatus) || !j.readBody(current) {
		return
	}
	defer j.body.Release()
	if f.closed.Load() {
		j.refuseStopping()
		return
	}
	ctx, cancel := j.withDeadline()
	defer cancel()
	j.ctx = ctx
	if !j.fromPeer {
		f.withBudget(j.service.Name, func(b *retrybudget.Budget) { b.Request(j.arrived) })
	}
	if j.resumesStream() && !j.findOrigin(current.config) {
		return
	}
	defer j.giveBackQuota()
	if !j.chargeQuota() {
		return
	}
	j.serve()
}

// callerOf returns the address of the caller without its port. The platform names callers in no other way.
func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (j *job) findRoute(current *activeConfig) bool {
	route, found := current.table.Match(j.r.Host, j.target.path)
	if !found {
		j.refuse(http.StatusNotFound, ReasonNoRoute, 0)
		return false
	}
	j.route = route
	name := routetable.PickService(route, newRandom())
	service, known := current.config.Services[name]
	if !known {
		j.refuse(http.StatusServiceUnavailable, ReasonNoService, busyRetryAfter)
		return false
	}
	j.service = service
	return true
}

// newRandom returns a new random source, since sources aren't safe for concurrent use.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// readBody buffers the request body, so that it can be sent again to another server.
func (j *job) readBody(current *activeConfig) bool {
	limit := current.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	var deadline time.Time
	if bound := j.timeout(); bound > 0 {
		deadline = j.arrived.Add(bound)
	}
	body, err := j.f.options.Bodies.Read(j.w, j.r, limit, deadline)
	switch {
	case err == nil:
		j.body = body
		return true
	case errors.Is(err, intake.ErrTooLarge):
		j.refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge, 0)
	case errors.Is(err, intake.ErrNoRoom):
		j.refuseUntaken(http.StatusServiceUnavailable, ReasonNoRoom, intake.RetryAfter)
	case errors.Is(err, intake.ErrTooSlow):
		j.refuseUntaken(http.StatusRequestTimeout, ReasonBodyTooSlow, 0)
	default:
		// The request is incomplete, so there is nothing to answer.
		j.log(event.RequestRefused, "the caller broke off its request", nil)
		panic(http.ErrAbortHandler)
	}
	return false
}

// refuseUntaken answers a request that this node doesn't take for a reason that may not hold at others.
func (j *job) refuseUntaken(status int, reason string, retryAfter time.Duration) {
	if j.fromPeer {
		RefuseHandover(j.w, http.StatusServiceUnavailable)
		return
	}
	j.refuse(status, reason, retryAfter)
}

// timeout returns the time that the request has from its arrival: until the caller's deadline or the route's timeout,
// whichever comes first; 0 without either.
func (j *job) timeout() time.Duration {
	bound := j.route.Timeout
	if j.request.Timeout > 0 && (bound <= 0 || j.request.Timeout < bound) {
		bound = j.request.Timeout
	}
	if j.peerRemaining > 0 && (bound <= 0 || j.peerRemaining < bound) {
		bound = j.peerRemaining
	}
	return max(bound, 0)
}

// refuseStopping answers a request that has arrived too late for this node, which stops. Other nodes can take it at once.
func (j *job) refuseStopping() { j.refuseUntaken(http.StatusServiceUnavailable, ReasonStopping, 0) }

// withDeadline returns the context of the request, which ends after its timeout or with the forwarder.
func (j *job) withDeadline() (context.Context, context.CancelFunc) {
	parent, end := context.WithCancel(j.r.Context())
	forget := context.AfterFunc(j.f.ending, end)
	ctx, cancel := parent, func() {}
	if j.setDeadline(); !j.deadline.IsZero() {
		ctx, cancel = context.WithDeadline(parent, j.deadline)
	}
	return ctx, func() {
		forget()
		cancel()
		end()
	}
}

// setDeadline sets the deadline, if the request has one.
func (j *job) setDeadline() {
	if bound := j.timeout(); bound > 0 {
		j.deadline = j.arrived.Add(bound)
	}
}

// remaining returns the time until the deadline, or 0 if there is none.
func (j *job) remaining() time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return max(time.Until(j.deadline), time.Millisecond)
}

// withBudget calls apply with the retry budget of a service, under the lock.
func (f *Forwarder) withBudget(service string, apply func(*retrybudget.Budget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	budget := f.budgets[service]
	if budget == nil {
		budget = retrybudget.New(f.options.RetryBudget)
		f.budgets[service] = budget
	}
	budget.SetNodes(f.options.Nodes())
	apply(budget)
}

// consumeRetry consumes one retry of the service's budget, if there is one.
func (j *job) consumeRetry() bool {
	allowed := false
	j.f.withBudget(j.service.Name, func(b *retrybudget.Budget) { allowed = b.TryRetry(time.Now()) })
	return allowed
}

// serve tries servers until the request has its final answer.
func (j *job) serve() {
	// A caller that leaves during a handover ends the request with a panic.
	defer j.releaseSlot()
	for {
		if j.refuseCrashing() {
			return
		}
		candidate, version, ok := j.choose()
		if !ok {
			return
		}
		if j.attempt(candidate, version) {
			return
		}
	}
}

// rank returns the rank of the request, 0 the most urgent: its customer's if that has one, else its route's.
func (j *job) rank() int {
	if j.customer != nil && j.customer.Priority != nil {
		return *j.customer.Priority
	}
	return j.route.Priority
}
