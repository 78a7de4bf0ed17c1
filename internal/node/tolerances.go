package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/brittle"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// tolerances knows which servers are brittle: they name in their answers how many requests a second they can reject for want
// of room without falling over. It implements forward.Tolerances.
type tolerances struct {
	node    *Node
	metrics toleranceMetrics

	mu sync.Mutex
	// places holds this node's places at brittle servers without a coordinator, by the server's ID.
	places map[string]*brittle.Places
	// alone counts this node's requests to model servers without their holders, by the server's ID.
	alone map[string]int
}

// toleranceMetrics counts the answers that name a tolerance and those whose tolerance can't be used, and the rejections by
// brittle servers of requests of this node, by whether a coordinator had assigned the server or admitted the request there.
type toleranceMetrics struct{ named, invalid, rejectedAssigned, rejectedAlone metrics.Counter }

func newTolerances(node *Node) *tolerances {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("tolerances."+name, nil) }
	return &tolerances{
		node: node, places: make(map[string]*brittle.Places), alone: make(map[string]int),
		metrics: toleranceMetrics{
			named: counter("named"), invalid: counter("invalid"),
			rejectedAssigned: counter("rejected.assigned"), rejectedAlone: counter("rejected.alone"),
		},
	}
}

// observe applies what an answer says about its server's tolerance.
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

// Rejected implements forward.Tolerances. All nodes are told, as each may coordinate the server or send to it.
func (t *tolerances) Rejected(server serverview.Candidate, assigned bool) {
	if assigned {
		t.metrics.rejectedAssigned.Inc(1)
	} else {
		t.metrics.rejectedAlone.Inc(1)
	}
	now, rejections := time.Now(), []peerlink.Rejection{{ServerID: server.ID, Born: server.Born}}
	t.noteRejections(now, rejections)
	message := peerlink.Message{Rejections: rejections, Relayed: t.node.leases.isReader()}
	t.node.link.Send(message, t.node.peers.alive(now)...)
}

// handleMessage applies the rejections that another node has got. Readers, to which all nodes are known, pass them on.
func (t *tolerances) handleMessage(now time.Time, message peerlink.Message) {
	if len(message.Rejections) == 0 {
		return
	}
	t.noteRejections(now, message.Rejections)
	if message.Relayed || !t.node.leases.isReader() {
		return
	}
	others := slices.DeleteFunc(t.node.peers.alive(now), func(peer string) bool { return peer == message.From })
	t.node.link.Send(peerlink.Message{Rejections: message.Rejections, Relayed: true}, others...)
}

func (t *tolerances) noteRejections(now time.Time, rejections []peerlink.Rejection) {
	for _, rejection := range rejections {
		if t.node.view.NoteRejection(now, rejection.ServerID, rejection.Born) {
			t.node.slots.roomChanged()
		}
	}
}

// encode returns the tolerances of a service's servers for another node.
func (t *tolerances) encode(now time.Time, service string) (encoded []peerlink.Tolerance) {
	for _, notice := range t.node.view.Tolerances(now, service) {
		encoded = append(encoded, peerlink.NewTolerance(now, notice))
	}
	return encoded
}

// noteAll applies the tolerances that another node knows.
func (t *tolerances) noteAll(now time.Time, from string, received []peerlink.Tolerance) {
	for _, tolerance := range received {
		t.note(now, tolerance.Decode(now), from)
	}
}

// mayChoose reports whether this node, with a number of requests in progress at a server, may send it another one without a
// coordinator: to a brittle server only within its share of the room, and not while its rejections are near its tolerance. At
// a crowded one it needs a place.
func (t *tolerances) mayChoose(now time.Time, c serverview.Candidate, inProgress int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayChooseLocked(now, c, inProgress)
}

func (t *tolerances) mayChooseLocked(now time.Time, c serverview.Candidate, inProgress int) bool {
	switch nodes := t.node.peers.count(); {
	case !c.Brittle:
		return true
	case now.Before(c.ClosedUntil):
		return false
	case !c.Crowded:
		return inProgress < max(c.Room/nodes, 1)
	default:
		return t.placesAt(now, c.ID).Take(now, c.Tolerance, nodes)
	}
}

// beginAlone is mayChoose for a model server whose holder doesn't answer. finish ends the request.
func (t *tolerances) beginAlone(now time.Time, c serverview.Candidate) (finish func(accepted bool), ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.mayChooseLocked(now, c, t.alone[c.ID]) {
		return nil, false
	}
	t.alone[c.ID]++
	return func(accepted bool) {
		t.mu.Lock()
		if t.alone[c.ID]--; t.alone[c.ID] == 0 {
			delete(t.alone, c.ID)
		}
		t.mu.Unlock()
		if accepted {
			t.ended(time.Now(), c.ID)
		}
	}, true
}

// ended records that a brittle server processed a request that this node had sent without a coordinator.
func (t *tolerances) ended(now time.Time, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, brittle := t.node.view.Tolerance(now, server); brittle {
		t.placesAt(now, server).Ended(now)
	}
}

// placesAt returns this node's places at a server. The caller holds t.mu.
func (t *tolerances) placesAt(now time.Time, server string) *brittle.Places {
	places := t.places[server]
	if places == nil {
		places = brittle.NewPlaces(now, rand.Float64())
		t.places[server] = places
	}
	return places
}

// prune removes the places at servers that aren't brittle any more.
func (t *tolerances) prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server := range t.places {
		if _, brittle := t.node.view.Tolerance(now, server); !brittle {
			delete(t.places, server)
		}
	}
}
