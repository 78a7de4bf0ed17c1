package event

import "github.com/sirupsen/logrus"

// Events of the configuration and the API server.
var (
	ConfigKnown = register(400, logrus.InfoLevel, "configuration available",
		"The process has caught up with the configuration for the first time.")
	ConfigRecordIgnored = register(401, logrus.WarnLevel, "config record invalid",
		"A record or snapshot of the config stream could not be decoded and has no effect.")
	ConfigTrimmed = register(402, logrus.WarnLevel, "config records trimmed",
		"Records were removed by retention before they were read; a snapshot is needed.")
	ConfigFromPeer = register(403, logrus.InfoLevel, "config from peer",
		"Records or a snapshot were fetched from a peer.")
	ConfigPeerFailed = register(404, logrus.InfoLevel, "config peer failed",
		"A peer did not answer a fetch of the configuration; another peer is tried.")
	ConfigSnapshotWritten = register(405, logrus.InfoLevel, "config snapshot written",
		"All chunks of a snapshot were appended.")
	ConfigSnapshotFailed = register(406, logrus.WarnLevel, "config snapshot failed",
		"A chunk of a snapshot could not be appended; a new snapshot is written later.")
	ConfigDecided = register(410, logrus.InfoLevel, "config change decided",
		"An operator's change was read back with its verdict.")
	ConfigUnknown = register(411, logrus.WarnLevel, "config change outcome unknown",
		"An operator's change was not read back in time; its outcome is unknown.")
	ConfigSyncFailed = register(412, logrus.WarnLevel, "apiserver sync failed",
		"No scheduler answered the API server's sync; the node table becomes stale.")
)
