// Package configlog keeps a process's replica of the configuration up to date, from the log service or from peers.
package configlog

import (
	"context"
	"net/http"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// Options are the dependencies of a replica.
type Options struct {
	Log platform.Log
	// Peers returns the RPC addresses (ip:port) of processes that serve ConfigFeed.
	Peers  func() []string
	Events *event.Log
}

// Replica is a process's copy of the configuration. It implements resource.Source.
type Replica struct{}

// NewReplica returns a replica that knows nothing until Run has read the log or a peer.
func NewReplica(options Options) *Replica { return &Replica{} }

// Run follows the configuration until ctx ends.
func (r *Replica) Run(ctx context.Context) error { return nil }

// View implements resource.Source.
func (r *Replica) View() *resource.View { return nil }

// Changed implements resource.Source.
func (r *Replica) Changed() <-chan struct{} { return nil }

// Ready returns nil when the configuration is known, or an error that says why not.
func (r *Replica) Ready() error { return nil }

// Feed returns the handler of the ConfigFeed service, to be mounted at peerpb.ConfigFeedPathPrefix.
func (r *Replica) Feed() http.Handler { return nil }
