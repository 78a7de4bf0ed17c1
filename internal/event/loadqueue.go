package event

import "github.com/sirupsen/logrus"

// Events of the load queue.
var (
	LoadQueueGap = register(550, logrus.WarnLevel, "loads stream trimmed",
		"Records of the loads stream were removed by retention before they were read.")
	LoadQueueBadRecord = register(551, logrus.ErrorLevel, "loads record invalid",
		"A record of the loads stream could not be decoded and has no effect.")
	LoadTurnGiven = register(552, logrus.DebugLevel, "load turn granted",
		"A load of this scheduler got its turn.")
	LoadTurnLocal = register(553, logrus.InfoLevel, "local load turn granted",
		"The log is unreachable; the turn was granted from this scheduler's own share.")
	LoadTurnExpired = register(554, logrus.WarnLevel, "load turn expired",
		"The holder of the running load stopped reporting; the load is skipped.")
	LoadOrphaned = register(555, logrus.InfoLevel, "load request withdrawn",
		"A request of this scheduler without any waiter was found and is withdrawn.")
)
