// Package gateway implements the HTTP endpoint for callers. Each request passes through admission control, routing and
// the relay to a backend server, and a non-idempotent one also through the at-most-once ledger.
package gateway

import (
	"net"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// Settings are the settings of waxwing-gateway.
type Settings struct {
	settings.Common
	// PeerListen serves the RPC services for other processes, ip:port. Other processes reach it at this address,
	// so that it must not be an unspecified IP address.
	PeerListen string `json:"peerListen"`
	// AnnouncePeriod is how long the gateway still accepts requests after /readyz starts to fail, so that the
	// platform's load balancer can remove the gateway first.
	AnnouncePeriod settings.Duration `json:"announcePeriod"`
	// SyncTimeout bounds one sync with a scheduler, not counting the time for which the scheduler delays its answer
	// (long polling).
	SyncTimeout settings.Duration `json:"syncTimeout"`
	// ConnectTimeout bounds the time to open a connection to a backend server.
	ConnectTimeout settings.Duration `json:"connectTimeout"`
	// StreamSilence is the idle timeout after which a stream is resumed on a new connection.
	StreamSilence settings.Duration `json:"streamSilence"`
	// ResumeLimit bounds the number of consecutive resumes that yield no new data.
	ResumeLimit int `json:"resumeLimit"`
	// AnswerSilence is the time without an answer that is not a stream after which the gateway also reads the engine's
	// stream for the same request on a new connection, so that a broken connection doesn't lose the answer.
	AnswerSilence settings.Duration `json:"answerSilence"`
	// AnswerTimeout bounds the wait for an answer that is not a stream.
	AnswerTimeout settings.Duration `json:"answerTimeout"`
	// BodyTimeout bounds the time to read a caller's body, and CallerWriteTimeout each write to a caller.
	BodyTimeout        settings.Duration `json:"bodyTimeout"`
	CallerWriteTimeout settings.Duration `json:"callerWriteTimeout"`
	// MaximumBodyBytes bounds a caller's body, and MaximumAnswerBytes an answer that is not a stream.
	MaximumBodyBytes   int `json:"maximumBodyBytes"`
	MaximumAnswerBytes int `json:"maximumAnswerBytes"`
	// MaximumBodiesBytes bounds the memory for the bodies of all requests, queued or running, each with the copy that is sent, beside
	// a few KB of each request.
	MaximumBodiesBytes int `json:"maximumBodiesBytes"`
	// MaximumHeadsBytes bounds the memory for the heads of all requests, beside a few KB of each.
	MaximumHeadsBytes int `json:"maximumHeadsBytes"`
	// MaximumConnections bounds the callers' connections.
	MaximumConnections int `json:"maximumConnections"`
	// DelimiterRate bounds the sizes and ends of chunks that are read, in bytes per second.
	DelimiterRate int `json:"delimiterRate"`
	// MaximumRequests bounds the number of concurrent requests, queued or running.
	MaximumRequests int `json:"maximumRequests"`
	// ServiceConcurrency is the maximum number of concurrent requests from this gateway to one endpoint of a plain
	// service.
	ServiceConcurrency int `json:"serviceConcurrency"`
	// BatchWeight is the preference for a server with requests for the same adapter in flight, in percent of the
	// weight of the server's load: 0 spreads each adapter's requests, 100 concentrates them for the engine to batch.
	BatchWeight int `json:"batchWeight"`
	// ZoneWeight is the preference for a server in the gateway's zone, in percent of the weight of the server's load.
	ZoneWeight int `json:"zoneWeight"`
	// StallWeight from 0 to 1 weighs load stalls against batch efficiency: the batch windows of the priority classes
	// are multiplied by 1 - StallWeight, so that 1 disables them.
	StallWeight float64 `json:"stallWeight"`
	// ClaimsRetention is the log service's retention of records of the claims stream. A value above the actual
	// retention loses keys, and then a non-idempotent request may run more than once.
	ClaimsRetention settings.Duration `json:"claimsRetention"`
	// DecisionsKept is the number of recent routing decisions available at /debug/decisions.
	DecisionsKept int `json:"decisionsKept"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Common:             settings.DefaultCommon(),
		AnnouncePeriod:     settings.Duration(5 * time.Second),
		SyncTimeout:        settings.Duration(500 * time.Millisecond),
		ConnectTimeout:     settings.Duration(time.Second),
		StreamSilence:      settings.Duration(2 * time.Second),
		ResumeLimit:        5,
		AnswerSilence:      settings.Duration(5 * time.Second),
		AnswerTimeout:      settings.Duration(2 * time.Minute),
		BodyTimeout:        settings.Duration(10 * time.Second),
		CallerWriteTimeout: settings.Duration(30 * time.Second),
		MaximumBodyBytes:   1 << 20,
		MaximumAnswerBytes: 4 << 20,
		MaximumBodiesBytes: 64 << 20,
		MaximumHeadsBytes:  16 << 20,
		MaximumConnections: 2048,
		DelimiterRate:      2 << 20,
		MaximumRequests:    4096,
		ServiceConcurrency: 64,
		BatchWeight:        30,
		ZoneWeight:         20,
		StallWeight:        0.5,
		ClaimsRetention:    settings.Duration(24 * time.Hour),
		DecisionsKept:      1000,
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(c *settings.Check) {
	s.Common.Check(c)
	c.HostPort("peerListen", s.PeerListen)
	host, _, err := net.SplitHostPort(s.PeerListen)
	if ip := net.ParseIP(host); err == nil && ip != nil {
		c.Require(!ip.IsUnspecified(), "peerListen", s.PeerListen, "an address at which other processes reach this one")
	}
	c.DurationBetween("announcePeriod", s.AnnouncePeriod, 0, 5*time.Minute)
	c.DurationBetween("syncTimeout", s.SyncTimeout, 50*time.Millisecond, 5*time.Second)
	c.DurationBetween("connectTimeout", s.ConnectTimeout, 50*time.Millisecond, time.Minute)
	c.DurationBetween("streamSilence", s.StreamSilence, 50*time.Millisecond, time.Minute)
	c.DurationBetween("answerSilence", s.AnswerSilence, 50*time.Millisecond, 5*time.Minute)
	c.DurationBetween("answerTimeout", s.AnswerTimeout, time.Second, time.Hour)
	c.DurationBetween("bodyTimeout", s.BodyTimeout, 100*time.Millisecond, 5*time.Minute)
	c.DurationBetween("callerWriteTimeout", s.CallerWriteTimeout, 100*time.Millisecond, 5*time.Minute)
	c.Between("resumeLimit", s.ResumeLimit, 0, 100)
	c.Between("maximumBodyBytes", s.MaximumBodyBytes, 1<<10, 64<<20)
	c.Between("maximumAnswerBytes", s.MaximumAnswerBytes, 1<<10, 64<<20)
	c.Between("maximumBodiesBytes", s.MaximumBodiesBytes, 1<<20, 1<<30)
	c.Between("maximumHeadsBytes", s.MaximumHeadsBytes, 1<<20, 1<<30)
	c.Between("maximumConnections", s.MaximumConnections, 1, 1<<20)
	c.Between("delimiterRate", s.DelimiterRate, 1<<10, 1<<30)
	c.Between("maximumRequests", s.MaximumRequests, 1, 1<<16)
	c.Between("serviceConcurrency", s.ServiceConcurrency, 1, 1<<16)
	c.Between("batchWeight", s.BatchWeight, 0, 1000)
	c.Between("zoneWeight", s.ZoneWeight, 0, 1000)
	c.Require(s.StallWeight >= 0 && s.StallWeight <= 1, "stallWeight", s.StallWeight, "a number from 0 to 1")
	c.DurationBetween("claimsRetention", s.ClaimsRetention, time.Minute, 365*24*time.Hour)
	c.Between("decisionsKept", s.DecisionsKept, 1, 1<<16)
}
