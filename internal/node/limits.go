package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/requestlimit"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// limits applies the limits that servers name in their answers. It implements forward.Limits.
type limits struct {
	node *Node
	// named counts the answers that name a limit, invalid those whose limit can't be used.
	named, invalid metrics.Counter
}

func newLimits(node *Node) *limits {
	return &limits{
		node:    node,
		named:   metrics.GetOrRegisterCounter("limits.named", nil),
		invalid: metrics.GetOrRegisterCounter("limits.invalid", nil),
	}
}

// limitedServer is an incarnation of a server.
type limitedServer struct {
	id   string
	born int64
}

// Sources of what a node knows about a limit, in the log.
const (
	limitFromAnswer = "answer"
	limitFromReport = "report"
)

// Observe implements forward.Limits.
func (l *limits) Observe(server serverview.Candidate, limit serving.RequestLimit, sentAt time.Time, ran bool) {
	l.observe(limitedServer{server.ID, server.Born}, limit, sentAt, ran, limitFromAnswer)
}

// reported applies what the answer to a report says about the limit. Whether servers name their limit there isn't known,
// so a report without one says nothing.
func (l *limits) reported(server serving.Server, limit serving.RequestLimit, requestedAt time.Time) {
	l.observe(limitedServer{server.ID, server.Born}, limit, requestedAt, false, limitFromReport)
}

func (l *limits) observe(
	server limitedServer, limit serving.RequestLimit, sentAt time.Time, conclusive bool, source string,
) {
	if limit.Invalid != nil {
		l.invalid.Inc(1)
		l.node.events.EmitError(event.LimitInvalid, limit.Invalid, event.Fields{"server": server.id, "source": source})
		return
	}
	if !limit.Named && !conclusive {
		return
	}
	if limit.Named {
		l.named.Inc(1)
	}
	l.note(server, requestlimit.Notice{
		Limited: limit.Named, PerSecond: limit.PerSecond, RequestedAt: sentAt, ReceivedAt: time.Now(),
	}, source)
}

// note applies a notice and logs its effect.
func (l *limits) note(server limitedServer, notice requestlimit.Notice, source string) {
	now := time.Now()
	change, before := l.node.view.NoteLimit(now, server.id, server.born, notice)
	kinds := map[requestlimit.Change]event.Event{
		requestlimit.Learned: event.LimitLearned, requestlimit.Changed: event.LimitChanged,
		requestlimit.Lifted: event.LimitLifted,
	}
	if kind, found := kinds[change]; found {
		l.node.events.Emit(kind, event.Fields{
			"server": server.id, "perSecond": notice.PerSecond, "before": before, "source": source,
			"ageMs": now.Sub(notice.ReceivedAt).Milliseconds(),
		})
	}
}
