package node

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Sources of what a node knows from a server's answers, in the log.
const (
	sourceAnswer = "answer"
	sourceCall   = "report or order"
)

// maximumLeaving bounds the servers that leave in one message, of some 60 B each.
const maximumLeaving = 40

const (
	// completeLeavingRounds is the number of a reader's digests of which one lists all servers that leave. On a site of many nodes
	// all of them in each digest would be most of what a node receives.
	completeLeavingRounds = 10
	// recentLeaving is how long after the first answer that said so a server is in each digest.
	recentLeaving = 2 * time.Second
)

// notices passes on what servers say about themselves in their answers. It implements forward.Notices.
type notices struct {
	node    *Node
	metrics noticeMetrics
	// checkedAt and checkedBootTime are the readings of both clocks at the latest check for a suspension of the VM.
	checkedAt       time.Time
	checkedBootTime time.Duration
	// learned receives a value when a server is known to leave.
	learned chan struct{}
}

// noticeMetrics counts the notices, and the sends to servers that have said that they leave or have asked for rest.
type noticeMetrics struct {
	leaving, rest, invalid metrics.Counter
	// serversLeaving and serversResting are the servers that say that they leave or have asked this node for rest.
	serversLeaving, serversResting metrics.Gauge
	sentLeaving, sentResting       map[forward.SendWay]metrics.Counter
}

