// Package membership maintains a table of the system's entry VMs by probes and gossip between their schedulers.
package membership

import (
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// ProcessReport is the status that a process reports to the scheduler of its VM.
type ProcessReport struct {
	// Process is a unique name, such as "vm-3/gateway".
	Process string
	// Role is "gateway" or "apiserver".
	Role string
	// Address is the ip:port of the process's service.
	Address string
	// Applied is the offset of the last configuration record that the process has applied.
	Applied uint64
	Leaving bool
}

// Table is the interface of membership for other parts of a scheduler. Its methods are safe for concurrent use.
type Table interface {
	// Nodes returns the table and its version, which increases with each change.
	Nodes() ([]*peerpb.NodeEntry, uint64)
	// Report records a process's report. A process that hasn't reported for a while is removed.
	Report(report ProcessReport)
}
