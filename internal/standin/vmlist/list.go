// Package vmlist is a stand-in for the platform's list of VMs, which shows changes after a lag.
package vmlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

// Target is the fault target of the list itself, for fault.Outage and fault.Slow. The target of a VM is its name.
const Target = "vms"

// change is a change of one VM's state, or its removal. It is visible in the list from visibleAt on.
type change struct {
	visibleAt time.Time
	state     platform.VMState
	removed   bool
}

// List is the VM list. Each VM has faults that mark it as leaving or remove it; both are permanent.
type List struct {
	faults *fault.Registry
	now    func() time.Time
	lag    time.Duration

	mu      sync.Mutex
	vms     []platform.VM
	changes map[string][]change
}

// New returns a list of VMs in which changes become visible after lag.
func New(vms []platform.VM, lag time.Duration, faults *fault.Registry, now func() time.Time) *List {
	list := &List{faults: faults, now: now, lag: lag, vms: vms, changes: make(map[string][]change)}
	faults.Declare(Target, fault.Outage, fault.Slow)
	for _, vm := range vms {
		faults.DeclareAction(vm.Name, fault.Leaving, func(fault.Order) { list.record(vm.Name, change{state: platform.VMLeaving}) })
		faults.DeclareAction(vm.Name, fault.Removed, func(fault.Order) { list.record(vm.Name, change{removed: true}) })
	}
	return list
}

// record adds a change that becomes visible after the lag.
func (l *List) record(name string, c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.visibleAt = l.now().Add(l.lag)
	l.changes[name] = append(l.changes[name], c)
}

// VMs returns the list with the changes that are visible now.
func (l *List) VMs() []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := make([]platform.VM, 0, len(l.vms))
	for _, vm := range l.vms {
		removed := false
		for _, c := range l.changes[vm.Name] {
			if l.now().Before(c.visibleAt) {
				break
			}
			removed = c.removed
			vm.State = c.state
		}
		if !removed {
			visible = append(visible, vm)
		}
	}
	return visible
}

// ServeHTTP answers GET /vms.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != httplog.VMsPath {
		http.NotFound(w, r)
		return
	}
	if !l.applyDelay(r) {
		return
	}
	if l.faults.Consume(Target, fault.Outage) {
		http.Error(w, "vm list outage", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(httplog.VMsResponse{VMs: l.VMs()})
}

// applyDelay applies fault.Slow and reports whether the caller is still connected.
func (l *List) applyDelay(r *http.Request) bool {
	timer := time.NewTimer(l.faults.Delay(Target))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
