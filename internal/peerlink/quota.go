package peerlink

import (
	"math"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/quota"
)

// QuotaAsk encodes a quota.Ask.
type QuotaAsk struct {
	Customer  string  `json:"c"`
	ID        uint64  `json:"i"`
	Cost      float64 `json:"n,omitempty"`
	Ahead     float64 `json:"w,omitempty"`
	Left      float64 `json:"l,omitempty"`
	Share     float64 `json:"s,omitempty"`
	Continued float64 `json:"u,omitempty"`
	Priority  int     `json:"p,omitempty"`
	// ShortMs is by how much the patience falls short of usualPatience, so that most requests don't carry it.
	ShortMs int64 `json:"t,omitempty"`
}

const usualPatience = 100 * time.Millisecond

// NewQuotaAsk encodes a request.
func NewQuotaAsk(a quota.Ask) QuotaAsk {
	return QuotaAsk{
		Customer: a.Customer, ID: a.ID, Cost: a.Cost, Ahead: a.Ahead, Left: a.Left, Share: a.Share,
		Continued: a.Continued, Priority: a.Priority, ShortMs: (usualPatience - a.Patience).Milliseconds(),
	}
}

// Decode returns the request. Negative values of a faulty peer count as zero.
func (a QuotaAsk) Decode() quota.Ask {
	return quota.Ask{
		Customer: a.Customer, ID: a.ID, Cost: max(a.Cost, 0), Ahead: max(a.Ahead, 0), Left: max(a.Left, 0),
		Share: max(a.Share, 0), Continued: max(a.Continued, 0), Priority: a.Priority,
		Patience: max(usualPatience-time.Duration(a.ShortMs)*time.Millisecond, 0),
	}
}

// QuotaAnswer encodes a quota.Answer.
type QuotaAnswer struct {
	ID       uint64  `json:"i"`
	Granted  float64 `json:"g,omitempty"`
	Queued   bool    `json:"q,omitempty"`
	RoomInMs int64   `json:"t,omitempty"`
	Tight    bool    `json:"n,omitempty"`
}

// NewQuotaAnswer encodes an answer. The time until there is room is rounded up, as it's zero only for other answers.
func NewQuotaAnswer(a quota.Answer) QuotaAnswer {
	return QuotaAnswer{
		ID: a.ID, Granted: a.Granted, Queued: a.Queued, RoomInMs: int64(math.Ceil(1000 * a.RoomIn.Seconds())), Tight: a.Tight,
	}
}

// Decode returns the answer.
func (a QuotaAnswer) Decode() quota.Answer {
	return quota.Answer{
		ID: a.ID, Granted: max(a.Granted, 0), Queued: a.Queued, RoomIn: time.Duration(max(a.RoomInMs, 0)) * time.Millisecond,
		Tight: a.Tight,
	}
}

// QuotaReturn encodes a quota.Return.
type QuotaReturn struct {
	Customer string  `json:"c"`
	ID       uint64  `json:"i,omitempty"`
	Amount   float64 `json:"n,omitempty"`
	Release  bool    `json:"r,omitempty"`
}

// NewQuotaReturn encodes a return.
func NewQuotaReturn(r quota.Return) QuotaReturn { return QuotaReturn(r) }

// Decode returns the return.
func (r QuotaReturn) Decode() quota.Return { return quota.Return(r) }
