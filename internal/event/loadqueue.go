package event

import "github.com/sirupsen/logrus"

// Events of the queue of loads.
var (
	LoadQueueGap       = register(550, logrus.WarnLevel, "loads stream trimmed", "Records of the loads stream passed their retention before they were read.")
	LoadQueueBadRecord = register(551, logrus.ErrorLevel, "loads record refused", "A record of the loads stream could not be decoded and has no effect.")
	LoadTurnGiven      = register(552, logrus.DebugLevel, "load turn given", "A load of this scheduler has its turn.")
	LoadTurnLocal      = register(553, logrus.InfoLevel, "local load turn given", "The log is out of reach; the turn came from this scheduler's own share.")
	LoadTurnExpired    = register(554, logrus.WarnLevel, "load turn expired", "The holder of the running load was silent; the load is skipped.")
	LoadOrphaned       = register(555, logrus.InfoLevel, "load request withdrawn", "A request of this scheduler that nobody waits for was found and is withdrawn.")
)
