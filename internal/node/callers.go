package node

import (
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/intake"
)

const (
	// callerBodiesShare is the share of the configured memory for the bodies of callers' requests.
	callerBodiesShare = 0.15
	kilobyte          = 1 << 10
	megabyte          = 1 << 20
)

// bodyLimits returns the limits of the bodies of all requests.
func (s *Settings) bodyLimits(events *event.Log) intake.Limits {
	bytes := int64(s.Callers.BodiesMB) * megabyte
	if bytes == 0 {
		bytes = int64(callerBodiesShare * float64(s.MemoryMB) * megabyte)
	}
	return intake.Limits{
		Bytes: bytes, Events: events,
	}
}
