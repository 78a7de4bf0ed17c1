package peerlink

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/requestlimit"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

// LimitNotice is what an answer of a server said about its limit. Times are relative, as the clocks of nodes differ.
type LimitNotice struct {
	ServerID string `json:"s"`
	Born     int64  `json:"b,omitempty"`
	Limited  bool   `json:"l,omitempty"`
	// PerSecond is the limit in requests a second.
	PerSecond      float64 `json:"v,omitempty"`
	RequestedAgoMs int64   `json:"q"`
	ReceivedAgoMs  int64   `json:"r"`
}

// NewLimitNotice encodes a notice.
func NewLimitNotice(now time.Time, notice serverview.LimitNotice) LimitNotice {
	return LimitNotice{
		ServerID: notice.ServerID, Born: notice.Born, Limited: notice.Limited, PerSecond: notice.PerSecond,
		RequestedAgoMs: now.Sub(notice.RequestedAt).Milliseconds(),
		ReceivedAgoMs:  now.Sub(notice.ReceivedAt).Milliseconds(),
	}
}

// Decode returns the notice that was received at a time. Negative values of a faulty peer count as zero.
func (n LimitNotice) Decode(now time.Time) serverview.LimitNotice {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond) }
	return serverview.LimitNotice{ServerID: n.ServerID, Born: n.Born, Notice: requestlimit.Notice{
		Limited: n.Limited, PerSecond: max(n.PerSecond, 0),
		RequestedAt: ago(n.RequestedAgoMs), ReceivedAt: ago(n.ReceivedAgoMs),
	}}
}

// LimitRequest asks the coordinator of a server's limit for the leave to send one request there.
type LimitRequest struct {
	ServerID   string `json:"s"`
	ID         uint64 `json:"i"`
	Priority   int    `json:"p,omitempty"`
	PatienceMs int64  `json:"t,omitempty"`
}

// Decode returns the request of a node.
func (r LimitRequest) Decode(node string) requestlimit.Request {
	return requestlimit.Request{
		Node: node, ID: r.ID, Priority: r.Priority, Patience: time.Duration(r.PatienceMs) * time.Millisecond,
	}
}

// LimitReturn ends a request that was not sent, granted or not.
type LimitReturn struct {
	ServerID string `json:"s"`
	ID       uint64 `json:"i"`
}

// LimitAnswer answers a request by its ID.
type LimitAnswer struct {
	ID       uint64 `json:"i"`
	Granted  bool   `json:"g,omitempty"`
	Queued   bool   `json:"q,omitempty"`
	RoomInMs int64  `json:"t,omitempty"`
}

// NewLimitAnswer encodes an answer.
func NewLimitAnswer(id uint64, answer requestlimit.Answer) LimitAnswer {
	return LimitAnswer{
		ID: id, Granted: answer.Granted, Queued: answer.Queued, RoomInMs: answer.RoomIn.Milliseconds(),
	}
}

// Decode returns the answer without its ID.
func (a LimitAnswer) Decode() requestlimit.Answer {
	return requestlimit.Answer{
		Granted: a.Granted, Queued: a.Queued, RoomIn: time.Duration(max(a.RoomInMs, 0)) * time.Millisecond,
	}
}
