// Package node implements the serving node: one process on each entry VM that serves callers and gives orders to the
// model servers whose leases it holds. It connects the decision logic of other packages to the network.
package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// Settings are the settings of a serving node.
type Settings struct {
	Node settings.Node `json:"node"`
	// Listen is the address for callers, ip:port.
	Listen string `json:"listen"`
	// ReadyListen is the address for the readiness probes of the load balancer, ip:port.
	ReadyListen string `json:"readyListen"`
	// PeerListen is the address for messages between nodes, ip:port. It also identifies the node as a lease holder.
	PeerListen string `json:"peerListen"`
	// AdminListen serves /healthz, /readyz and /metrics, ip:port.
	AdminListen string        `json:"adminListen"`
	Store       StoreSettings `json:"store"`
	// RetryBudget bounds the retries of all nodes of the site together.
	RetryBudget RetryBudgetSettings `json:"retryBudget"`
	// OrdersFenced is true when model servers refuse orders with an old fencing token.
	OrdersFenced bool `json:"ordersFenced"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s; 0 if it isn't known. Of VMs with unequal links the ones with
	// large links hold the leases.
	LinkMbps float64 `json:"linkMbps"`
	// Keys bounds how long a revoked API key may be accepted.
	Keys KeySettings `json:"keys"`
	// Quota bounds how far customers' quotas may be exceeded.
	Quota    QuotaSettings `json:"quota"`
	LogLevel string        `json:"logLevel"`
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout settings.Duration `json:"shutdownTimeout"`
	// MemoryMB is the VM's memory that this process may use.
	MemoryMB int `json:"memoryMB"`
	// Descriptors is the number of files and sockets that this process may open.
	Descriptors int `json:"descriptors"`
	// Callers bounds what callers can make the process hold.
	Callers CallerSettings `json:"callers"`
}

// CallerSettings bound what callers can make the process hold.
type CallerSettings struct {
	// Connections is the number of callers' connections; 0 for what the descriptors and the memory allow.
	Connections int `json:"connections"`
	// BodiesMB is the memory for the bodies of all requests; 0 for a share of the process's memory.
	BodiesMB int `json:"bodiesMB"`
	// HeadsMB is the memory for the heads of all requests; 0 for a share of the process's memory.
	HeadsMB int `json:"headsMB"`
	// BufferKB is the size of the kernel's buffers of a connection, in each direction.
	BufferKB int `json:"bufferKB"`
	// BodyStall is the time without a byte after which a body is given up, BodyTimeout bounds the time for a body whose request has no
	// deadline.
	BodyStall   settings.Duration `json:"bodyStall"`
	BodyTimeout settings.Duration `json:"bodyTimeout"`
	// AnswerStall is the time for which a caller may accept no byte of its answer.
	AnswerStall settings.Duration `json:"answerStall"`
	// DelimiterKBps bounds the sizes and ends of chunks that are read, in KB per second.
	DelimiterKBps int `json:"delimiterKBps"`
}

// StoreSettings locate the platform's store.
type StoreSettings struct {
	// Address is ip:port.
	Address string `json:"address"`
	// Partitions is the number of partitions of a topic.
	Partitions int `json:"partitions"`
}

// RetryBudgetSettings bound a site's retries in each Window to Ratio times its requests plus Slack.
type RetryBudgetSettings struct {
	Ratio  float64           `json:"ratio"`
	Slack  float64           `json:"slack"`
	Window settings.Duration `json:"window"`
}

// KeySettings bound how long a revoked API key may be accepted.
type KeySettings struct {
	// Strict makes a node accept keys only while it can prove that its configuration is recent.
	Strict bool `json:"strict"`
	// Revocation is the time from the store's acceptance of a configuration without a key until the key is accepted by no node.
	Revocation settings.Duration `json:"revocation"`
}

// QuotaSettings bound the use of a customer in each Window to its quota for that time, with the burst, times 1 + Over, plus
// Slack units.
type QuotaSettings struct {
	Window settings.Duration `json:"window"`
	Over   float64           `json:"over"`
	Slack  float64           `json:"slack"`
}

const (
	maximumPartitions = 1024
	maximumMemoryMB   = 1 << 20
	// minimumDescriptors leaves some connections to callers beside those to servers, the store and other nodes.
	minimumDescriptors = 256
	maximumDescriptors = 1 << 20
)

// DefaultSettings returns the settings that apply where the settings file sets nothing.
func DefaultSettings() Settings {
	return Settings{
		LogLevel:        logrus.InfoLevel.String(),
		ShutdownTimeout: settings.Duration(8 * time.Second),
		RetryBudget:     RetryBudgetSettings{Ratio: 0.1, Window: settings.Duration(10 * time.Second)},
		Keys:            KeySettings{Strict: true, Revocation: settings.Duration(5 * time.Second)},
		Quota:           QuotaSettings{Window: settings.Duration(8 * time.Second), Over: 0.1},
		Descriptors:     4096,
		Callers: CallerSettings{
			BufferKB:      16,
			BodyStall:     settings.Duration(10 * time.Second),
			BodyTimeout:   settings.Duration(time.Minute),
			AnswerStall:   settings.Duration(15 * time.Second),
			DelimiterKBps: 2048,
		},
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(c *settings.Check) {
	c.NotEmpty("node.name", s.Node.Name)
	c.NotEmpty("node.zone", s.Node.Zone)
	c.HostPort("listen", s.Listen)
	c.HostPort("readyListen", s.ReadyListen)
	c.HostPort("peerListen", s.PeerListen)
	c.HostPort("adminListen", s.AdminListen)
	c.HostPort("store.address", s.Store.Address)
	c.Between("store.partitions", s.Store.Partitions, 1, maximumPartitions)
	ratio := s.RetryBudget.Ratio
	c.Require(ratio >= 0 && ratio <= 1, "retryBudget.ratio", ratio, "a number from 0 to 1")
	c.Require(s.RetryBudget.Slack >= 0, "retryBudget.slack", s.RetryBudget.Slack, "a number of 0 or more")
	c.DurationBetween("retryBudget.window", s.RetryBudget.Window, time.Second, time.Hour)
	c.Require(s.LinkMbps >= 0, "linkMbps", s.LinkMbps, "a number of 0 or more")
	c.Require(!s.Keys.Strict || s.Keys.Revocation.Std() >= time.Second, "keys.revocation", s.Keys.Revocation.Std(),
		"a duration of 1s or more")
	c.Require(s.Quota.Over >= 0 && s.Quota.Slack >= 0, "quota", s.Quota, "numbers of 0 or more")
	c.DurationBetween("shutdownTimeout", s.ShutdownTimeout, time.Second, time.Hour)
	c.Between("memoryMB", s.MemoryMB, 1, maximumMemoryMB)
	c.Between("descriptors", s.Descriptors, minimumDescriptors, maximumDescriptors)
	s.Callers.check(c)
	_, err := logrus.ParseLevel(s.LogLevel)
	c.Require(err == nil, "logLevel", s.LogLevel, "error, warning, info or debug")
}

func (s *CallerSettings) check(c *settings.Check) {
	c.Between("callers.connections", s.Connections, 0, maximumDescriptors)
	c.Between("callers.bodiesMB", s.BodiesMB, 0, maximumMemoryMB)
	c.Between("callers.headsMB", s.HeadsMB, 0, maximumMemoryMB)
	c.Between("callers.bufferKB", s.BufferKB, 4, 4096)
	c.DurationBetween("callers.bodyStall", s.BodyStall, 100*time.Millisecond, 10*time.Minute)
	c.DurationBetween("callers.bodyTimeout", s.BodyTimeout, 100*time.Millisecond, time.Hour)
	c.DurationBetween("callers.answerStall", s.AnswerStall, 100*time.Millisecond, 10*time.Minute)
	c.Between("callers.delimiterKBps", s.DelimiterKBps, 1, 1<<20)
}
