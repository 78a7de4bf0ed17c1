package peerlink

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/streamorigin"
)

// OriginRecord is the origin of a stream.
type OriginRecord struct {
	Request         string `json:"r"`
	Service         string `json:"s"`
	SoftwareVersion string `json:"v"`
	// RemainingMs is how long the stream may still be resumed.
	RemainingMs int64 `json:"t"`
}

// NewOriginRecord encodes an origin. The remaining time is relative, as the clocks of nodes differ.
func NewOriginRecord(now time.Time, origin streamorigin.Origin) OriginRecord {
	return OriginRecord{
		Request: origin.Request, Service: origin.Service, SoftwareVersion: origin.SoftwareVersion,
		RemainingMs: origin.Until.Sub(now).Milliseconds(),
	}
}

// Decode returns the origin that was received at a time.
func (r OriginRecord) Decode(now time.Time) streamorigin.Origin {
	return streamorigin.Origin{
		Request: r.Request, Service: r.Service, SoftwareVersion: r.SoftwareVersion,
		Until: now.Add(time.Duration(r.RemainingMs) * time.Millisecond),
	}
}

// OriginQuery asks where the stream of a request began.
type OriginQuery struct {
	ID      uint64 `json:"i"`
	Request string `json:"r"`
	// Service is the only service at which the stream can have begun; empty if there are several.
	Service string `json:"s,omitempty"`
	// MaximumAgeMs bounds how long ago the stream can have begun.
	MaximumAgeMs int64 `json:"t"`
}

// OriginAnswer is the answer to a query.
type OriginAnswer struct {
	// ID is the ID of the query.
	ID uint64 `json:"i"`
	// Basis has the values of streamorigin.Basis.
	Basis           uint8  `json:"b,omitempty"`
	Service         string `json:"s,omitempty"`
	SoftwareVersion string `json:"v,omitempty"`
}

// NewOriginAnswer encodes the answer to a query.
func NewOriginAnswer(id uint64, answer streamorigin.Answer) OriginAnswer {
	return OriginAnswer{
		ID: id, Basis: uint8(answer.Basis), Service: answer.Service, SoftwareVersion: answer.SoftwareVersion,
	}
}

// Decode returns the answer without the ID of its query. A basis that this release doesn't know counts as unknown.
func (a OriginAnswer) Decode() streamorigin.Answer {
	basis := streamorigin.Basis(a.Basis)
	if basis > streamorigin.Recorded {
		return streamorigin.Answer{}
	}
	return streamorigin.Answer{Basis: basis, Service: a.Service, SoftwareVersion: a.SoftwareVersion}
}
