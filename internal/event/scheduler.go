package event

import "github.com/sirupsen/logrus"

// Events of the scheduler and its fleet.
var (
	PlacementDecided = register(300, logrus.InfoLevel, "placement decided", "An adapter version is loaded, not loaded, or evicted; the fields say why.")
	LoadStarted      = register(301, logrus.InfoLevel, "load started", "A load order is sent to an engine.")
	LoadEnded        = register(302, logrus.InfoLevel, "load ended", "A load order succeeded.")
	LoadFailed       = register(303, logrus.WarnLevel, "load failed", "A load order failed or its answer was lost; a report shows what became of it.")
	LoadWithdrawn    = register(304, logrus.InfoLevel, "load withdrawn", "A load was given up before it was ordered.")
	UnloadEnded      = register(305, logrus.InfoLevel, "unload ended", "An eviction is complete.")
	UnloadFailed     = register(306, logrus.WarnLevel, "unload failed", "An unload order failed or its answer was lost.")
	RaiseFailed      = register(307, logrus.WarnLevel, "fence raise failed", "An engine did not take the fencing number; it is tried again.")
	ReportFailed     = register(308, logrus.WarnLevel, "report failed", "An engine's report could not be read.")
	EvictionStopped  = register(309, logrus.ErrorLevel, "eviction stopped", "An eviction was about to be ordered while a user was known. This is a fault in the closing protocol.")
	ServerLeaving    = register(310, logrus.InfoLevel, "server leaving", "A backend server gets no new work, or gets work again.")
	ReleaseTimedOut  = register(311, logrus.WarnLevel, "release timed out", "The releases were not read back before the shutdown; others wait for the leases to lapse.")
)

// Events of ownership.
var (
	ServerGained    = register(520, logrus.InfoLevel, "server gained", "This scheduler's claim of a backend server took effect.")
	ServerLost      = register(521, logrus.InfoLevel, "server lost", "Another scheduler owns the backend server, or it was released.")
	LeaseLapsed     = register(522, logrus.WarnLevel, "lease lapsed", "The lease ran out and no newer claim was read: permits go on, evictions stop.")
	LeaseRenewed    = register(523, logrus.InfoLevel, "lease renewed", "A lapsed lease is valid again.")
	SupersedeSent   = register(524, logrus.InfoLevel, "supersede answered", "A former owner confirmed that it grants no permits any more.")
	SupersedeFailed = register(525, logrus.InfoLevel, "supersede failed", "A former owner could not be reached; it is asked again.")
	OwnershipTrim   = register(526, logrus.WarnLevel, "ownership records trimmed", "Records passed their retention before they were read.")
)
