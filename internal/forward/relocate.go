package forward

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

// Relocate requests loads elsewhere of the adapters that this node has used lately and that only servers hold that leave, the
// given one among them. It returns false once there are none.
func (f *Forwarder) Relocate(now time.Time, service, server string) (pending bool) {
	held := f.options.View.Adapters(server)
	for _, adapter := range f.options.Usage.Recent(now) {
		if !held[adapter] {
			continue
		}
		candidates := f.options.View.Candidates(now, service, adapter)
		if isHeldElsewhere(candidates) {
			continue
		}
		query := modelpick.Query{Adapter: adapter, Zone: f.options.Zone, Nodes: f.options.Nodes()}
		if target, _, found := modelpick.LoadTarget(candidates, query, ""); found {
			f.options.Usage.RequestCopy(now, target.ID, adapter)
		}
		pending = true
	}
	return pending
}

// isHeldElsewhere reports whether a server holds the adapter that doesn't leave.
func isHeldElsewhere(candidates []serverview.Candidate) bool {
	for _, c := range candidates {
		if c.Present && !c.Leaving {
			return true
		}
	}
	return false
}
