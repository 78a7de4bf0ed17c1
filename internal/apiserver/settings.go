// Package apiserver serves the resource API for operators: conditional writes, lists, watches, and the status of a
// resource version, that is, whether every node has applied it.
package apiserver

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/configlog"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// Settings configure waxwing-apiserver.
type Settings struct {
	settings.Common
	Config ConfigSettings `json:"config"`
	Limits LimitSettings  `json:"limits"`
}

// ConfigSettings configure how the configuration is written to the log and how its rollout is tracked.
type ConfigSettings struct {
	// Retention is how long the log service retains a record. A snapshot is written when the last one is older than a
	// third of it.
	Retention settings.Duration `json:"retention"`
	// SnapshotRecords is the number of records after which a snapshot is written.
	SnapshotRecords int `json:"snapshotRecords"`
	// SnapshotChunkBytes is the size of the part of a snapshot in one record; base64 makes the record a third larger.
	SnapshotChunkBytes int `json:"snapshotChunkBytes"`
	// SnapshotCheckInterval is the mean time between checks and the maximum random delay before a snapshot.
	SnapshotCheckInterval settings.Duration `json:"snapshotCheckInterval"`
	// RecordBytes bounds the operations that are written in one record.
	RecordBytes int `json:"recordBytes"`
	// WriteTimeout bounds the time until a change is read back, after which its outcome is unknown.
	WriteTimeout settings.Duration `json:"writeTimeout"`
	// SyncInterval is the time between syncs with a scheduler.
	SyncInterval settings.Duration `json:"syncInterval"`
	// NodeTableMaximumAge is the age of the node table above which no version is reported as in force.
	NodeTableMaximumAge settings.Duration `json:"nodeTableMaximumAge"`
}

// LimitSettings bound the resources that clients can use.
type LimitSettings struct {
	// BodyBytes bounds the body of a PUT or DELETE.
	BodyBytes int `json:"bodyBytes"`
	// BatchBytes bounds the body of a batch.
	BatchBytes int `json:"batchBytes"`
	// BodiesBytes bounds the memory for the bodies of all requests, each with its decoded form, beside a few KB of each.
	BodiesBytes int `json:"bodiesBytes"`
	// HeadsBytes bounds the memory for the heads of all requests, beside a few KB of each.
	HeadsBytes int `json:"headsBytes"`
	// Values bounds the JSON values of a body: objects, members and elements.
	Values int `json:"values"`
	// Connections bounds the clients' connections, open watches included.
	Connections int `json:"connections"`
	// DelimiterRate bounds the sizes and ends of chunks that are read, in bytes per second.
	DelimiterRate int `json:"delimiterRate"`
	// BatchOperations bounds the operations of a batch.
	BatchOperations int `json:"batchOperations"`
	// BodyTimeout bounds the time for a client to send a body or to receive one watch event.
	BodyTimeout settings.Duration `json:"bodyTimeout"`
	// Watches bounds the number of open watches.
	Watches int `json:"watches"`
	// BookmarkInterval is the time between bookmarks of a watch.
	BookmarkInterval settings.Duration `json:"bookmarkInterval"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Common: settings.DefaultCommon(),
		Config: ConfigSettings{
			Retention:             settings.Duration(24 * time.Hour),
			SnapshotRecords:       1000,
			SnapshotChunkBytes:    96 << 10,
			SnapshotCheckInterval: settings.Duration(30 * time.Second),
			RecordBytes:           64 << 10,
			WriteTimeout:          settings.Duration(10 * time.Second),
			SyncInterval:          settings.Duration(time.Second),
			NodeTableMaximumAge:   settings.Duration(5 * time.Second),
		},
		Limits: LimitSettings{
			BodyBytes:        1 << 20,
			BatchBytes:       16 << 20,
			BodiesBytes:      64 << 20,
			HeadsBytes:       16 << 20,
			Values:           250_000,
			Connections:      1536,
			DelimiterRate:    2 << 20,
			BatchOperations:  5000,
			BodyTimeout:      settings.Duration(30 * time.Second),
			Watches:          1000,
			BookmarkInterval: settings.Duration(10 * time.Second),
		},
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(c *settings.Check) {
	s.Common.Check(c)
	s.Config.check(c)
	s.Limits.check(c)
}

func (s *ConfigSettings) check(c *settings.Check) {
	c.DurationBetween("config.retention", s.Retention, time.Second, 10*365*24*time.Hour)
	c.Between("config.snapshotRecords", s.SnapshotRecords, 100, 100_000)
	c.Between("config.snapshotChunkBytes", s.SnapshotChunkBytes, 1<<10, 16<<20)
	c.DurationBetween("config.snapshotCheckInterval", s.SnapshotCheckInterval, 10*time.Millisecond, time.Hour)
	c.Require(s.SnapshotCheckInterval <= s.Retention/12, "config.snapshotCheckInterval", s.SnapshotCheckInterval.Std(),
		"at most a twelfth of config.retention")
	c.Between("config.recordBytes", s.RecordBytes, 1<<10, 16<<20)
	c.DurationBetween("config.writeTimeout", s.WriteTimeout, 100*time.Millisecond, 5*time.Minute)
	c.DurationBetween("config.syncInterval", s.SyncInterval, 10*time.Millisecond, time.Minute)
	c.DurationBetween("config.nodeTableMaximumAge", s.NodeTableMaximumAge, 10*time.Millisecond, time.Hour)
}

func (s *LimitSettings) check(c *settings.Check) {
	c.Between("limits.bodyBytes", s.BodyBytes, 1<<10, 64<<20)
	c.Between("limits.batchBytes", s.BatchBytes, 1<<10, 256<<20)
	c.Between("limits.bodiesBytes", s.BodiesBytes, 1<<20, 1<<30)
	c.Between("limits.headsBytes", s.HeadsBytes, 1<<20, 1<<30)
	c.Between("limits.values", s.Values, 1000, 1<<30)
	c.Between("limits.connections", s.Connections, 1, 1<<20)
	c.Between("limits.delimiterRate", s.DelimiterRate, 1<<10, 1<<30)
	c.Between("limits.batchOperations", s.BatchOperations, 1, 100_000)
	c.DurationBetween("limits.bodyTimeout", s.BodyTimeout, 10*time.Millisecond, 10*time.Minute)
	c.Between("limits.watches", s.Watches, 0, 100_000)
	c.DurationBetween("limits.bookmarkInterval", s.BookmarkInterval, 10*time.Millisecond, 10*time.Minute)
}

func (s *ConfigSettings) snapshotOptions() configlog.SnapshotOptions {
	return configlog.SnapshotOptions{
		Retention:     s.Retention.Std(),
		Records:       s.SnapshotRecords,
		ChunkBytes:    s.SnapshotChunkBytes,
		CheckInterval: s.SnapshotCheckInterval.Std(),
	}
}
