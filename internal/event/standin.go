package event

import "github.com/sirupsen/logrus"

// Events of the stand-ins.
var (
	StandinListening = register(900, logrus.InfoLevel, "stand-in listening",
		"A stand-in answers on its address.")
	FaultSwitched = register(901, logrus.InfoLevel, "fault injected",
		"A fault was injected into a stand-in.")
	EvictedInUse = register(902, logrus.WarnLevel, "adapter evicted in use",
		"An engine stand-in obeyed an unload order for an adapter that was serving requests.")
	EngineRestarted = register(903, logrus.InfoLevel, "engine restarted",
		"An engine stand-in restarted without any loaded adapters.")
)
