package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Sources of what a node knows from a server's answers, in the log.
const (
	sourceAnswer = "answer"
	sourceReport = "report"
)

// notices passes on what servers say about themselves in their answers. It implements forward.Notices.
type notices struct {
	node    *Node
	metrics noticeMetrics
}

// noticeMetrics counts the notices, and the sends to servers that have said that they leave or have asked for rest.
type noticeMetrics struct {
	leaving, rest, invalid   metrics.Counter
	sentLeaving, sentResting map[forward.SendWay]metrics.Counter
}

func newNotices(node *Node) *notices {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("notices."+name, nil) }
	n := &notices{node: node, metrics: noticeMetrics{
		leaving: counter("leaving"), rest: counter("rest"), invalid: counter("invalid"),
		sentLeaving: make(map[forward.SendWay]metrics.Counter), sentResting: make(map[forward.SendWay]metrics.Counter),
	}}
	for _, way := range []forward.SendWay{
		forward.FirstSend, forward.AssignedSend, forward.RepeatedSend, forward.ResumingSend, forward.TakenSend,
	} {
		n.metrics.sentLeaving[way] = counter("sent.leaving." + string(way))
		n.metrics.sentResting[way] = counter("sent.resting." + string(way))
	}
	return n
}

// Observe implements forward.Notices.
func (n *notices) Observe(server serverview.Candidate, notice serving.ServerNotice, sentAt time.Time, conclusive bool) {
	n.observe(server.ID, server.Born, notice, sentAt, conclusive, sourceAnswer)
}

// reported applies what a server says about itself in the answer to a report. Whether servers name everything there isn't
// known, so what it leaves out hasn't ended.
func (n *notices) reported(server serving.Server, notice serving.ServerNotice, requestedAt time.Time) {
	n.observe(server.ID, server.Born, notice, requestedAt, false, sourceReport)
}

func (n *notices) observe(
	id string, born int64, notice serving.ServerNotice, sentAt time.Time, conclusive bool, source string,
) {
	n.node.limits.observe(limitedServer{id, born}, notice.Limit, sentAt, conclusive, source)
	n.node.tolerances.observe(id, born, notice.Tolerance, sentAt, conclusive, source)
	for _, invalid := range notice.Invalid {
		n.metrics.invalid.Inc(1)
		n.node.events.EmitError(event.ServerNoticeInvalid, invalid, event.Fields{"server": id, "source": source})
	}
	now := time.Now()
	if notice.Leaving {
		n.metrics.leaving.Inc(1)
		n.noteLeaving(now, serverview.LeavingNotice{ServerID: id, Born: born, Since: now}, source)
	}
	if notice.Rest > 0 {
		n.metrics.rest.Inc(1)
		n.noteRest(now, id, born, notice.Rest, source)
	}
}

func (n *notices) noteLeaving(now time.Time, notice serverview.LeavingNotice, source string) {
	if !n.node.view.NoteLeaving(notice) {
		return
	}
	n.node.events.Emit(event.ServerSaysItLeaves, event.Fields{
		"server": notice.ServerID, "born": notice.Born, "source": source, "ageMs": now.Sub(notice.Since).Milliseconds(),
	})
}

func (n *notices) noteRest(now time.Time, id string, born int64, rest time.Duration, source string) {
	if n.node.view.NoteRest(now, id, born, now.Add(rest)) {
		n.node.events.Emit(event.ServerAsksForRest, event.Fields{"server": id, "restMs": rest.Milliseconds(), "source": source})
	}
}

// Sending implements forward.Notices.
func (n *notices) Sending(server serverview.Candidate, way forward.SendWay) {
	leaving, resting := n.node.view.SaidLeaving(server.ID), n.node.view.RestsFor(time.Now(), server.ID) > 0
	if leaving {
		n.metrics.sentLeaving[way].Inc(1)
	}
	if resting {
		n.metrics.sentResting[way].Inc(1)
	}
}
