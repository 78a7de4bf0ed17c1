package ledger

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Options are the dependencies, lifetimes and bounds of a driver. A zero lifetime or bound means its default.
type Options struct {
	Log platform.Log
	// Incarnation is unique for each start of the gateway.
	Incarnation string
	// Address is ip:port at which other gateways reach the Claims service of this one.
	Address string
	Events  *event.Log

	// BeginBound is how long Begin waits for its claim to be read back; default 2 s.
	BeginBound time.Duration
	// AppendGap is the least time between the starts of two appends; default 40 ms, which keeps 9 gateways under
	// 225 appends a second.
	AppendGap time.Duration
	// StaleAfter is how long after the last successful read fresh keys are still accepted; default 3 s, since an
	// idle read lasts 2 s. During that time a silent log makes fresh keys wait for BeginBound; later ones are refused
	// at once.
	StaleAfter time.Duration
	// UnreachableBound is how long the claims of a gateway that can't be asked count as in progress; default 30 s.
	UnreachableBound time.Duration
	// RetryAfter is the time after which a caller is told to come back; default 1 s.
	RetryAfter time.Duration
	// KeyLifetime is the age at which a key that tells its time expires; default 7 days.
	KeyLifetime time.Duration
	// ClockMargin is by how much the clocks of gateways and callers may differ; default 1 h.
	ClockMargin time.Duration
	// Retention is how long the log service keeps a record; default 24 h. A value above the true one loses keys.
	Retention time.Duration
	// CarryAfter is the age at which keys are carried forward; default half of Retention.
	CarryAfter time.Duration
	// MaximumKeys bounds the table; default 1,000,000.
	MaximumKeys int
	// MaximumQueued bounds the entries that wait for an append; default 10,000.
	MaximumQueued int
	// InlineBytes is the largest body that goes on the log; default 16 KiB.
	InlineBytes int
	// BatchBytes is the size at which an append takes no more entries; default 128 KiB.
	BatchBytes int
	// RecentBytes bounds the memory for bodies that are on the log too; default 8 MiB.
	RecentBytes int
	// OwnBytes bounds the memory for larger bodies of this gateway's own requests; default 16 MiB.
	OwnBytes int
}

// config is Options without the dependencies.
type config struct {
	incarnation, address                            string
	beginBound, appendGap, failureGap, staleAfter   time.Duration
	unreachableBound, retryAfter                    time.Duration
	keyLifetime, clockMargin, retention, carryAfter time.Duration
	maximumKeys, maximumQueued                      int
	inlineBytes, batchBytes, recentBytes, ownBytes  int
}

// failureGap is the least time between a failed append and the next one.
const failureGap = 500 * time.Millisecond

func (o Options) config() config {
	retention := orDefault(o.Retention, 24*time.Hour)
	return config{
		incarnation: o.Incarnation, address: o.Address,
		beginBound:       orDefault(o.BeginBound, 2*time.Second),
		appendGap:        orDefault(o.AppendGap, 40*time.Millisecond),
		failureGap:       failureGap,
		staleAfter:       orDefault(o.StaleAfter, 3*time.Second),
		unreachableBound: orDefault(o.UnreachableBound, 30*time.Second),
		retryAfter:       orDefault(o.RetryAfter, time.Second),
		keyLifetime:      orDefault(o.KeyLifetime, 7*24*time.Hour),
		clockMargin:      orDefault(o.ClockMargin, time.Hour),
		retention:        retention,
		carryAfter:       orDefault(o.CarryAfter, retention/2),
		maximumKeys:      orDefault(o.MaximumKeys, 1_000_000),
		maximumQueued:    orDefault(o.MaximumQueued, 10_000),
		inlineBytes:      orDefault(o.InlineBytes, 16<<10),
		batchBytes:       orDefault(o.BatchBytes, 128<<10),
		recentBytes:      orDefault(o.RecentBytes, 8<<20),
		ownBytes:         orDefault(o.OwnBytes, 16<<20),
	}
}

func orDefault[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}
