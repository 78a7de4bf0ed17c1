package event

import "github.com/sirupsen/logrus"

// Events of the ledger of non-idempotent requests.
var (
	LedgerReady = register(600, logrus.InfoLevel, "ledger ready",
		"The retained part of the claims stream has been read; new keys are accepted.")
	LedgerGap = register(601, logrus.WarnLevel, "claims stream trimmed",
		"Records were removed by retention before they were read; carried-forward records must cover them.")
	LedgerBadRecord = register(602, logrus.ErrorLevel, "claims record invalid",
		"A record of the claims stream could not be decoded and has no effect.")
	LedgerLookupFailed = register(603, logrus.WarnLevel, "claim lookup failed",
		"The claimant of a key could not be queried; the key counts as in progress, later as unknown.")
	LedgerClaimReleased = register(604, logrus.InfoLevel, "late claim released",
		"A claim of a cancelled attempt was found on the stream and is released.")
	LedgerTableFull = register(605, logrus.ErrorLevel, "claims table full",
		"The table of keys is full; requests with new keys are refused as not run.")
	LedgerBodyFailed = register(606, logrus.WarnLevel, "outcome read failed",
		"A recorded outcome could not be read back from the claims stream.")
	LedgerUndrained = register(607, logrus.WarnLevel, "ledger not drained",
		"The graceful shutdown ended before all outcomes and releases were read back.")
)
