package event

import "github.com/sirupsen/logrus"

// Events of membership.
var (
	NodeChanged = register(500, logrus.InfoLevel, "node changed",
		"The state of a node in the node table changed.")
	NodeRemoved = register(501, logrus.InfoLevel, "node removed",
		"A node that was dead for a long time was removed from the node table.")
	NodeRefuted = register(502, logrus.WarnLevel, "suspicion refuted",
		"Other nodes marked this node as suspect or dead; it refutes this with a higher incarnation.")
	ExchangeFailed = register(503, logrus.DebugLevel, "membership exchange failed",
		"A probe or a full exchange got no answer in time.")
	ProcessReported = register(504, logrus.InfoLevel, "process reported",
		"A process of this VM reported for the first time.")
	ProcessSilent = register(505, logrus.WarnLevel, "process silent",
		"A process of this VM stopped reporting and was removed.")
)
