package event

import "github.com/sirupsen/logrus"

// Events of process life.
var (
	ProcessStarted  = register(100, logrus.InfoLevel, "process started", "The process has read its settings and listens.")
	ProcessStopping = register(101, logrus.InfoLevel, "process stopping", "A graceful shutdown has begun.")
	ProcessStopped  = register(102, logrus.InfoLevel, "process stopped", "The graceful shutdown is complete.")
	ProcessFailed   = register(103, logrus.ErrorLevel, "process failed", "A duty of the process ended with an error and the process exits.")
)
