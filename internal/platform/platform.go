// Package platform declares what the system needs of the platform: the append-only log service and the list of VMs.
// Each adapter package beneath it speaks one published protocol; no other package knows the protocol.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Stream names one stream of the log service.
type Stream string

// Streams that the system keeps on the log service.
const (
	ConfigStream Stream = "config"
	LoadsStream  Stream = "loads"
	ClaimsStream Stream = "claims"
)

// OwnershipStream returns the stream on which the schedulers of a zone record who owns its backend servers.
func OwnershipStream(zone string) Stream { return Stream("ownership." + zone) }

// Offset is the position of a record in a stream. Offsets start at 1 and have no gaps; 0 means "none".
type Offset uint64

// Record is one immutable entry of a stream.
type Record struct {
	Offset Offset
	// Time is the log service's clock when it took the record. It is never compared with a local clock.
	Time time.Time
	Data []byte
}

// Batch is the answer to a read.
type Batch struct {
	// Earliest is the lowest offset still kept.
	Earliest Offset
	// Next is the offset that the next record will get.
	Next    Offset
	Records []Record
}

// Log is the append-only log service.
type Log interface {
	// Append adds one record and returns its offset. On an error the record may still have been taken.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns records from an offset on, waiting up to wait for the first. When records before
	// from have passed their retention it returns *TrimmedError.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Batch, error)
}

// TrimmedError says that the asked offset has passed its retention.
type TrimmedError struct {
	Stream   Stream
	From     Offset
	Earliest Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: offset %d has passed its retention, earliest is %d", e.Stream, e.From, e.Earliest)
}

// VMState is the platform's view of a VM.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list, which lags behind reality.
type VM struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone"`
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// VMList is the platform's list of VMs, entry VMs and backend server VMs alike.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
