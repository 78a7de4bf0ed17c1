package event

import "github.com/sirupsen/logrus"

// Events of membership.
var (
	NodeChanged     = register(500, logrus.InfoLevel, "node changed", "A node of the table has a new state.")
	NodeForgotten   = register(501, logrus.InfoLevel, "node forgotten", "A node that was dead for long is removed from the table.")
	NodeRefuted     = register(502, logrus.WarnLevel, "suspicion refuted", "Others took this node for suspect or dead; it answers with a higher incarnation.")
	ExchangeFailed  = register(503, logrus.DebugLevel, "membership exchange failed", "A probe or a full exchange got no answer in time.")
	ProcessReported = register(504, logrus.InfoLevel, "process reported", "A process of this VM reports for the first time.")
	ProcessSilent   = register(505, logrus.WarnLevel, "process silent", "A process of this VM has not reported for a while and is forgotten.")
)
