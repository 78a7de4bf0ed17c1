// Package retrybudget limits the retries that one node sends to a service, so that the sum over all nodes stays within
// a limit for the site without messages between the nodes.
package retrybudget

import "time"

// Options describes a site's limit on retries: over all nodes and in each window, Ratio times the requests plus Slack.
type Options struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes is the assumed number of nodes that share the slack.
	Nodes int
}

// safetyShare is the share of the limit that is used. The rest covers nodes that join, the offsets between sliding
// windows, and requests that a server counts as retries although this node sent them once.
const safetyShare = 0.5

// Budget counts the requests and retries of one service in slices of a sliding window. It isn't safe for concurrent
// use.
type Budget struct {
	options Options
	slices  [sliceCount]slice
}

const sliceCount = 10

// slice holds the counts of one slice of time; number is its index since the Unix epoch.
type slice struct {
	number   int64
	requests int
	retries  int
}

// New returns an empty budget.
func New(options Options) *Budget { return &Budget{options: options} }

// Request counts a request that a caller sent to the service.
func (b *Budget) Request(now time.Time) { b.current(now).requests++ }

// TryRetry reports whether the budget allows another retry, and counts it if so.
func (b *Budget) TryRetry(now time.Time) bool {
	current := b.current(now)
	requests, retries := 0, 0
	for _, s := range b.slices {
		if current.number-s.number < sliceCount {
			requests += s.requests
			retries += s.retries
		}
	}
	allowed := safetyShare * (b.options.Ratio*float64(requests) + b.options.Slack/float64(max(b.options.Nodes, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
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
