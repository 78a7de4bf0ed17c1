// Package apiserver serves the operators' resource API: conditional writes, lists, watches, and whether a resource
// version is in force at every node.
package apiserver

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/configlog"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// Settings are the settings of waxwing-apiserver.
type Settings struct {
	settings.Common
	Config ConfigSettings `json:"config"`
	Limits LimitSettings  `json:"limits"`
}

// ConfigSettings say how the configuration is written to the log.
type ConfigSettings struct {
	// Retention is for how long the log service keeps a record. A snapshot is written every third of it.
	Retention settings.Duration `json:"retention"`
	// SnapshotRecords is the number of records after which a snapshot is written.
	SnapshotRecords int `json:"snapshotRecords"`
	// SnapshotChunkBytes is the size of a snapshot's part in one record; base64 makes the record a third larger.
	SnapshotChunkBytes int `json:"snapshotChunkBytes"`
	// SnapshotCheckInterval is the mean time between two checks, and the longest random delay before a snapshot.
	SnapshotCheckInterval settings.Duration `json:"snapshotCheckInterval"`
	// RecordBytes bounds the operations that are written in one record.
	RecordBytes int `json:"recordBytes"`
	// WriteTimeout bounds the time until a change is read back; after it the outcome is unknown.
	WriteTimeout settings.Duration `json:"writeTimeout"`
	// SyncInterval is the time between two syncs with a scheduler.
	SyncInterval settings.Duration `json:"syncInterval"`
	// NodeTableMaximumAge is the age of the node table above which nothing is said to be in force.
	NodeTableMaximumAge settings.Duration `json:"nodeTableMaximumAge"`
}

// LimitSettings bound what one client can take.
type LimitSettings struct {
	// BodyBytes bounds the body of a PUT or DELETE.
	BodyBytes int `json:"bodyBytes"`
	// BatchBytes bounds the body of a batch.
	BatchBytes int `json:"batchBytes"`
	// BatchOperations bounds the operations of a batch.
	BatchOperations int `json:"batchOperations"`
	// BodyTimeout bounds the time to send a body, and to take one watch event.
	BodyTimeout settings.Duration `json:"bodyTimeout"`
	// Watches bounds the open watches.
	Watches int `json:"watches"`
	// BookmarkInterval is the time between two bookmarks of an idle watch.
	BookmarkInterval settings.Duration `json:"bookmarkInterval"`
}

// DefaultSettings returns the defaults.
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
