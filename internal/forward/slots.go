package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Slots assigns the slots of plain services' servers to the requests of all nodes.
type Slots interface {
	// Acquire asks for a slot and waits for it up to the request's patience. A slot without a server means that this node
	// chooses by itself. Without ok the request gets no slot in time, or ctx has ended.
	Acquire(ctx context.Context, request SlotRequest) (slot Slot, refusal SlotRefusal, ok bool)
}

// SlotRequest asks for a slot at one of the candidates that aren't excluded.
type SlotRequest struct {
	Service    string
	Candidates []serverview.Candidate
	Excluded   []string
	Priority   int
	Customer   string
	// Patience is how long the request waits at most, Lifetime the time until its deadline, 0 without one.
	Patience time.Duration
	Lifetime time.Duration
}

// Slot is the place of one request at a server.
type Slot struct {
	// Server is the ID of the assigned server; empty when this node chooses by itself.
	Server string
	// Dispatcher is the peer address of the node that has answered, and Waited the time until then, for the log.
	Dispatcher string
	Waited     time.Duration
	// Choose records the server that this node has chosen, and reports whether it may send the request there; nil if nobody
	// has to know.
	Choose func(server serverview.Candidate) bool
	// End gives the slot back; nil if there is nothing to give back. work is the time that the server spent on the request,
	// 0 if it wasn't processed. full says that the server rejected it because its slots were in use.
	End func(work time.Duration, full bool)
}

// SlotRefusal says when a request without a slot should be retried, and why.
type SlotRefusal struct {
	TurnIn time.Duration
	// Dispatcher is the peer address of the node that decided, Ahead the number of requests that are served first, and
	// PerSecond the rate at which slots return.
	Dispatcher string
	Ahead      int
	PerSecond  float64
}

// heldSlot is a slot with what its end has to report.
type heldSlot struct {
	Slot
	// answeredAt is when the header of the answer arrived; zero without an answer, or if the server didn't run the request.
	answeredAt time.Time
	full       bool
}

// noteNotRun records that the server didn't run the request.
func (s *heldSlot) noteNotRun(status int) {
	s.answeredAt = time.Time{}
	s.full = status == http.StatusServiceUnavailable
}

// awaitSlot gets the server for the next send to a plain service from its dispatcher. It returns false in decided if this
// node has to choose by itself. If it waited, it updates the candidates.
func (j *job) awaitSlot(candidates *[]serverview.Candidate) (assigned serverview.Candidate, decided, ok bool) {
	j.releaseSlot()
	choices := modelpick.PlainChoices(*candidates, j.query(0))
	if !j.asksDispatcher(choices) {
		return assigned, false, false
	}
	slot, refusal, ok := j.f.options.Slots.Acquire(j.ctx, SlotRequest{
		Service: j.service.Name, Candidates: *candidates, Excluded: excluded(*candidates, choices), Priority: j.rank(),
		Customer: j.customerName(), Patience: j.remainingWait(), Lifetime: j.remaining(),
	})
	switch {
	case !ok && j.ctx.Err() != nil:
		j.refuseUnserved(ReasonWaitedTooLong)
		return assigned, true, false
	case !ok:
		j.refuseSlot(refusal)
		return assigned, true, false
	}
	j.slot = heldSlot{Slot: slot}
	j.slotFields = slot.logFields()
	if slot.End != nil {
		*candidates = j.f.options.View.Candidates(time.Now(), j.service.Name, serving.Adapter{})
	}
	if slot.Server == "" {
		return assigned, false, false
	}
	// The server is checked again, as the dispatcher may know less about it, and it may have begun to leave meanwhile.
	choices = modelpick.PlainChoices(*candidates, j.query(0))
	i := slices.IndexFunc(choices, func(c serverview.Candidate) bool { return c.ID == slot.Server })
	if i < 0 || choices[i].Unreachable {
		return assigned, false, false
	}
	return choices[i], true, true
}

// asksDispatcher reports whether a slot is needed for one of the servers that can get the request now.
func (j *job) asksDispatcher(choices []serverview.Candidate) bool {
	return j.f.options.Slots != nil && len(choices) > 0 && !choices[0].Unreachable
}

// logFields returns the log fields about the slot; none if the service has no dispatcher.
func (s Slot) logFields() event.Fields {
	if s.End == nil {
		return nil
	}
	return event.Fields{
		"dispatcher": s.Dispatcher, "slotWaitMs": s.Waited.Milliseconds(), "assigned": s.Server != "",
	}
}

// excluded returns the IDs of the candidates that aren't choices.
func excluded(candidates, choices []serverview.Candidate) (ids []string) {
	for _, c := range candidates {
		if !slices.ContainsFunc(choices, func(choice serverview.Candidate) bool { return choice.ID == c.ID }) {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// pickPlain chooses a server by this node's own view and records the choice. barred is true when there are only servers to
// which the node mustn't send without their dispatcher.
func (j *job) pickPlain(candidates []serverview.Candidate) (chosen serverview.Candidate, found, barred bool) {
	for {
		chosen, found = modelpick.Plain(candidates, j.query(0), newRandom())
		if !found || chosen.Unreachable || j.slot.Choose == nil || j.slot.Choose(chosen) {
			return chosen, found, barred && !found
		}
		barred = true
		candidates = slices.DeleteFunc(candidates, func(c serverview.Candidate) bool { return c.ID == chosen.ID })
	}
}

// releaseSlot gives the slot back, if the request has one.
func (j *job) releaseSlot() {
	slot := j.slot
	j.slot = heldSlot{}
	if slot.End == nil {
		return
	}
	work := time.Duration(0)
	if !slot.answeredAt.IsZero() {
		work = time.Since(j.sentAt)
	}
	slot.End(work, slot.full)
}

// turnJitter is the largest random addition to the time of a turn, as a share. Turns are spread already; earlier retries
// would find no slot.
const turnJitter = 0.15

// spreadTurn adds the jitter to the time of a turn.
func spreadTurn(in time.Duration) time.Duration {
	return time.Duration((1 + turnJitter*rand.Float64()) * float64(in))
}

// refuseSlot answers a request that gets no slot in time, with the time at which its turn would come.
func (j *job) refuseSlot(refusal SlotRefusal) {
	j.inputs = event.Fields{
		"turnInMs": refusal.TurnIn.Milliseconds(), "dispatcher": refusal.Dispatcher, "ahead": refusal.Ahead,
		"slotsPerSecond": refusal.PerSecond,
	}
	retryAfter := spreadTurn(refusal.TurnIn)
	if !j.deadline.IsZero() {
		retryAfter = min(retryAfter, time.Duration(retryAfterShare*float64(j.remaining())))
	}
	j.refuseUntil(ReasonSlotsInUse, retryAfter)
}
