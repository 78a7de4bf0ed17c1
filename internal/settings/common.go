package settings

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Node identifies the VM that a process runs on.
type Node struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

// Platform holds the settings for access to the platform's services.
type Platform struct {
	// LogURL is the base URL of the log service, such as "http://10.0.0.1:7000".
	LogURL string `json:"logURL"`
	// VMListURL is the base URL of the service that lists the VMs.
	VMListURL string `json:"vmListURL"`
	// Timeout limits each call that doesn't wait for new records.
	Timeout Duration `json:"timeout"`
}

// TLS holds the paths of the PEM files for TLS. If they are empty, TLS is disabled.
type TLS struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
	// ClientCAFile holds the certificate authorities for client certificates. If it is set, the server requires and
	// verifies client certificates.
	ClientCAFile string `json:"clientCAFile"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// Check implements Checker.
func (t *TLS) Check(c *Check) {
	c.Require((t.CertificateFile == "") == (t.KeyFile == ""), "tls.keyFile", t.KeyFile,
		"a file when tls.certificateFile is set, else nothing")
	c.Require(t.ClientCAFile == "" || t.Enabled(), "tls.clientCAFile", t.ClientCAFile,
		"nothing unless tls.certificateFile is set")
}

// Common holds the settings common to all server processes.
type Common struct {
	Node Node `json:"node"`
	// Listen is the ip:port address of the process's service.
	Listen string `json:"listen"`
	// AdminListen is the ip:port address of the admin endpoint: /healthz, /readyz, /metrics and /debug/decisions.
	AdminListen string `json:"adminListen"`
	// TLS applies to Listen, where callers or operators connect.
	TLS      TLS      `json:"tls"`
	Platform Platform `json:"platform"`
	// Schedulers holds ip:port RPC addresses of schedulers to contact first. Other schedulers are discovered through
	// membership.
	Schedulers []string `json:"schedulers"`
	LogLevel   string   `json:"logLevel"`
	// ShutdownTimeout limits the duration of a graceful shutdown.
	ShutdownTimeout Duration `json:"shutdownTimeout"`
	// Internal applies to the addresses that other processes of the site, operators and monitoring use.
	Internal InternalLimits `json:"internal"`
}

// InternalLimits bound what requests of other processes of the site, operators and monitoring can make a process hold.
type InternalLimits struct {
	// BodyBytes bounds a body, and BodiesBytes the memory for the bodies of all requests, beside a few KB of each.
	BodyBytes   int `json:"bodyBytes"`
	BodiesBytes int `json:"bodiesBytes"`
	// HeadsBytes bounds the memory for the heads of all requests, beside a few KB of each.
	HeadsBytes int `json:"headsBytes"`
	// DelimiterRate bounds the sizes and ends of chunks that are read, in bytes per second.
	DelimiterRate int `json:"delimiterRate"`
	// BodyTimeout bounds the time to read a body, and each write of an answer.
	BodyTimeout Duration `json:"bodyTimeout"`
}

func (l *InternalLimits) check(c *Check) {
	c.Between("internal.bodyBytes", l.BodyBytes, 1<<10, 256<<20)
	c.Between("internal.bodiesBytes", l.BodiesBytes, 1<<20, 1<<30)
	c.Between("internal.headsBytes", l.HeadsBytes, 1<<20, 1<<30)
	c.Between("internal.delimiterRate", l.DelimiterRate, 1<<10, 1<<30)
	c.DurationBetween("internal.bodyTimeout", l.BodyTimeout, 100*time.Millisecond, 5*time.Minute)
}

// DefaultCommon returns the default settings.
func DefaultCommon() Common {
	return Common{
		Platform:        Platform{Timeout: Duration(2 * time.Second)},
		LogLevel:        logrus.InfoLevel.String(),
		ShutdownTimeout: Duration(5 * time.Minute),
		Internal: InternalLimits{
			BodyBytes:     8 << 20,
			BodiesBytes:   32 << 20,
			HeadsBytes:    16 << 20,
			DelimiterRate: 2 << 20,
			BodyTimeout:   Duration(30 * time.Second),
		},
	}
}

// Check implements Checker.
func (s *Common) Check(c *Check) {
	c.NotEmpty("node.name", s.Node.Name)
	c.NotEmpty("node.region", s.Node.Region)
	c.NotEmpty("node.zone", s.Node.Zone)
	c.HostPort("listen", s.Listen)
	c.HostPort("adminListen", s.AdminListen)
	s.TLS.Check(c)
	c.NotEmpty("platform.logURL", s.Platform.LogURL)
	c.DurationBetween("platform.timeout", s.Platform.Timeout, 50*time.Millisecond, time.Minute)
	c.DurationBetween("shutdownTimeout", s.ShutdownTimeout, time.Second, time.Hour)
	s.Internal.check(c)
	for _, address := range s.Schedulers {
		c.HostPort("schedulers", address)
	}
	_, err := logrus.ParseLevel(s.LogLevel)
	c.Require(err == nil, "logLevel", s.LogLevel, "error, warning, info or debug")
}
