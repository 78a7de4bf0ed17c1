package event

import "github.com/sirupsen/logrus"

// Events of the process lifecycle.
var (
	ProcessStarted = register(100, logrus.InfoLevel, "process started",
		"The process has read its settings and listens.")
	ProcessStopping = register(101, logrus.InfoLevel, "process stopping",
		"A graceful shutdown has begun.")
	ProcessStopped = register(102, logrus.InfoLevel, "process stopped",
		"The graceful shutdown is complete.")
	ProcessFailed = register(103, logrus.ErrorLevel, "process failed",
		"A task of the process failed, and the process exits.")
	ConnectionRefused = register(104, logrus.WarnLevel, "caller's connection refused",
		"All connections that callers may open are in use and none yields; new ones are closed unread.")
	AnswerUnread = register(105, logrus.WarnLevel, "answer not read",
		"A caller accepted no byte of its answer for too long; its connection is closed.")
	BodyRefused = register(106, logrus.WarnLevel, "body refused",
		"A request has not run because of its body: larger than allowed, too slow, or no room beside the other bodies.")
	HeadRefused = register(107, logrus.WarnLevel, "head refused",
		"A connection is closed before its request has run: its head has many fields, and there is no room for them beside other heads.")
)
