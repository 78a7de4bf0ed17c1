// Package retrybudget bounds the repeats that one node sends to a service, so that the sum over all nodes keeps a
// bound of the whole site without any message between them.
package retrybudget

import "time"

// Options are a site's bound on repeats: in each window, ratio times the requests plus slack over all nodes.
type Options struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes is the number of nodes that share the slack, as a node assumes it.
	Nodes int
}

// safetyShare is the part of the bound that is used. The rest covers nodes that join, windows that slide, and
// requests that a server counts as repeats though this node sent them once.
const safetyShare = 0.5

// Budget counts requests and repeats of one service in slices of a sliding window. It isn't safe for concurrent use.
type Budget struct {
	options Options
	slices  [sliceCount]slice
}

const sliceCount = 10

type slice struct {
	number   int64
	requests int
	repeats  int
}

// New returns an empty budget.
func New(options Options) *Budget { return &Budget{options: options} }

// Request counts a request that a caller sent for the service.
func (b *Budget) Request(now time.Time) { b.current(now).requests++ }

// TryRepeat reports whether one more sending fits, and counts it if so.
func (b *Budget) TryRepeat(now time.Time) bool {
	current := b.current(now)
	requests, repeats := 0, 0
	for _, s := range b.slices {
		if current.number-s.number < sliceCount {
			requests += s.requests
			repeats += s.repeats
		}
	}
	allowed := safetyShare * (b.options.Ratio*float64(requests) + b.options.Slack/float64(max(b.options.Nodes, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}

func (b *Budget) current(now time.Time) *slice {
	number := now.UnixNano() / int64(b.options.Window/sliceCount)
	current := &b.slices[number%sliceCount]
	if current.number != number {
		*current = slice{number: number}
	}
	return current
}

// SetNodes sets the number of nodes that share the slack.
func (b *Budget) SetNodes(nodes int) { b.options.Nodes = nodes }
