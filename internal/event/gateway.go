package event

import "github.com/sirupsen/logrus"

// Events of the gateway.
var (
	RoutingDecided     = register(200, logrus.InfoLevel, "routing decided", "A request was given a backend server, or none could take it.")
	RequestGivenUp     = register(201, logrus.InfoLevel, "request given up", "A queued or arriving request was answered as not run.")
	AttemptFailed      = register(202, logrus.WarnLevel, "attempt failed", "An attempt at a backend server failed; the fields say whether it may have run.")
	AnswerBroken       = register(203, logrus.WarnLevel, "answer broken", "A stream that had begun could not be finished; the caller's connection was aborted.")
	WrongModelAnswered = register(204, logrus.ErrorLevel, "wrong model answered", "A backend server's answer named another load than the request; it was not passed on.")
	SyncFailed         = register(205, logrus.WarnLevel, "permits sync failed", "A sync with a scheduler failed and is tried again.")
	AnswerDropped      = register(206, logrus.DebugLevel, "permits answer dropped", "An answer to a sync was older than the state held.")
	SchedulerKnown     = register(207, logrus.InfoLevel, "scheduler known", "Syncs with a scheduler begin.")
	SchedulerForgotten = register(208, logrus.InfoLevel, "scheduler forgotten", "Syncs with a scheduler end, as the node table says that it is dead.")
	OutcomeUnknown     = register(209, logrus.WarnLevel, "outcome unknown", "A non-idempotent request may have run; it is not repeated.")
	CallerGone         = register(210, logrus.DebugLevel, "caller gone", "The caller closed the connection before the answer was complete.")
	HandlerPanicked    = register(211, logrus.ErrorLevel, "handler panicked", "A fault in the gateway ended one request; its outcome is unknown.")
)
