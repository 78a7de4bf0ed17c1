package node

import (
	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/intake"
)

const (
	// callerBodiesShare is the share of the configured memory for the bodies of callers' requests.
	callerBodiesShare = 0.15
	// callerConnectionsShare is the share of the configured memory for the buffers of callers' connections.
	callerConnectionsShare = 1.0 / 6
	// callerDescriptorsShare is the share of the descriptors for callers' connections, peerDescriptorsShare for those of other nodes.
	// The rest is for servers, the store and files.
	callerDescriptorsShare = 0.45
	peerDescriptorsShare   = 0.1
	// auxiliaryConnections bounds the connections for readiness probes, and those for administration.
	auxiliaryConnections = 64
	// bufferFactor is how much larger Linux makes a buffer than its configured size.
	bufferFactor = 2
	kilobyte     = 1 << 10
	megabyte     = 1 << 20
)

// callerConnections returns how many connections callers may open.
func (s *Settings) callerConnections() int {
	if s.Callers.Connections > 0 {
		return s.Callers.Connections
	}
	byMemory := callerConnectionsShare * float64(s.MemoryMB) * megabyte / float64(bufferFactor*s.Callers.BufferKB*kilobyte)
	return max(1, int(min(byMemory, callerDescriptorsShare*float64(s.Descriptors))))
}

// connectionLimits returns the limits of the callers' connections.
func (s *Settings) connectionLimits(events *event.Log) connset.Options {
	return connset.Options{Limit: s.callerConnections(), WriteTimeout: s.Callers.AnswerStall.Std(), Events: events}
}

// peerConnectionLimits returns the limits of the other nodes' connections.
func (s *Settings) peerConnectionLimits(events *event.Log) connset.Options {
	return connset.Options{
		Limit: int(peerDescriptorsShare * float64(s.Descriptors)), WriteTimeout: s.Callers.AnswerStall.Std(), Events: events,
	}
}

// bodyLimits returns the limits of the bodies of all requests.
func (s *Settings) bodyLimits(events *event.Log) intake.Limits {
	bytes := int64(s.Callers.BodiesMB) * megabyte
	if bytes == 0 {
		bytes = int64(callerBodiesShare * float64(s.MemoryMB) * megabyte)
	}
	return intake.Limits{
		Bytes: bytes, Stall: s.Callers.BodyStall.Std(), Timeout: s.Callers.BodyTimeout.Std(),
		DelimiterRate: s.Callers.DelimiterKBps * kilobyte, Events: events,
	}
}
