// Package standin simulates the platform, the model engines and the plain services in one process, for the demo and
// for tests. Each stand-in listens on its own address; faults are switched on and off on the admin address.
package standin

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// Settings are the settings of the stand-in process.
type Settings struct {
	// AdminListen serves /faults, /counters, /healthz, /readyz and /metrics.
	AdminListen string           `json:"adminListen"`
	LogLevel    string           `json:"logLevel"`
	Platform    PlatformOptions  `json:"platform"`
	Weights     WeightOptions    `json:"weights"`
	Engines     []EngineOptions  `json:"engines"`
	Services    []ServiceOptions `json:"services"`
}

// PlatformOptions configures the log service and the VM list, which share their addresses.
type PlatformOptions struct {
	Endpoints []Endpoint `json:"endpoints"`
	// Retention and RetentionRecords bound the age and the number of records that each stream retains.
	Retention        settings.Duration `json:"retention"`
	RetentionRecords int               `json:"retentionRecords"`
	// AppendsPerSecond and AppendBurst limit the appends over all streams.
	AppendsPerSecond int `json:"appendsPerSecond"`
	AppendBurst      int `json:"appendBurst"`
	// VMs are the entry VMs. The VMs of engines and services are added to the list automatically.
	VMs []platform.VM `json:"vms"`
	// VMLag is the delay after which a change appears in the list of VMs.
	VMLag settings.Duration `json:"vmLag"`
}

// Endpoint is one address of the platform, for the callers of one zone or, with an empty zone, of all zones.
type Endpoint struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// WeightOptions configures the weight store.
type WeightOptions struct {
	LoadsPerSecond float64 `json:"loadsPerSecond"`
}

// EngineOptions configures one engine. Zero fields get the defaults of this package.
type EngineOptions struct {
	Name        string            `json:"name"`
	Zone        string            `json:"zone"`
	Address     string            `json:"address"`
	BaseModel   string            `json:"baseModel"`
	Slots       int               `json:"slots"`
	Concurrency int               `json:"concurrency"`
	ChecksFence bool              `json:"checksFence"`
	Step        settings.Duration `json:"step"`
	// ReportLag is the minimum age of the state in a report.
	ReportLag settings.Duration `json:"reportLag"`
	// RequestRetention is how long ended requests are retained, so that they can be resumed.
	RequestRetention settings.Duration `json:"keep"`
}

// ServiceOptions configures one server of a plain service.
type ServiceOptions struct {
	// Name is unique among all engines and services, and is the fault target.
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Work is the duration of a call.
	Work settings.Duration `json:"work"`
}

// Defaults of an engine.
const (
	DefaultBaseModel        = "base"
	DefaultSlots            = 8
	DefaultConcurrency      = 32
	DefaultStep             = 5500 * time.Microsecond
	DefaultReportLag        = 200 * time.Millisecond
	DefaultRequestRetention = 30 * time.Second
)

// DefaultSettings returns the defaults, without engines and services.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: logrus.InfoLevel.String(),
		Platform: PlatformOptions{
			Retention:        settings.Duration(30 * time.Minute),
			RetentionRecords: 100_000,
			AppendsPerSecond: 400,
			AppendBurst:      100,
			VMLag:            settings.Duration(5 * time.Second),
		},
		Weights: WeightOptions{LoadsPerSecond: 3},
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(c *settings.Check) {
	c.HostPort("adminListen", s.AdminListen)
	_, err := logrus.ParseLevel(s.LogLevel)
	c.Require(err == nil, "logLevel", s.LogLevel, "error, warning, info or debug")
	s.Platform.check(c)
	c.Require(s.Weights.LoadsPerSecond > 0, "weights.loadsPerSecond", s.Weights.LoadsPerSecond, "a number above 0")
	names := make(map[string]bool)
	for i, option := range s.Engines {
		option.withDefaults().check(c, fmt.Sprintf("engines[%d].", i))
		checkName(c, names, fmt.Sprintf("engines[%d].name", i), option.Name)
	}
	for i, option := range s.Services {
		field := fmt.Sprintf("services[%d].", i)
		c.HostPort(field+"address", option.Address)
		c.DurationBetween(field+"work", option.Work, 0, time.Minute)
		checkName(c, names, field+"name", option.Name)
	}
}

func (p *PlatformOptions) check(c *settings.Check) {
	for i, endpoint := range p.Endpoints {
		c.HostPort(fmt.Sprintf("platform.endpoints[%d].address", i), endpoint.Address)
	}
	c.DurationBetween("platform.retention", p.Retention, time.Second, 30*24*time.Hour)
	c.Between("platform.retentionRecords", p.RetentionRecords, 1, 10_000_000)
	c.Between("platform.appendsPerSecond", p.AppendsPerSecond, 1, 100_000)
	c.Between("platform.appendBurst", p.AppendBurst, 1, 100_000)
	c.DurationBetween("platform.vmLag", p.VMLag, 0, time.Hour)
	for i, vm := range p.VMs {
		c.NotEmpty(fmt.Sprintf("platform.vms[%d].name", i), vm.Name)
	}
}

func (o EngineOptions) check(c *settings.Check, field string) {
	c.HostPort(field+"address", o.Address)
	c.Between(field+"slots", o.Slots, 1, 1_000)
	c.Between(field+"concurrency", o.Concurrency, 1, 10_000)
	c.DurationBetween(field+"step", o.Step, 100*time.Microsecond, time.Second)
	c.DurationBetween(field+"reportLag", o.ReportLag, 0, time.Minute)
	c.DurationBetween(field+"keep", o.RequestRetention, time.Second, time.Hour)
}

func checkName(c *settings.Check, names map[string]bool, field, name string) {
	c.Require(name != "" && !names[name], field, fmt.Sprintf("%q", name), "a name that no other engine or service has")
	names[name] = true
}

func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.BaseModel, DefaultBaseModel)
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.Concurrency, DefaultConcurrency)
	setDefault(&o.Step, settings.Duration(DefaultStep))
	setDefault(&o.ReportLag, settings.Duration(DefaultReportLag))
	setDefault(&o.RequestRetention, settings.Duration(DefaultRequestRetention))
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
