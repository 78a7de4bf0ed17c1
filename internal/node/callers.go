package node

import (
	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/intake"
)

const (
	// callerBodiesShare is the share of the configured memory for the bodies of callers' requests.
	callerBodiesShare = 0.15
	// callerHeadsShare is the share of the configured memory for the heads of callers' requests.
	callerHeadsShare = 0.05
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

// peerConnections returns how many connections other nodes may open.
func (s *Settings) peerConnections() int { return int(peerDescriptorsShare * float64(s.Descriptors)) }

// connectionLimits returns the limits of a listener with so many connections. The heads of the requests of all listeners share a budget.
func (s *Settings) connectionLimits(connections int, heads *bytelimit.Budget, events *event.Log) connset.Options {
	return connset.Options{Limit: connections, WriteTimeout: s.Callers.AnswerStall.Std(), Heads: heads, Events: events}
}

// headBudget returns the budget of the heads of all requests.
func (s *Settings) headBudget() *bytelimit.Budget {
	return connset.NewHeadBudget(connset.CallersHeads, s.shareOf(s.Callers.HeadsMB, callerHeadsShare))
}

// shareOf returns a number of bytes that is configured in MB, or else the given share of the memory.
func (s *Settings) shareOf(configuredMB int, share float64) int64 {
	if configuredMB > 0 {
		return int64(configuredMB) * megabyte
	}
	return int64(share * float64(s.MemoryMB) * megabyte)
}

// bodyLimits returns the limits of the bodies of all requests.
func (s *Settings) bodyLimits(events *event.Log) intake.Limits {
	return intake.Limits{
		Bytes: s.shareOf(s.Callers.BodiesMB, callerBodiesShare), Stall: s.Callers.BodyStall.Std(), Timeout: s.Callers.BodyTimeout.Std(),
		DelimiterRate: s.Callers.DelimiterKBps * kilobyte, Events: events,
	}
}
