package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/requestlimit"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// limitNoticePeriod is the time between two messages of a coordinator to all nodes, and between two of a node to the
	// coordinator, about a limit that hasn't changed.
	limitNoticePeriod = time.Second
	// limitEndPeriod is how long a coordinator repeats that a limit has ended.
	limitEndPeriod = 3 * time.Second
	// limitLifetime is how long a node keeps a limit of which neither an answer nor the coordinator says anything. Up to
	// that time again is added at random, so that not all nodes send to the server at once.
	limitLifetime = 10 * time.Second
)

// limits knows the limits that servers name in their answers and keeps this node's requests within them. It implements
// forward.Limits. The owner of a server's partition coordinates the requests of all nodes to it.
type limits struct {
	node *Node
	// pending holds the requests that wait for the answer of a coordinator.
	pending *pending[requestlimit.Answer]
	// changed receives a value when a limit that this node coordinates has changed.
	changed chan struct{}

	mu           sync.Mutex
	coordinators map[limitedServer]*limitCoordinator
	shares       map[limitedServer]*requestlimit.Share
	// silentUntil holds the coordinators that didn't answer lately.
	silentUntil map[string]time.Time
	// reportedAt is when this node last told the coordinator about a limit.
	reportedAt map[limitedServer]time.Time
	metrics    limitMetrics
}

// limitMetrics counts the answers that name a limit and those whose limit can't be used, and the requests to servers with
// limits by how they were admitted.
type limitMetrics struct{ named, invalid, granted, refused, unreachable metrics.Counter }

func newLimits(node *Node) *limits {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("limits."+name, nil) }
	return &limits{
		node: node, pending: newPending[requestlimit.Answer](), changed: make(chan struct{}, 1),
		coordinators: make(map[limitedServer]*limitCoordinator), shares: make(map[limitedServer]*requestlimit.Share),
		silentUntil: make(map[string]time.Time), reportedAt: make(map[limitedServer]time.Time),
		metrics: limitMetrics{
			named: counter("named"), invalid: counter("invalid"), granted: counter("granted"),
			refused: counter("refused"), unreachable: counter("unreachable"),
		},
	}
}

// limitedServer is an incarnation of a server.
type limitedServer struct {
	id   string
	born int64
}

// observe applies what an answer says about its server's limit.
func (l *limits) observe(
	server limitedServer, limit serving.NamedRate, sentAt time.Time, conclusive bool, source string,
) {
	if limit.Invalid != nil {
		l.metrics.invalid.Inc(1)
		l.node.events.EmitError(event.LimitInvalid, limit.Invalid, event.Fields{"server": server.id, "source": source})
		return
	}
	if !limit.Named && !conclusive {
		return
	}
	if limit.Named {
		l.metrics.named.Inc(1)
	}
	notice := requestlimit.Notice{
		Limited: limit.Named, PerSecond: limit.PerSecond, RequestedAt: sentAt, ReceivedAt: time.Now(),
	}
	change := l.note(server, notice, source)
	if limit.Named || change != requestlimit.Unchanged {
		l.report(server, change != requestlimit.Unchanged)
	}
}

var limitEvents = map[requestlimit.Change]event.Event{
	requestlimit.Learned: event.LimitLearned, requestlimit.Changed: event.LimitChanged,
	requestlimit.Lifted: event.LimitLifted,
}

// note applies a notice and logs its effect.
func (l *limits) note(server limitedServer, notice requestlimit.Notice, source string) requestlimit.Change {
	now := time.Now()
	change, before := l.node.view.NoteLimit(now, server.id, server.born, notice)
	if kind, found := limitEvents[change]; found {
		l.node.events.Emit(kind, event.Fields{
			"server": server.id, "perSecond": notice.PerSecond, "before": before, "source": source,
			"ageMs": now.Sub(notice.ReceivedAt).Milliseconds(), "coordinator": l.node.leases.owner(server.id),
		})
		if l.coordinates(server.id) {
			notify(l.changed)
		}
	}
	return change
}

