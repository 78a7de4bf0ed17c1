// Package platform defines the interfaces to the platform: the append-only log service and the list of VMs. Each
// package beneath it implements them for one published protocol; no other package depends on a protocol.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Stream names one stream of the log service.
type Stream string

// Streams that are stored in the log service.
const (
	ConfigStream Stream = "config"
	LoadsStream  Stream = "loads"
	ClaimsStream Stream = "claims"
)

// OwnershipStream returns the stream in which the schedulers of a zone record which of them owns its backend servers.
func OwnershipStream(zone string) Stream { return Stream("ownership." + zone) }

// Offset is the position of a record in a stream. Offsets start at 1 and have no gaps; 0 means "none".
type Offset uint64

// Record is one immutable entry of a stream.
type Record struct {
	Offset Offset
	// Time is the log service's timestamp of the append. It is never compared with a local clock.
	Time time.Time
	Data []byte
}

// Batch is the result of a read.
type Batch struct {
	// Earliest is the lowest offset that is still retained.
	Earliest Offset
	// Next is the offset that the next appended record will get.
	Next    Offset
	Records []Record
}

// Log is the append-only log service.
type Log interface {
	// Append adds one record and returns its offset. On an error the record may nevertheless have been appended.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns records starting at from, and waits up to wait for the first one. It returns *TrimmedError when the
	// record at from has passed its retention.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Batch, error)
}

// TrimmedError reports that the record at the requested offset has passed its retention.
type TrimmedError struct {
	Stream   Stream
	From     Offset
	Earliest Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: offset %d has passed its retention, earliest is %d", e.Stream, e.From, e.Earliest)
}

// VMState is the state of a VM according to the platform.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list. The list is updated with a lag.
type VM struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone"`
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// VMList is the platform's list of VMs. It contains entry VMs and the VMs of backend servers.
type VMList interface {
	// VMs returns the current list.
	VMs(ctx context.Context) ([]VM, error)
}
