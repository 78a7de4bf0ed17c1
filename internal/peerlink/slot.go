package peerlink

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/slotdispatch"
)

// SlotMessage is about the slots of a plain service. Keys are short, as such a message is sent three times per request.
type SlotMessage struct {
	Service string `json:"s"`
	// Ask asks the dispatcher of the service for a slot.
	Ask *SlotAsk `json:"q,omitempty"`
	// Uses are slots that the sender uses and of which the dispatcher may not know, Ends the requests that have ended.
	Uses []SlotUse `json:"u,omitempty"`
	Ends []SlotEnd `json:"e,omitempty"`
	// Answers are those of the dispatcher. Instance differs for each new dispatcher.
	Answers  []SlotAnswer `json:"a,omitempty"`
	Instance int64        `json:"n,omitempty"`
	// Tolerances are those of the service's brittle servers.
	Tolerances []Tolerance `json:"t,omitempty"`
}

// SlotAsk asks for a slot for one request. Times are those that remain.
type SlotAsk struct {
	ID         uint64   `json:"i"`
	Priority   int      `json:"p,omitempty"`
	Customer   string   `json:"c,omitempty"`
	PatienceMs int64    `json:"t,omitempty"`
	LifetimeMs int64    `json:"l,omitempty"`
	Excluded   []string `json:"x,omitempty"`
}

// NewSlotAsk encodes a request.
func NewSlotAsk(request slotdispatch.Request) *SlotAsk {
	return &SlotAsk{
		ID: request.ID, Priority: request.Priority, Customer: request.Customer, Excluded: request.Excluded,
		PatienceMs: request.Patience.Milliseconds(), LifetimeMs: request.Lifetime.Milliseconds(),
	}
}

// Decode returns the request of a node. Negative values of a faulty peer count as zero.
func (a SlotAsk) Decode(node, zone string) slotdispatch.Request {
	return slotdispatch.Request{
		Node: node, ID: a.ID, Zone: zone, Priority: a.Priority, Customer: a.Customer, Excluded: a.Excluded,
		Patience: milliseconds(a.PatienceMs), Lifetime: milliseconds(a.LifetimeMs),
	}
}

// SlotUse is a slot in use.
type SlotUse struct {
	ID         uint64 `json:"i"`
	Server     string `json:"s"`
	LifetimeMs int64  `json:"l,omitempty"`
}

// Decode returns the use of a node.
func (u SlotUse) Decode(node string) slotdispatch.Use {
	return slotdispatch.Use{Node: node, ID: u.ID, Server: u.Server, Lifetime: milliseconds(u.LifetimeMs)}
}

// SlotEnd ends a request, whether it uses a slot, waits for one or got none.
type SlotEnd struct {
	ID uint64 `json:"i"`
	// WorkUs is the time from the send to the end of the answer, in microseconds; it's left out if nothing was processed.
	WorkUs int64 `json:"w,omitempty"`
	// Full is true when the server rejected the request because its slots were in use.
	Full bool `json:"f,omitempty"`
}

// Decode returns the end without the request's ID.
func (e SlotEnd) Decode() slotdispatch.End {
	return slotdispatch.End{Work: time.Duration(max(e.WorkUs, 0)) * time.Microsecond, Full: e.Full}
}

// SlotAnswer answers a request by its ID.
type SlotAnswer struct {
	ID     uint64 `json:"i"`
	Server string `json:"s,omitempty"`
	Queued bool   `json:"q,omitempty"`
	// Unusable is true when the sender isn't the dispatcher, or knows no server that the request can use.
	Unusable  bool    `json:"x,omitempty"`
	TurnInMs  int64   `json:"t,omitempty"`
	Ahead     int     `json:"h,omitempty"`
	PerSecond float64 `json:"v,omitempty"`
}

// NewSlotAnswer encodes an answer.
func NewSlotAnswer(id uint64, answer slotdispatch.Answer) SlotAnswer {
	encoded := SlotAnswer{ID: id, Server: answer.Server, Queued: answer.Queued, Unusable: answer.Unusable}
	if answer.TurnIn > 0 {
		// The time isn't rounded to zero, which would be no time.
		encoded.TurnInMs = max(answer.TurnIn.Milliseconds(), 1)
		encoded.Ahead, encoded.PerSecond = answer.Ahead, answer.PerSecond
	}
	return encoded
}

// Decode returns the answer without its ID.
func (a SlotAnswer) Decode() slotdispatch.Answer {
	return slotdispatch.Answer{
		Server: a.Server, Queued: a.Queued, Unusable: a.Unusable, TurnIn: milliseconds(a.TurnInMs), Ahead: a.Ahead,
		PerSecond: a.PerSecond,
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(max(ms, 0)) * time.Millisecond }
