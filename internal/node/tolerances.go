package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// tolerances knows which servers are brittle: they name in their answers how many requests a second they can reject for want
// of room without falling over. It implements forward.Tolerances.
type tolerances struct {
	node    *Node
	metrics toleranceMetrics
}

// toleranceMetrics counts the answers that name a tolerance and those whose tolerance can't be used, and the rejections by
// brittle servers of requests of this node, by whether a coordinator had assigned the server.
type toleranceMetrics struct{ named, invalid, rejectedAssigned, rejectedAlone metrics.Counter }

func newTolerances(node *Node) *tolerances {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("tolerances."+name, nil) }
	return &tolerances{node: node, metrics: toleranceMetrics{
		named: counter("named"), invalid: counter("invalid"),
		rejectedAssigned: counter("rejected.assigned"), rejectedAlone: counter("rejected.alone"),
	}}
}

// Observe implements forward.Tolerances.
func (t *tolerances) Observe(server serverview.Candidate, tolerance serving.NamedRate, sentAt time.Time, conclusive bool) {
	t.observe(server.ID, server.Born, tolerance, sentAt, conclusive, sourceAnswer)
}

// reported applies what the answer to a report says about the tolerance.
func (t *tolerances) reported(server serving.Server, tolerance serving.NamedRate, requestedAt time.Time) {
	t.observe(server.ID, server.Born, tolerance, requestedAt, false, sourceReport)
}

func (t *tolerances) observe(
	id string, born int64, tolerance serving.NamedRate, sentAt time.Time, conclusive bool, source string,
) {
	now := time.Now()
	switch {
	case tolerance.Invalid != nil:
		t.metrics.invalid.Inc(1)
		t.node.events.EmitError(event.ToleranceInvalid, tolerance.Invalid, event.Fields{"server": id, "source": source})
	case tolerance.Named:
		t.metrics.named.Inc(1)
		t.note(now, serverview.ToleranceNotice{ServerID: id, Born: born, PerSecond: tolerance.PerSecond, NamedAt: now}, source)
	case conclusive && t.node.view.NoteSound(now, id, born, sentAt):
		t.node.events.Emit(event.ServerNotBrittle, event.Fields{"server": id, "source": source})
	}
}

// note applies a notice and logs it if the server wasn't known to be brittle.
func (t *tolerances) note(now time.Time, notice serverview.ToleranceNotice, source string) {
	if t.node.view.NoteTolerance(now, notice) {
		t.node.events.Emit(event.ServerBrittle, event.Fields{
			"server": notice.ServerID, "rejectionsPerSecond": notice.PerSecond, "source": source,
			"ageMs": now.Sub(notice.NamedAt).Milliseconds(),
		})
	}
}

// Rejected implements forward.Tolerances.
func (t *tolerances) Rejected(_ serverview.Candidate, assigned bool) {
	if assigned {
		t.metrics.rejectedAssigned.Inc(1)
	} else {
		t.metrics.rejectedAlone.Inc(1)
	}
}
