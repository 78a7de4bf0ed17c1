// Package scheduler is the driver around ownership, fleet and placement: it owns backend servers of its zone, gives
// gateways permits, and orders loads and evictions.
package scheduler

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/placement"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// Settings are the settings of waxwing-scheduler.
type Settings struct {
	settings.Common
	// PermitValidity is how long a permit is valid, counted from when the gateway sent its sync. Together with
	// ReportEvery it bounds the time in which a leaving server still gets work, which must stay below 3 s.
	PermitValidity settings.Duration `json:"permitValidity"`
	// ReportEvery is the time between two reads of an engine's report.
	ReportEvery settings.Duration `json:"reportEvery"`
	// ReportEveryBusy is the same while something loads or closes on the engine.
	ReportEveryBusy settings.Duration `json:"reportEveryBusy"`
	// EngineTimeout bounds one call to an engine that isn't a load.
	EngineTimeout settings.Duration `json:"engineTimeout"`
	// LoadTimeout bounds a load order. What became of a load that takes longer is found by report.
	LoadTimeout settings.Duration `json:"loadTimeout"`
	// Policy is the placement policy: "stall", "least-loaded-lru" or "rendezvous-lru".
	Policy string `json:"policy"`
	// StallWeight from 0 to 1 sets load stalls against batch efficiency: 1 counts only stalls.
	StallWeight float64 `json:"stallWeight"`
	// PopularityHalfLife is the time in which an adapter's popularity halves.
	PopularityHalfLife settings.Duration `json:"popularityHalfLife"`
	// RankDelay is how much longer demand waits for each further server in its rendezvous order.
	RankDelay settings.Duration `json:"rankDelay"`
	// CopyAfter is how long demand waits for a resident copy before another copy is made.
	CopyAfter settings.Duration `json:"copyAfter"`
	// DecisionsKept is how many placement decisions /debug/decisions shows.
	DecisionsKept int `json:"decisionsKept"`
}

// dispatchMargin is added to the validity of permits on the owner's side: a request that a gateway wrote under a permit
// may still be on its way to the engine when the permit expires.
const dispatchMargin = 500 * time.Millisecond

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	options := placement.DefaultOptions()
	return Settings{
		Common:             settings.DefaultCommon(),
		PermitValidity:     settings.Duration(2 * time.Second),
		ReportEvery:        settings.Duration(500 * time.Millisecond),
		ReportEveryBusy:    settings.Duration(250 * time.Millisecond),
		EngineTimeout:      settings.Duration(2 * time.Second),
		LoadTimeout:        settings.Duration(30 * time.Second),
		Policy:             placement.DefaultName,
		StallWeight:        options.StallWeight,
		PopularityHalfLife: settings.Duration(options.HalfLife),
		RankDelay:          settings.Duration(options.RankDelay),
		CopyAfter:          settings.Duration(options.CopyAfter),
		DecisionsKept:      1000,
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(c *settings.Check) {
	s.Common.Check(c)
	c.Require(!s.TLS.Enabled(), "tls.certificateFile", s.TLS.CertificateFile, "nothing: TLS is for callers and operators")
	c.DurationBetween("permitValidity", s.PermitValidity, 1500*time.Millisecond, 2500*time.Millisecond)
	c.DurationBetween("reportEvery", s.ReportEvery, 50*time.Millisecond, 10*time.Second)
	c.DurationBetween("reportEveryBusy", s.ReportEveryBusy, 20*time.Millisecond, 10*time.Second)
	c.DurationBetween("engineTimeout", s.EngineTimeout, 50*time.Millisecond, time.Minute)
	c.DurationBetween("loadTimeout", s.LoadTimeout, time.Second, 10*time.Minute)
	_, known := placement.New(s.Policy, placement.DefaultOptions())
	c.Require(known, "policy", s.Policy, "stall, least-loaded-lru or rendezvous-lru")
	c.Require(s.StallWeight >= 0 && s.StallWeight <= 1, "stallWeight", s.StallWeight, "a number from 0 to 1")
	c.DurationBetween("popularityHalfLife", s.PopularityHalfLife, time.Second, 24*time.Hour)
	c.DurationBetween("rankDelay", s.RankDelay, 0, time.Minute)
	c.DurationBetween("copyAfter", s.CopyAfter, 0, time.Minute)
	c.Between("decisionsKept", s.DecisionsKept, 1, 100000)
}

// placementOptions returns the options of the placement policy.
func (s *Settings) placementOptions() placement.Options {
	options := placement.DefaultOptions()
	options.StallWeight = s.StallWeight
	options.HalfLife = s.PopularityHalfLife.Std()
	options.RankDelay = s.RankDelay.Std()
	options.CopyAfter = s.CopyAfter.Std()
	return options
}
