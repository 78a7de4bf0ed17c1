package event

import "github.com/sirupsen/logrus"

// Events of the platform's services.
var (
	LogReadFailed = register(700, logrus.WarnLevel, "log read failed",
		"A read of the log service failed and is retried.")
	LogAppendFailed = register(701, logrus.WarnLevel, "log append failed",
		"An append failed; later reads show whether it took effect.")
	VMListFailed = register(702, logrus.WarnLevel, "vm list failed",
		"The list of VMs could not be read; the last known list stays in use.")
)
