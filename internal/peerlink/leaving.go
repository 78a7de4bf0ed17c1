package peerlink

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

// LeavingServer is an incarnation of a server that says in its answers that it leaves.
type LeavingServer struct {
	ServerID string `json:"s"`
	Born     int64  `json:"b,omitempty"`
	Address  string `json:"a"`
	// AgoMs is the time since an answer first said so at a node; the clocks of nodes differ.
	AgoMs int64 `json:"g,omitempty"`
}

// NewLeavingServer encodes a notice.
func NewLeavingServer(now time.Time, notice serverview.LeavingNotice) LeavingServer {
	return LeavingServer{
		ServerID: notice.ServerID, Born: notice.Born, Address: notice.Address, AgoMs: now.Sub(notice.Since).Milliseconds(),
	}
}

// Decode returns the notice that was received at a time. A negative age of a faulty peer counts as zero.
func (l LeavingServer) Decode(now time.Time) serverview.LeavingNotice {
	return serverview.LeavingNotice{
		ServerID: l.ServerID, Born: l.Born, Address: l.Address, Since: ago(now, max(l.AgoMs, 0)),
	}
}
