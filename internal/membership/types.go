// Package membership keeps a table of the system's VMs by probes and gossip between their schedulers.
package membership

import (
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// ProcessReport is what a process of a VM tells its scheduler about itself.
type ProcessReport struct {
	// Process is unique, such as "vm-3/gateway".
	Process string
	// Role is "gateway" or "apiserver".
	Role string
	// Address is ip:port of the process's service.
	Address string
	// Applied is the offset of the last configuration record that the process has applied.
	Applied uint64
	Leaving bool
}

// Table is what other duties of a scheduler need of membership. Its methods may be called from any goroutine.
type Table interface {
	// Nodes returns the table and its version, which grows with each change.
	Nodes() ([]*peerpb.NodeEntry, uint64)
	// Report takes a process's report. A process that hasn't reported for a while is forgotten.
	Report(report ProcessReport)
}
