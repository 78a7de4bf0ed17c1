// Package vmlist stands in for the platform's list of VMs, which lags behind reality.
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

// change is a state of one VM from a time on. It shows in the list once the lag has passed.
type change struct {
	shownAt time.Time
	state   platform.VMState
	gone    bool
}

// List is the VM list. Its faults are fault.Leaving and fault.Gone for each VM; both stay in force.
type List struct {
	board *fault.Board
	now   func() time.Time
	lag   time.Duration

	mu      sync.Mutex
	vms     []platform.VM
	changes map[string][]change
}

// New returns a list of VMs in which changes show after lag.
func New(vms []platform.VM, lag time.Duration, board *fault.Board, now func() time.Time) *List {
	list := &List{board: board, now: now, lag: lag, vms: vms, changes: make(map[string][]change)}
	board.Declare(Target, fault.Outage, fault.Slow)
	for _, vm := range vms {
		board.DeclareAction(vm.Name, fault.Leaving, func(fault.Order) { list.record(vm.Name, change{state: platform.VMLeaving}) })
		board.DeclareAction(vm.Name, fault.Gone, func(fault.Order) { list.record(vm.Name, change{gone: true}) })
	}
	return list
}

func (l *List) record(name string, c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.shownAt = l.now().Add(l.lag)
	l.changes[name] = append(l.changes[name], c)
}

// VMs returns the list as it shows now.
func (l *List) VMs() []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := make([]platform.VM, 0, len(l.vms))
	for _, vm := range l.vms {
		gone := false
		for _, c := range l.changes[vm.Name] {
			if l.now().Before(c.shownAt) {
				break
			}
			gone = c.gone
			vm.State = c.state
		}
		if !gone {
			shown = append(shown, vm)
		}
	}
	return shown
}

// ServeHTTP answers GET /vms.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != httplog.VMsPath {
		http.NotFound(w, r)
		return
	}
	if !l.pause(r) {
		return
	}
	if l.board.Take(Target, fault.Outage) {
		http.Error(w, "vm list outage", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(httplog.VMsAnswer{VMs: l.VMs()})
}

// pause applies fault.Slow and reports whether the caller is still there.
func (l *List) pause(r *http.Request) bool {
	timer := time.NewTimer(l.board.Delay(Target))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
