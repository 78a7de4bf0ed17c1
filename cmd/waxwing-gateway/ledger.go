package main

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/gateway"
	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// newLedger returns a ledger that refuses every claim as not run, until this file is connected to
// ledger.NewDriver, ledger.HashKey and ledger.ParseKeyTime.
func newLedger(platform.Log, string, string, *event.Log) gateway.Ledger { return refusingLedger{} }

func hashKey(key, target string) ledger.KeyHash {
	var hash ledger.KeyHash
	digest := xxhash.New()
	_, _ = digest.WriteString(target + "\x00" + key)
	copy(hash[:], digest.Sum(nil))
	return hash
}

func parseKeyTime(string, string) (time.Time, error) { return time.Time{}, nil }

const refusalReason = "this build has no ledger"

type refusingLedger struct{}

// Begin implements ledger.Claims.
func (refusingLedger) Begin(context.Context, ledger.Key, string) ledger.Verdict {
	return ledger.Verdict{State: ledger.Unavailable, Reason: refusalReason}
}

// Complete implements ledger.Claims.
func (refusingLedger) Complete(ledger.Key, string, ledger.Outcome) {}

// Release implements ledger.Claims.
func (refusingLedger) Release(ledger.Key, string) {}

// Abandon implements ledger.Claims.
func (refusingLedger) Abandon(ledger.Key, string) {}

// Run implements gateway.Ledger.
func (refusingLedger) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Handler implements gateway.Ledger.
func (refusingLedger) Handler() http.Handler { return http.NotFoundHandler() }

// Ready implements gateway.Ledger.
func (refusingLedger) Ready() error { return nil }

// Drain implements gateway.Ledger.
func (refusingLedger) Drain(context.Context) error { return nil }
