package serving

import (
	"context"
	"time"
)

// StoreEra numbers the times between returns of the store from older copies. It's 0 as long as the store doesn't name one.
type StoreEra int64

// MaximumStoreEra is the largest era that can be used. See storeera.Token.
const MaximumStoreEra StoreEra = 1<<21 - 1

// StoreEras judges the answers of the store by their eras.
type StoreEras interface {
	// Answered records the era that an answer names. It returns false if the answer belongs to an earlier era than the newest known.
	Answered(era StoreEra) (current bool)
	// Current returns the newest known era.
	Current() StoreEra
}

// Position is a position in one of the store's logs. After a return the store gives offsets out again, so that positions are ordered
// by era first.
type Position struct {
	Era    StoreEra
	Offset int64
}

// After reports whether p is behind q in the log, or of a later era.
func (p Position) After(q Position) bool {
	return p.Era > q.Era || p.Era == q.Era && p.Offset > q.Offset
}

// Cursor is a position in one of the store's streams. The zero value is before the first record.
type Cursor struct {
	Known bool
	// Era is the era of the store in which the cursor was read. In any other one it's meaningless.
	Era    StoreEra
	Offset int64
	// More is true when the stream had further records after this position at the time of the read.
	More bool
}

// Position returns the position of the cursor.
func (c Cursor) Position() Position { return Position{Era: c.Era, Offset: c.Offset} }

// OperatorBatch holds the operators' declarations since a cursor.
type OperatorBatch struct {
	// Configurations is in the order of the records.
	Configurations []*Configuration
	Versions       []AdapterVersion
	// Invalid holds the errors of records that can't be decoded.
	Invalid []error
	Next    Cursor
}

// ServerBatch holds the changes of server entries since a cursor.
type ServerBatch struct {
	// Complete is true when Present lists every server that has an entry.
	Complete bool
	Present  []Server
	// Gone holds the IDs of servers whose entries were removed.
	Gone []string
	// Invalid holds the errors of entries that can't be decoded, by ID; such servers can't be used.
	Invalid map[string]error
	Next    Cursor
}

// VersionSighting is the record that servers of a software version served a service at a time.
type VersionSighting struct {
	Service         string
	SoftwareVersion string
	At              time.Time
}

// ServiceVersion is a software version of a service's servers.
type ServiceVersion struct{ Service, SoftwareVersion string }

// VersionAge is a software version, and how long ago servers of it served at the latest.
type VersionAge struct {
	ServiceVersion
	Age time.Duration
}

// VersionCoverage states which software versions have served for a time: those of Seen and no others. It holds durations
// instead of times, as the clocks of nodes differ and may be moved. Both only become longer after it was recorded.
type VersionCoverage struct {
	// Partition is the partition of leases whose owner has observed this.
	Partition int
	// Covered is the time before the record for which the statement holds.
	Covered time.Duration
	// Next is the position in the servers' entries up to which it holds. Its era is 0 if an older build recorded it.
	Next Position
	Seen []VersionAge
}

// StreamOrigin is where a stream began.
type StreamOrigin struct {
	Request         string
	Service         string
	SoftwareVersion string
	// Remaining is how long the stream could still be resumed when the record was written.
	Remaining time.Duration
}

// Membership is the store's answer to a join of the group whose members divide the servers among themselves.
type Membership struct {
	// Era is the era of the store in which it answered.
	Era StoreEra
	// Generation increases with each change of the group within an era.
	Generation int64
	// Partitions holds the partitions assigned to this member.
	Partitions []int
}

// Owners says which member of the group holds each partition.
type Owners struct {
	// Era is the era of the store in which it answered.
	Era         StoreEra
	ByPartition map[int]string
}

// Store is the interface of a node to the platform's store. Each call is bounded in time; a failed call may be retried.
type Store interface {
	// ReadOperator returns the declarations after the cursor. If there are none, it waits for one, up to the given time.
	ReadOperator(ctx context.Context, after Cursor, wait time.Duration) (OperatorBatch, error)
	// ReadServers returns the changes after the cursor, without waiting.
	ReadServers(ctx context.Context, after Cursor) (ServerBatch, error)
	// ReadSightings returns the latest sighting of each software version that nodes have recorded, and the latest coverage by
	// each partition.
	ReadSightings(ctx context.Context) ([]VersionSighting, []VersionCoverage, error)
	// RecordSightings records sightings, and a coverage unless it's nil, for nodes that start later.
	RecordSightings(ctx context.Context, sightings []VersionSighting, coverage *VersionCoverage) error
	// ReadServerVersions returns all versions in the servers' entries since a position, including those of entries that have
	// been removed. complete is false if not all of them are retained, or if the position belongs to an earlier era.
	ReadServerVersions(ctx context.Context, from Position) (versions []ServiceVersion, complete bool, err error)
	// AppendOrigins records origins and deletes those of expired requests, in one call.
	AppendOrigins(ctx context.Context, origins []StreamOrigin, expired []string) error
	// ReadOrigins returns the origins that were recorded since a cursor.
	ReadOrigins(ctx context.Context, after Cursor) (origins []StreamOrigin, next Cursor, err error)
	// Join makes member a member of the group, or renews its membership. The generation is the last one received, or 0.
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (Membership, error)
	// Leave ends the membership.
	Leave(ctx context.Context, member string) error
	// Owners returns the owner of each partition.
	Owners(ctx context.Context) (Owners, error)
}

// ModelServers sends orders to model servers and reads their reports.
type ModelServers interface {
	// Report returns the server's report. The report's Notice is also valid beside an error if the server has answered.
	Report(ctx context.Context, server Server) (Report, error)
	// Order sends an order, unless allowed returns false just before the first byte; the outcome is then OrderUnsent. An
	// error only explains the outcome.
	Order(ctx context.Context, server Server, order Order, allowed func() bool) (OrderResult, error)
}
