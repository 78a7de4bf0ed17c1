package node

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/quota"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// The forwarder shows the state of quotas and slots only if they implement these interfaces.
var (
	_ forward.QuotaViewer = (*quotas)(nil)
	_ forward.SlotViewer  = (*slots)(nil)
)

// wherePath is the path of the explanation of where a request would be routed.
const wherePath = "/where"

// whereError is the body of an error, in the format of the resource API.
type whereError struct {
	Error struct {
		Code    string   `json:"code"`
		Message string   `json:"message"`
		Similar []string `json:"similar,omitempty"`
	} `json:"error"`
}

// handleWhere adds the handler that explains where a request would be routed.
func (n *Node) handleWhere(mux *http.ServeMux) { mux.HandleFunc("GET "+wherePath, n.serveWhere) }

func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	var body any
	status := http.StatusOK
	description, err := forward.ParseDescription(r.URL.Query())
	if err != nil {
		status, body = http.StatusBadRequest, newWhereError("invalid", err)
	} else if where, err := n.forwarder.Where(description); err != nil {
		status, body = http.StatusNotFound, newWhereError("not_found", err)
	} else {
		body = where
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.events.EmitError(event.PeerMessageFailed, err, nil)
	}
}

func newWhereError(code string, err error) (body whereError) {
	body.Error.Code, body.Error.Message = code, err.Error()
	var unknown *forward.UnknownNameError
	if errors.As(err, &unknown) {
		body.Error.Similar = unknown.Similar
	}
	return body
}

// View implements forward.QuotaViewer.
func (q *quotas) View(customer *serving.Customer, cost float64, priority int) forward.QuotaState {
	now := bootTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	coordinator := q.coordinatorOf(customer.Name)
	decision, decided := q.client.Preview(now, quota.Request{
		Customer: customer.Name, Quota: quotaOf(customer), Coordinator: coordinator, Nodes: q.node.peers.count(),
		Cost: cost, Priority: priority,
	})
	client := q.client.State(now, customer.Name, coordinator)
	state := forward.QuotaState{
		Decision: forward.QuotaAsks, Coordinator: coordinator, SilentForMs: client.SilentFor.Milliseconds(),
		AnsweredMsAgo: max(client.AnsweredAgo.Milliseconds(), -1), Credit: client.Credit, Share: client.Share,
		Waiting: client.Waiting,
	}
	if client.AnsweredAgo < 0 {
		state.AnsweredMsAgo = -1
	}
	if decided && decision.OK {
		state.Decision = forward.QuotaAdmits
	} else if decided {
		state.Decision, state.RetryAfterMs = forward.QuotaRefuses, max(decision.RetryAfter.Milliseconds(), 1)
	}
	if c := q.coordinators[customer.Name]; c != nil && coordinator == q.node.link.Address() {
		s := c.core.Preview(now)
		state.Coordinated = &forward.QuotaCoordinatorState{
			Available: s.Available, Outstanding: s.Outstanding, Nodes: s.Nodes, Waiting: s.Waiting, Inherits: s.Inherits,
		}
	}
	return state
}

// View implements forward.SlotViewer.
func (s *slots) View(service string, candidates []serverview.Candidate) forward.WhereSlots {
	state := forward.WhereSlots{Active: s.active(candidates)}
	if !state.Active {
		return state
	}
	now := time.Now()
	if dispatcher, silent := s.dispatcherOf(now, service); !silent {
		state.Dispatcher = dispatcher
	}
	state.Here = state.Dispatcher == s.node.link.Address()
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.dispatchers[service]; d != nil && state.Here {
		state.InUse, state.Slots = d.core.InUse()
		state.Waiting, state.Servers = d.core.Waiting(), make(map[string]string)
		for _, server := range d.core.States(now) {
			state.Servers[server.ID] = server.String()
		}
	}
	return state
}
