package event

import "github.com/sirupsen/logrus"

// Events of the scheduler and its fleet.
var (
	PlacementDecided = register(300, logrus.InfoLevel, "placement decided",
		"An adapter version is loaded, not loaded, or evicted; the fields say why.")
	LoadStarted = register(301, logrus.InfoLevel, "load started",
		"A load order was sent to an engine.")
	LoadEnded = register(302, logrus.InfoLevel, "load ended",
		"A load order succeeded.")
	LoadFailed = register(303, logrus.WarnLevel, "load failed",
		"A load order failed or its answer was lost; the next report shows the outcome.")
	LoadWithdrawn = register(304, logrus.InfoLevel, "load cancelled",
		"A load was cancelled before it was ordered.")
	UnloadEnded = register(305, logrus.InfoLevel, "unload ended",
		"An eviction is complete.")
	UnloadFailed = register(306, logrus.WarnLevel, "unload failed",
		"An unload order failed or its answer was lost.")
	RaiseFailed = register(307, logrus.WarnLevel, "fence raise failed",
		"An engine did not accept the fencing token; the call is retried.")
	ReportFailed = register(308, logrus.WarnLevel, "report failed",
		"An engine's report could not be read.")
	EvictionStopped = register(309, logrus.ErrorLevel, "eviction blocked",
		"An eviction was blocked because the adapter was still in use. This is a bug in the closing protocol.")
	ServerLeaving = register(310, logrus.InfoLevel, "server leaving",
		"A backend server stopped or resumed accepting new work.")
	ReleaseTimedOut = register(311, logrus.WarnLevel, "release timed out",
		"The releases were not read back before the shutdown; other schedulers wait until the leases expire.")
)

// Events of ownership.
var (
	ServerGained = register(520, logrus.InfoLevel, "server gained",
		"This scheduler's claim of a backend server took effect.")
	ServerLost = register(521, logrus.InfoLevel, "server lost",
		"Another scheduler owns the backend server, or it was released.")
	LeaseLapsed = register(522, logrus.WarnLevel, "lease expired",
		"The lease expired and no newer claim was read: permits are still granted, evictions stop.")
	LeaseRenewed = register(523, logrus.InfoLevel, "lease renewed",
		"An expired lease is valid again.")
	SupersedeSent = register(524, logrus.InfoLevel, "supersede answered",
		"A former owner confirmed that it has stopped granting permits.")
	SupersedeFailed = register(525, logrus.InfoLevel, "supersede failed",
		"A former owner could not be reached; the call is retried.")
	OwnershipTrim = register(526, logrus.WarnLevel, "ownership records trimmed",
		"Records were removed by retention before they were read.")
)
