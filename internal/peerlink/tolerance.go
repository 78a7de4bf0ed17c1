package peerlink

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

// Tolerance is the rate of rejections that a brittle server names. The time is relative, as the clocks of nodes differ.
type Tolerance struct {
	ServerID string `json:"s"`
	Born     int64  `json:"b,omitempty"`
	// PerSecond is the tolerance in requests a second.
	PerSecond  float64 `json:"v"`
	NamedAgoMs int64   `json:"r"`
}

// NewTolerance encodes a notice.
func NewTolerance(now time.Time, notice serverview.ToleranceNotice) Tolerance {
	return Tolerance{
		ServerID: notice.ServerID, Born: notice.Born, PerSecond: notice.PerSecond,
		NamedAgoMs: now.Sub(notice.NamedAt).Milliseconds(),
	}
}

// Decode returns the notice that was received at a time. Negative values of a faulty peer count as zero.
func (t Tolerance) Decode(now time.Time) serverview.ToleranceNotice {
	return serverview.ToleranceNotice{
		ServerID: t.ServerID, Born: t.Born, PerSecond: max(t.PerSecond, 0), NamedAt: now.Add(-milliseconds(t.NamedAgoMs)),
	}
}

// Rejection says that a brittle server rejected a request for want of room.
type Rejection struct {
	ServerID string `json:"s"`
	Born     int64  `json:"b,omitempty"`
}
