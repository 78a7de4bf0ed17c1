// Package loadqueue orders the loads of all schedulers, so that the rate-limited weight store serves the most urgent
// load first and one load at a time runs at full speed.
package loadqueue

import (
	"context"
	"errors"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// PrefetchClass is the class rank of loads that no request waits for. It ranks below every declared class.
const PrefetchClass uint32 = 1 << 16

// ErrSuperseded means that another load of the same adapter version was accepted first.
var ErrSuperseded = errors.New("another load of the same adapter version was accepted first")

// Request is a request to load an adapter version on a server.
type Request struct {
	// ID is unique and stays the same when the append is retried.
	ID      string
	Class   uint32
	Adapter string
	Version string
	Server  string
	// AppliedOffset is the last offset of the loads stream that the requester had applied when it decided on the load.
	AppliedOffset platform.Offset
}

// Turn is the right to run one load now.
type Turn struct {
	Request Request
	// Number is unique among all loads.
	Number engine.LoadNumber
	// Local is true when the log was unreachable and the turn was granted from this scheduler's share of the rate.
	Local bool
}

// Pending is an accepted load that has not ended.
type Pending struct {
	Request Request
	Offset  platform.Offset
	Running bool
}

// Queue grants turns. It is safe for concurrent use.
type Queue interface {
	// AppliedOffset returns the last offset of the loads stream that has been applied.
	AppliedOffset() platform.Offset
	// Pending returns the accepted loads of all schedulers that have not ended, in the order of their turns.
	Pending() []Pending
	// Acquire waits for the turn of request or the end of ctx. It returns ErrSuperseded when another request for
	// the same adapter version was accepted first. When ctx ends the request is withdrawn.
	Acquire(ctx context.Context, request Request) (Turn, error)
	// Finish ends a turn, whether the load succeeded or not.
	Finish(turn Turn, loaded bool)
}
