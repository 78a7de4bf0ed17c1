// Package scheduler implements the scheduler process on top of the packages ownership, fleet and placement: it owns
// backend servers of its zone, grants permits to gateways, and orders loads and evictions.
package scheduler

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/placement"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// Settings are the settings of waxwing-scheduler.
type Settings struct {
	settings.Common
	// PermitValidity is how long a permit is valid, starting when the gateway sent its sync. Together with
	// ReportEvery it limits how long a leaving server still receives requests, which must be less than 3 s.
	PermitValidity settings.Duration `json:"permitValidity"`
	// ReportEvery is the interval between reads of an engine's report.
	ReportEvery settings.Duration `json:"reportEvery"`
	// ReportEveryBusy is the interval while a load is loading or closing on the engine.
	ReportEveryBusy settings.Duration `json:"reportEveryBusy"`
	// EngineTimeout limits each call to an engine except loads.
	EngineTimeout settings.Duration `json:"engineTimeout"`
	// LoadTimeout limits a load order. The outcome of a load that exceeds it is determined from the engine's reports.
	LoadTimeout settings.Duration `json:"loadTimeout"`
	// Policy is the placement policy: "stall", "least-loaded-lru" or "rendezvous-lru".
	Policy string `json:"policy"`
	// StallWeight, from 0 to 1, weighs load stalls against batch efficiency: at 1 only stalls count.
	StallWeight float64 `json:"stallWeight"`
	// PopularityHalfLife is the half-life of an adapter's popularity.
	PopularityHalfLife settings.Duration `json:"popularityHalfLife"`
	// RankDelay is the additional time that demand must have waited for each rank of a server in its rendezvous order.
	RankDelay settings.Duration `json:"rankDelay"`
	// CopyAfter is how long demand waits for a resident copy before another copy is loaded.
	CopyAfter settings.Duration `json:"copyAfter"`
	// DecisionsKept is the number of recent placement decisions available at /debug/decisions.
	DecisionsKept int `json:"decisionsKept"`
}

// dispatchMargin is added to the validity of permits on the owner's side: a request that a gateway sent under a permit
// may still be in transit to the engine when the permit expires.
const dispatchMargin = 500 * time.Millisecond

// DefaultSettings returns the default settings.
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

// placementOptions returns the options of the placement policy given by the settings.
func (s *Settings) placementOptions() placement.Options {
	options := placement.DefaultOptions()
	options.StallWeight = s.StallWeight
	options.HalfLife = s.PopularityHalfLife.Std()
	options.RankDelay = s.RankDelay.Std()
	options.CopyAfter = s.CopyAfter.Std()
	return options
}