// report tells the coordinator what this node knows about a limit: at once if it has changed, else from time to time, as
// messages may be lost.
func (l *limits) report(server limitedServer, changed bool) {
	now := time.Now()
	l.mu.Lock()
	due := changed || now.Sub(l.reportedAt[server]) >= limitNoticePeriod
	if due {
		l.reportedAt[server] = now
	}
	l.mu.Unlock()
	if due && !l.coordinates(server.id) {
		l.sendNotices(now, l.node.leases.owner(server.id), l.noticeOf(server))
	}
}

// noticeOf returns this node's latest notice about a server's limit, if there is one.
func (l *limits) noticeOf(server limitedServer) []serverview.LimitNotice {
	if notice, known := l.node.view.LimitNotice(server.id); known {
		return []serverview.LimitNotice{notice}
	}
	return nil
}

func (l *limits) sendNotices(now time.Time, to string, notices []serverview.LimitNotice) {
	if to == "" || to == l.node.link.Address() || len(notices) == 0 {
		return
	}
	l.node.link.Send(peerlink.Message{LimitNotices: encodeLimitNotices(now, notices)}, to)
}

func encodeLimitNotices(now time.Time, notices []serverview.LimitNotice) []peerlink.LimitNotice {
	encoded := make([]peerlink.LimitNotice, 0, len(notices))
	for _, notice := range notices {
		encoded = append(encoded, peerlink.NewLimitNotice(now, notice))
	}
	return encoded
}

// coordinates reports whether this node is the coordinator of a server's limit: the owner of its partition according to
// the owners that all nodes read, or by its own lease.
func (l *limits) coordinates(server string) bool {
	if l.node.leases.owner(server) == l.node.link.Address() {
		return true
	}
	_, holds := l.node.leases.holds(server)
	return holds
}

// handleMessage processes the parts of a peer's message about limits.
func (l *limits) handleMessage(now time.Time, message peerlink.Message) {
	for _, encoded := range message.LimitNotices {
		l.handleNotice(now, message.From, encoded.Decode(now))
	}
	for _, answer := range message.LimitAnswers {
		l.pending.deliver(answer.ID, answer.Decode())
	}
	if message.LimitRequest != nil {
		l.handleRequest(now, message.From, *message.LimitRequest)
	}
	if message.LimitReturn != nil {
		l.handleReturn(now, message.From, *message.LimitReturn)
	}
}

// handleNotice applies a notice of another node. If this node knows that the limit has ended since, it says so.
func (l *limits) handleNotice(now time.Time, from string, notice serverview.LimitNotice) {
	server := limitedServer{notice.ServerID, notice.Born}
	l.note(server, notice.Notice, from)
	if _, limited := l.node.view.Limit(server.id); notice.Limited && !limited {
		l.sendNotices(now, from, l.noticeOf(server))
	}
}

// run tells all nodes the limits that this node coordinates, and forgets limits of which nothing is heard, until ctx ends.
func (l *limits) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.Until(ctx, limitNoticePeriod, l.changed)
		now := time.Now()
		notices := l.node.view.LimitNotices(now.Add(-limitEndPeriod))
		coordinated := make([]serverview.LimitNotice, 0, len(notices))
		for _, notice := range notices {
			if l.coordinates(notice.ServerID) {
				coordinated = append(coordinated, notice)
			} else {
				l.expire(now, notice)
			}
		}
		if len(coordinated) > 0 {
			message := peerlink.Message{LimitNotices: encodeLimitNotices(now, coordinated)}
			l.node.link.Send(message, l.node.peers.alive(now)...)
		}
		l.prune(now, notices)
	}
	return nil
}

func (l *limits) expire(now time.Time, notice serverview.LimitNotice) {
	lifetime := limitLifetime + rand.N(limitLifetime)
	if l.node.view.ExpireLimit(now, notice.ServerID, lifetime) {
		l.node.events.Emit(event.LimitLifted, event.Fields{
			"server": notice.ServerID, "perSecond": 0, "before": notice.PerSecond, "source": "no answer confirmed it",
			"ageMs": now.Sub(notice.ReceivedAt).Milliseconds(), "coordinator": l.node.leases.owner(notice.ServerID),
		})
	}
}

