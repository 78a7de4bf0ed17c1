package event

import "github.com/sirupsen/logrus"

// Events of the gateway.
var (
	RoutingDecided = register(200, logrus.InfoLevel, "routing decided",
		"A backend server was chosen for a request, or none could accept it.")
	RequestGivenUp = register(201, logrus.InfoLevel, "request not dispatched",
		"A queued or arriving request was refused instead of being sent to a backend server.")
	AttemptFailed = register(202, logrus.WarnLevel, "attempt failed",
		"An attempt at a backend server failed; the fields say whether it may have run.")
	AnswerBroken = register(203, logrus.WarnLevel, "answer broken",
		"A stream that had begun could not be finished; the caller's connection was aborted.")
	WrongModelAnswered = register(204, logrus.ErrorLevel, "wrong model answered",
		"A backend server's answer named another load than the requested one; the answer was discarded.")
	SyncFailed = register(205, logrus.WarnLevel, "permits sync failed",
		"A sync with a scheduler failed and is retried.")
	AnswerDropped = register(206, logrus.DebugLevel, "permits answer discarded",
		"An answer to a sync was older than the current state and was discarded.")
	SchedulerKnown = register(207, logrus.InfoLevel, "scheduler added",
		"Syncs with a scheduler start.")
	SchedulerRemoved = register(208, logrus.InfoLevel, "scheduler removed",
		"Syncs with a scheduler end, because the node table lists it as dead.")
	OutcomeUnknown = register(209, logrus.WarnLevel, "outcome unknown",
		"A non-idempotent request may have run; it is not retried.")
	CallerGone = register(210, logrus.DebugLevel, "caller disconnected",
		"The caller closed the connection before the answer was complete.")
	HandlerPanicked = register(211, logrus.ErrorLevel, "handler panicked",
		"A bug in the gateway aborted one request; its outcome is unknown.")
)
