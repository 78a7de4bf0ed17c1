package ledger

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Options holds the dependencies, lifetimes and limits of a Driver. A zero lifetime or limit selects its default.
type Options struct {
	Log platform.Log
	// Incarnation is unique to each start of the gateway.
	Incarnation string
	// Address is the ip:port at which other gateways reach the Claims service of this gateway.
	Address string
	Events  *event.Log

	// BeginTimeout is the timeout of Begin for reading its claim back; default 2 s.
	BeginTimeout time.Duration
	// AppendInterval is the minimum time between the starts of two appends; default 40 ms, which limits 9 gateways to
	// 225 appends per second.
	AppendInterval time.Duration
	// StaleAfter is how long after the last successful read new keys are still accepted; default 3 s, because an
	// idle read lasts 2 s. Until then, new keys wait for the timeout of Begin if the log does not respond;
	// afterwards they are rejected immediately.
	StaleAfter time.Duration
	// UnreachableTimeout is how long the claims of an unreachable gateway count as in progress; default 30 s.
	UnreachableTimeout time.Duration
	// RetryAfter is the delay that a caller is asked to wait before a retry; default 1 s.
	RetryAfter time.Duration
	// KeyLifetime is the age at which a key that carries its creation time expires; default 7 days.
	KeyLifetime time.Duration
	// ClockMargin is the maximum clock skew between gateways and callers; default 1 h.
	ClockMargin time.Duration
	// Retention is how long the log service retains a record; default 24 h. A value above the actual retention
	// loses keys.
	Retention time.Duration
	// CarryAfter is the age at which the record of a key is written again, so that the key stays within the
	// retention; default half of Retention.
	CarryAfter time.Duration
	// MaximumKeys limits the number of keys in the table; default 1,000,000.
	MaximumKeys int
	// MaximumQueued limits the number of entries that wait for an append; default 10,000.
	MaximumQueued int
	// InlineBytes is the largest response body that is written to the log; default 16 KiB.
	InlineBytes int
	// BatchBytes is the size from which no more entries are added to an append; default 128 KiB.
	BatchBytes int
	// RecentBodyBytes limits the memory for recent bodies that are also on the log; default 8 MiB.
	RecentBodyBytes int
	// OwnBodyBytes limits the memory for larger bodies of requests of this gateway; default 16 MiB.
	OwnBodyBytes int
}

// config is Options without the dependencies and with the defaults applied.
type config struct {
	incarnation, address                                      string
	beginTimeout, appendInterval, failureInterval, staleAfter time.Duration
	unreachableTimeout, retryAfter                            time.Duration
	keyLifetime, clockMargin, retention, carryAfter           time.Duration
	maximumKeys, maximumQueued                                int
	inlineBytes, batchBytes, recentBodyBytes, ownBodyBytes    int
}

// failureInterval is the minimum time between a failed append and the next one.
const failureInterval = 500 * time.Millisecond

func (o Options) config() config {
	retention := orDefault(o.Retention, 24*time.Hour)
	return config{
		incarnation: o.Incarnation, address: o.Address,
		beginTimeout:       orDefault(o.BeginTimeout, 2*time.Second),
		appendInterval:     orDefault(o.AppendInterval, 40*time.Millisecond),
		failureInterval:    failureInterval,
		staleAfter:         orDefault(o.StaleAfter, 3*time.Second),
		unreachableTimeout: orDefault(o.UnreachableTimeout, 30*time.Second),
		retryAfter:         orDefault(o.RetryAfter, time.Second),
		keyLifetime:        orDefault(o.KeyLifetime, 7*24*time.Hour),
		clockMargin:        orDefault(o.ClockMargin, time.Hour),
		retention:          retention,
		carryAfter:         orDefault(o.CarryAfter, retention/2),
		maximumKeys:        orDefault(o.MaximumKeys, 1_000_000),
		maximumQueued:      orDefault(o.MaximumQueued, 10_000),
		inlineBytes:        orDefault(o.InlineBytes, 16<<10),
		batchBytes:         orDefault(o.BatchBytes, 128<<10),
		recentBodyBytes:    orDefault(o.RecentBodyBytes, 8<<20),
		ownBodyBytes:       orDefault(o.OwnBodyBytes, 16<<20),
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
