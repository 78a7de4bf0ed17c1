package serving

import (
	"context"
	"time"
)

// Cursor is a position in one of the store's streams. The zero value is before everything.
type Cursor struct {
	Known  bool
	Offset int64
}

// OperatorBatch is what operators declared since a cursor.
type OperatorBatch struct {
	// Configurations are in the order of their records.
	Configurations []*Configuration
	Versions       []AdapterVersion
	// Invalid are records that can't be read.
	Invalid []error
	Next    Cursor
}

// ServerBatch is what servers said of themselves since a cursor.
type ServerBatch struct {
	// Complete is true when Present lists every server that has an entry.
	Complete bool
	Present  []Server
	Gone     []string
	// Invalid are the IDs of entries that can't be read; they name no server to use.
	Invalid map[string]error
	Next    Cursor
}

// Membership is the store's answer to a join of the group that shares out the servers.
type Membership struct {
	// Generation grows with each change of the group.
	Generation int64
	// Partitions are those that belong to this member.
	Partitions []int
}

// Store is the platform's store as a node uses it. Each call is bounded in time; a failed one may be repeated.
type Store interface {
	// ReadOperator returns what came after the cursor. It waits up to wait for something new.
	ReadOperator(ctx context.Context, after Cursor, wait time.Duration) (OperatorBatch, error)
	// ReadServers returns what came after the cursor, without waiting.
	ReadServers(ctx context.Context, after Cursor) (ServerBatch, error)
	// Join makes member a member of the group, or keeps it one. The generation is the last one received, or 0.
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (Membership, error)
	// Leave ends the membership.
	Leave(ctx context.Context, member string) error
	// Owners returns the member that holds each partition.
	Owners(ctx context.Context) (map[int]string, error)
}

// ModelServers gives orders to model servers and reads their reports.
type ModelServers interface {
	Report(ctx context.Context, server Server) (Report, error)
	// Order returns an error only to explain the outcome.
	Order(ctx context.Context, server Server, order Order) (OrderOutcome, error)
}
