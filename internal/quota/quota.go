// Package quota keeps the use of a customer at all nodes of a site within its quota. One node, the coordinator of the
// customer, has a token bucket and grants credit to the nodes that send the customer's requests. The types are
// deterministic state machines without I/O or clock; they aren't safe for concurrent use. Times are readings of a clock that
// goes on while the VM is suspended.
package quota

import "time"

// Quota bounds a customer's use at all nodes together, in units of its own.
type Quota struct{ PerSecond, Burst float64 }

// Bound says how far a quota may be exceeded: in each Window by Over, a share of what the quota allows in it, and Slack units.
type Bound struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// excess returns the units by which a quota may be exceeded in one window.
func (b Bound) excess(q Quota) float64 {
	return b.Over*(b.Window.Seconds()*q.PerSecond+q.Burst) + b.Slack
}

// Limit returns the most that may run at servers in one window.
func (b Bound) Limit(q Quota) float64 {
	return b.Window.Seconds()*q.PerSecond + q.Burst + b.excess(q)
}

const (
	// creditLifetime is how long credit may be used after the request for it was sent.
	creditLifetime = time.Second
	// shareWindow is the time over which a node's continuing share is the mean of its grants.
	shareWindow = 8 * time.Second
	// shareLifetime is how long after its coordinator's last answer a node continues within its share.
	shareLifetime = 3 * time.Second
	// shareMargin covers the time from the coordinator's answer to its arrival.
	shareMargin = 200 * time.Millisecond
	// inheritedLifetime is how long a previous coordinator may go on granting after this one has become the owner: its lease
	// lasts 0.7 x 1.8 s after its last join. Nodes that reach neither of them then still use their shares; with a wait for
	// those too, a third less was served under faults (0.34 of the due instead of 0.50), at 0.81 of the bound instead of 0.87.
	inheritedLifetime = 1300*time.Millisecond + shareMargin
	// takeoverBurst and takeoverRate are the parts of the allowed excess, at once and for each second, that a new
	// coordinator grants beyond the shares that nodes report. They serve nodes without a share while those of nodes that
	// the coordinator can't reach may still be in use.
	takeoverBurst = 0.3
	takeoverRate  = 0.1
	// unreachableShare is the part of the rate that all nodes without a coordinator use together.
	unreachableShare = 0.05
	// unreachableSaving is how much of the rate a node without a coordinator may save up. Together with the use within a
	// window, all nodes then stay below the excess of 0.1 that is allowed.
	unreachableSaving = 8 * time.Second
	// unreachableSlack is the part of the bound's slack that nodes without a coordinator may save up in addition. It admits
	// requests that cost more than the saved rate of one node of many.
	unreachableSlack = 0.25
	// grantMemory is how long grants are remembered for repeated requests and returns.
	grantMemory = 3 * time.Second
	// aheadTime is the expected use for which a node asks in advance.
	aheadTime = 500 * time.Millisecond
	// aheadShare is the part of the burst that may be granted in advance to all nodes together, and tightShare the part
	// of the burst below which a coordinator counts as near the limit.
	aheadShare = 0.25
	tightShare = 0.5
)

// Ask requests credit of a customer's coordinator. Customer, node and ID together identify it.
type Ask struct {
	Customer string
	ID       uint64
	// Cost is what the request needs, Ahead what the node expects to use soon in addition.
	Cost, Ahead float64
	// Left is the unused credit that the node still has.
	Left float64
	// Share is the rate at which the node continues if the coordinator is silent, in units a second.
	Share float64
	// Continued is what the node used without credit since the last answer.
	Continued float64
	// Priority is the rank, 0 the most urgent.
	Priority int
	Patience time.Duration
}

// Answer answers an Ask.
type Answer struct {
	ID uint64
	// Granted is the credit; zero if there is none yet.
	Granted float64
	// Queued is true when the request waits for its credit.
	Queued bool
	// Soon is true when the credit will probably be granted before the node repeats the request, so that this answer needn't be
	// sent.
	Soon bool
	// RoomIn is the time after which there is probably credit, for a request that is neither granted nor queued.
	RoomIn time.Duration
	// Tight is true near the limit. Nodes then return unused credit at once, and shares that they don't need.
	Tight bool
}

// Return gives back unused credit, ends a queued request, or releases the node's continuing share.
type Return struct {
	Customer string
	ID       uint64
	Amount   float64
	// Release is true when the node gives up its continuing share.
	Release bool
}