func newNotices(node *Node) *notices {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("notices."+name, nil) }
	n := &notices{node: node, learned: make(chan struct{}, 1), metrics: noticeMetrics{
		leaving: counter("leaving"), rest: counter("rest"), invalid: counter("invalid"),
		serversLeaving: metrics.GetOrRegisterGauge("notices.serversLeaving", nil),
		serversResting: metrics.GetOrRegisterGauge("notices.serversResting", nil),
		sentLeaving:    make(map[forward.SendWay]metrics.Counter), sentResting: make(map[forward.SendWay]metrics.Counter),
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
	n.observe(incarnation{server.ID, server.Born, server.Address}, notice, sentAt, conclusive, sourceAnswer)
}

// called applies what a server says about itself in the answer to a report or an order. Whether servers name everything there
// isn't known, so what it leaves out hasn't ended.
func (n *notices) called(server serving.Server, notice serving.ServerNotice, sentAt time.Time) {
	n.observe(incarnation{server.ID, server.Born, server.Address}, notice, sentAt, false, sourceCall)
}

// incarnation is a server as it was when a request was sent there.
type incarnation struct {
	id      string
	born    int64
	address string
}

func (n *notices) observe(
	server incarnation, notice serving.ServerNotice, sentAt time.Time, conclusive bool, source string,
) {
	n.node.limits.observe(limitedServer{server.id, server.born}, notice.Limit, sentAt, conclusive, source)
	n.node.tolerances.observe(server.id, server.born, notice.Tolerance, sentAt, conclusive, source)
	for _, invalid := range notice.Invalid {
		n.metrics.invalid.Inc(1)
		n.node.events.EmitError(event.ServerNoticeInvalid, invalid, event.Fields{"server": server.id, "source": source})
	}
	now := time.Now()
	if notice.Leaving {
		n.metrics.leaving.Inc(1)
		n.heardLeaving(now, serverview.LeavingNotice{
			ServerID: server.id, Born: server.born, Address: server.address, Since: now,
		}, source)
	}
	if notice.Rest > 0 {
		n.metrics.rest.Inc(1)
		n.noteRest(now, server.id, server.born, notice.Rest, source)
	}
}

// heardLeaving applies a notice that this node has got from the server itself, and tells the other nodes.
func (n *notices) heardLeaving(now time.Time, notice serverview.LeavingNotice, source string) {
	if n.noteLeaving(now, notice, source) {
		n.node.link.Send(peerlink.Message{Leaving: encodeLeaving(now, notice)}, n.node.peers.alive(now)...)
	}
}

// handleMessage applies what another node knows of servers that leave. A reader that lacks what this node knows is told, as its
// digests reach all nodes.
func (n *notices) handleMessage(now time.Time, message peerlink.Message) {
	listed := make(map[string]bool, len(message.Leaving))
	for _, leaving := range message.Leaving {
		listed[leaving.ServerID] = true
		n.noteLeaving(now, leaving.Decode(now), message.From)
	}
	if !message.LeavingComplete || len(message.Leaving) >= maximumLeaving {
		return
	}
	unlisted := slices.DeleteFunc(n.node.view.LeavingNotices(), func(notice serverview.LeavingNotice) bool {
		return listed[notice.ServerID]
	})
	if len(unlisted) > 0 {
		n.node.link.Send(peerlink.Message{Leaving: encodeLeaving(now, unlisted...)}, message.From)
	}
}

// addTo adds servers that leave by their own answers to the digest of a round: all of them in each completeLeavingRounds-th
// round, else those of which nodes may not have heard yet.
func (n *notices) addTo(now time.Time, round int, message *peerlink.Message) {
	known := n.node.view.LeavingNotices()
	if message.LeavingComplete = round%completeLeavingRounds == 0; !message.LeavingComplete {
		known = slices.DeleteFunc(known, func(notice serverview.LeavingNotice) bool {
			return now.Sub(notice.Since) > recentLeaving
		})
	}
	message.Leaving = encodeLeaving(now, known...)
}

// sendTo tells a node that has just started which servers leave.
func (n *notices) sendTo(now time.Time, peer string) {
	if known := n.node.view.LeavingNotices(); len(known) > 0 {
		n.node.link.Send(peerlink.Message{Leaving: encodeLeaving(now, known...)}, peer)
	}
}

// encodeLeaving encodes notices, the newest ones if there are more than maximumLeaving.
func encodeLeaving(now time.Time, notices ...serverview.LeavingNotice) (encoded []peerlink.LeavingServer) {
	slices.SortFunc(notices, func(a, b serverview.LeavingNotice) int { return b.Since.Compare(a.Since) })
	for _, notice := range notices[:min(len(notices), maximumLeaving)] {
		encoded = append(encoded, peerlink.NewLeavingServer(now, notice))
	}
	return encoded
}

// noteLeaving applies a notice. It returns true if the server wasn't known to leave by its own answers.
func (n *notices) noteLeaving(now time.Time, notice serverview.LeavingNotice, source string) (learned bool) {
	if !n.node.view.NoteLeaving(notice) {
		return false
	}
	n.node.events.Emit(event.ServerSaysItLeaves, event.Fields{
		"server": notice.ServerID, "born": notice.Born, "source": source, "ageMs": now.Sub(notice.Since).Milliseconds(),
	})
	notify(n.learned)
	n.node.slots.roomChanged()
	// The node gives the server no more orders.
	n.node.reconcilePending.Store(true)
	// A reader tells all nodes at once.
	notify(n.node.watch.digestChanged)
	return true
}

func (n *notices) noteRest(now time.Time, id string, born int64, rest time.Duration, source string) {
	if n.node.view.NoteRest(now, id, born, now.Add(rest)) {
		n.node.events.Emit(event.ServerAsksForRest, event.Fields{"server": id, "restMs": rest.Milliseconds(), "source": source})
	}
}

const (
	// relocatePeriod is the time between two requests to load adapters of a server that leaves elsewhere; holders forget them
	// unless they are repeated.
	relocatePeriod = 100 * time.Millisecond
	// relocateTime is how long after a server has said that it leaves its adapters are loaded elsewhere. Servers may end 2 s
	// after that.
	relocateTime = 2 * time.Second
)

// run loads the adapters of servers that leave elsewhere until ctx ends.
func (n *notices) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.learned:
		}
		for until := time.Now().Add(relocateTime); time.Now().Before(until) && n.relocate(time.Now()); {
			if !delay.For(ctx, relocatePeriod) {
				return nil
			}
		}
	}
}

// relocate requests the loads, and returns false once there are none.
func (n *notices) relocate(now time.Time) (pending bool) {
	for _, notice := range n.node.view.LeavingNotices() {
		if now.Sub(notice.Since) < relocateTime {
			pending = n.node.forwarder.Relocate(now, notice.Service, notice.ServerID) || pending
		}
	}
	return pending
}

// leastSuspension is the difference between the two clocks that counts as a suspension of the VM.
const leastSuspension = 50 * time.Millisecond

// checkSuspension shortens the rests of servers by the time for which the VM was suspended. It's called by one goroutine. boot is
// the reading of bootTime.
func (n *notices) checkSuspension(now time.Time, boot time.Duration) {
	suspended := boot - n.checkedBootTime - now.Sub(n.checkedAt)
	if !n.checkedAt.IsZero() && suspended >= leastSuspension {
		n.node.view.NoteSuspension(n.checkedAt, suspended)
	}
	n.checkedAt, n.checkedBootTime = now, boot
}

// updateGauges counts the servers that say that they leave or rest.
func (n *notices) updateGauges(now time.Time) {
	leaving, resting := n.node.view.NoticeCounts(now)
	n.metrics.serversLeaving.Update(int64(leaving))
	n.metrics.serversResting.Update(int64(resting))
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
