package forward

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
)

// loadDemand registers a waiting request's demand for an adapter at one server at a time.
type loadDemand struct {
	server string
	stop   func()
}

func (d *loadDemand) moveTo(j *job, server string, until time.Time) {
	if d.server == server {
		return
	}
	d.end()
	d.server = server
	d.stop = j.f.options.Usage.BeginWait(server, j.request.Adapter, j.rank(), until)
	j.f.options.Events.Emit(event.AdapterWanted, event.Fields{
		"request": j.request.ID, "adapter": j.request.Adapter.String(), "server": server, "reason": j.reason,
	})
}

func (d *loadDemand) end() {
	if d.stop != nil {
		d.stop()
		d.stop = nil
	}
}
