package node

import (
	"context"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/slotdispatch"
)

const (
	// slotSilence is how long a dispatcher may leave a request unanswered before the node chooses by itself.
	slotSilence = 40 * time.Millisecond
	// brittleSlotSilence is slotSilence where a server is brittle: by its own choice a node gets next to nothing there. It
	// doesn't apply again while the dispatcher counts as silent.
	brittleSlotSilence = 200 * time.Millisecond
	// slotResendInterval is the time between two messages of a request without an answer.
	slotResendInterval = 15 * time.Millisecond
	// queuedSlotInterval is slotResendInterval for a request that the dispatcher has queued.
	queuedSlotInterval = 60 * time.Millisecond
	// unreadSlotAnswers bounds the answers to one request that wait to be read; dispatchers repeat them.
	unreadSlotAnswers = 4
)

// slotOutcome is the result of a request for a slot.
type slotOutcome uint8

const (
	// slotAlone means that the node chooses by itself.
	slotAlone slotOutcome = iota
	slotAssigned
	slotRefused
	// slotAbandoned means that the request's context has ended.
	slotAbandoned
)

// slotCall is one request to the dispatcher of a service.
type slotCall struct {
	slots      *slots
	id         uint64
	use        *slotUse
	request    forward.SlotRequest
	answers    <-chan slotAnswer
	dispatcher string
	begun      time.Time
}

// await sends the request until it's answered.
func (c *slotCall) await(ctx context.Context) (slotAnswer, slotOutcome) {
	dispatcher, silent := c.slots.dispatcherOf(c.begun, c.request.Service)
	brittle := slices.ContainsFunc(c.request.Candidates, func(s serverview.Candidate) bool { return s.Brittle })
	if dispatcher == "" || silent && !brittle {
		return slotAnswer{}, slotAlone
	}
	c.dispatcher = dispatcher
	resend := time.NewTimer(slotResendInterval)
	defer resend.Stop()
	unheard := c.slots.silence
	if brittle && !silent {
		unheard = max(unheard, min(brittleSlotSilence, c.request.Patience))
	}
	heardAt, interval, silence := c.begun, slotResendInterval, unheard
	c.send()
	for {
		select {
		case answer := <-c.answers:
			switch {
			case answer.Server != "":
				return answer, slotAssigned
			case answer.Unusable:
				return answer, slotAlone
			case !answer.Queued:
				return answer, slotRefused
			}
			heardAt, interval, silence = time.Now(), queuedSlotInterval, queuedSlotInterval+unheard
			resend.Reset(interval)
		case <-resend.C:
			waited := time.Since(heardAt)
			if waited >= silence {
				c.slots.noteSilence(c.request.Service, c.dispatcher, waited)
				return slotAnswer{}, slotAlone
			}
			c.send()
			resend.Reset(min(interval, silence-time.Since(heardAt)))
		case <-ctx.Done():
			return slotAnswer{}, slotAbandoned
		}
	}
}

// send sends the request with the times that remain, and what else the dispatcher has to know.
func (c *slotCall) send() {
	now := time.Now()
	request := slotdispatch.Request{
		ID: c.id, Priority: c.request.Priority, Customer: c.request.Customer, Excluded: c.request.Excluded,
		Patience: max(c.request.Patience-now.Sub(c.begun), 0), Lifetime: untilDeadline(now, c.use.deadline),
	}
	s := c.slots
	s.mu.Lock()
	c.use.dispatcher = c.dispatcher
	peer := slotPeer{c.dispatcher, c.request.Service}
	message := s.takeUnsent(peer)
	s.addUses(now, peer, message)
	s.mu.Unlock()
	message.Ask = peerlink.NewSlotAsk(request)
	message.Tolerances = s.node.tolerances.encode(now, c.request.Service)
	s.send(message, c.dispatcher)
}
