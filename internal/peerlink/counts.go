package peerlink

import "github.com/rcrowley/go-metrics"

// Kinds of messages in the metrics. A message with several contents counts as the first of them that it has.
const (
	kindStates      = "states"
	kindDigest      = "digest"
	kindUsage       = "usage"
	kindAdmission   = "admission"
	kindOrigins     = "origins"
	kindUnreachable = "unreachable"
	kindLimits      = "limits"
	kindQuotas      = "quotas"
	kindEnds        = "ends"
	kindArrivals    = "arrivals"
	kindSlots       = "slots"
	kindKeys        = "keys"
	kindLeaving     = "leaving"
	kindKeepAlive   = "keepalive"
)

// kind returns what the message is mainly about.
func (m *Message) kind() string {
	switch {
	case len(m.States) > 0:
		return kindStates
	case m.Digest != nil:
		return kindDigest
	case len(m.Usage) > 0:
		return kindUsage
	case m.AdmissionRequest != nil, m.AdmissionRelease != nil, len(m.Granted)+len(m.Queued) > 0:
		return kindAdmission
	case m.OriginQuery != nil, m.OriginAnswer != nil, len(m.Origins) > 0:
		return kindOrigins
	case len(m.UnreachableServers)+len(m.Takers) > 0:
		return kindUnreachable
	case m.LimitRequest != nil, m.LimitReturn != nil, len(m.LimitNotices)+len(m.LimitAnswers)+len(m.Rejections) > 0:
		return kindLimits
	case len(m.Leaving) > 0:
		return kindLeaving
	case len(m.QuotaAsks)+len(m.QuotaReturns)+len(m.QuotaAnswers) > 0:
		return kindQuotas
	case len(m.ServerEnds)+len(m.BlockedParts)+len(m.AcquittedParts) > 0:
		return kindEnds
	case len(m.Arrived) > 0:
		return kindArrivals
	case m.Slots != nil:
		return kindSlots
	case m.KeyChallenge != nil, m.KeyAnswer != nil:
		return kindKeys
	}
	return kindKeepAlive
}

// traffic counts the datagrams of each kind and the bytes of all in one direction.
type traffic struct {
	byKind map[string]metrics.Counter
	bytes  metrics.Counter
}

// newTraffic returns the counters "peerlink.<direction>.<kind>" and "peerlink.<direction>Bytes".
func newTraffic(direction string) traffic {
	t := traffic{
		byKind: make(map[string]metrics.Counter), bytes: metrics.GetOrRegisterCounter("peerlink."+direction+"Bytes", nil),
	}
	for _, kind := range []string{
		kindStates, kindDigest, kindUsage, kindAdmission, kindOrigins, kindUnreachable, kindLimits, kindQuotas, kindEnds,
		kindArrivals, kindSlots, kindKeys, kindLeaving, kindKeepAlive,
	} {
		t.byKind[kind] = metrics.GetOrRegisterCounter("peerlink."+direction+"."+kind, nil)
	}
	return t
}

// add counts datagrams with the same message, of so many bytes each.
func (t traffic) add(message *Message, datagrams, bytes int) {
	t.byKind[message.kind()].Inc(int64(datagrams))
	t.bytes.Inc(int64(datagrams * bytes))
}