// prune removes the state of servers without a limit.
func (l *limits) prune(now time.Time, notices []serverview.LimitNotice) {
	limited := make(map[limitedServer]bool, len(notices))
	for _, notice := range notices {
		limited[limitedServer{notice.ServerID, notice.Born}] = notice.Limited
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for server, coordinator := range l.coordinators {
		if !limited[server] {
			coordinator.logUsage(now)
			delete(l.coordinators, server)
		} else if now.Sub(coordinator.loggedAt) >= limitUsagePeriod {
			coordinator.logUsage(now)
		}
	}
	for server := range l.shares {
		if !limited[server] {
			delete(l.shares, server)
		}
	}
	for server := range l.reportedAt {
		if !limited[server] {
			delete(l.reportedAt, server)
		}
	}
	for coordinator, until := range l.silentUntil {
		if now.After(until) {
			delete(l.silentUntil, coordinator)
		}
	}
}

// Acquire implements forward.Limits.
func (l *limits) Acquire(
	ctx context.Context, server serverview.Candidate, priority int, patience time.Duration,
) (reservation forward.Reservation, roomIn time.Duration, ok bool) {
	perSecond, limited := l.node.view.Limit(server.ID)
	if !limited {
		return forward.Reservation{}, 0, true
	}
	coordinator := l.coordinatorOf(server.ID)
	if coordinator == "" {
		return l.takeShare(server, perSecond)
	}
	call := &limitCall{
		limits: l, server: limitedServer{server.ID, server.Born}, coordinator: coordinator, patience: patience,
		request: peerlink.LimitRequest{ServerID: server.ID, Priority: priority, PatienceMs: patience.Milliseconds()},
	}
	answer, answered := call.await(ctx)
	switch {
	case answer.Granted:
		l.metrics.granted.Inc(1)
		return forward.Reservation{Valid: call.valid, Cancel: call.giveBack}, 0, true
	case !answered && ctx.Err() == nil:
		l.noteSilence(server.ID, coordinator)
		return l.takeShare(server, perSecond)
	}
	l.metrics.refused.Inc(1)
	if answer.RoomIn == 0 {
		answer.RoomIn = requestlimit.GrantInterval(perSecond)
	}
	return forward.Reservation{}, answer.RoomIn, false
}

// coordinatorOf returns the peer address of a server's coordinator, or an empty string if none can be asked.
func (l *limits) coordinatorOf(server string) string {
	if l.coordinates(server) {
		return l.node.link.Address()
	}
	owner := l.node.leases.owner(server)
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.silentUntil[owner]) {
		return ""
	}
	return owner
}

// silencePeriod is how long a coordinator that didn't answer isn't asked again.
const silencePeriod = 300 * time.Millisecond

func (l *limits) noteSilence(server, coordinator string) {
	l.node.events.Emit(event.LimitCoordinatorSilent, event.Fields{"server": server, "coordinator": coordinator})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentUntil[coordinator] = time.Now().Add(silencePeriod)
}

// takeShare admits a request within this node's share of a limit whose coordinator can't be reached.
func (l *limits) takeShare(
	server serverview.Candidate, perSecond float64,
) (reservation forward.Reservation, roomIn time.Duration, ok bool) {
	now, nodes := time.Now(), l.node.peers.count()
	key := limitedServer{server.ID, server.Born}
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.shares[key]
	if share == nil {
		share = requestlimit.NewShare(now, rand.Float64())
		l.shares[key] = share
	}
	if ok, roomIn = share.Take(now, perSecond, nodes); !ok {
		l.metrics.refused.Inc(1)
		return reservation, roomIn, false
	}
	l.metrics.unreachable.Inc(1)
	return reservation, 0, true
}
