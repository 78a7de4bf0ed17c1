package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	api "waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

const maximumBodyBytes = 8 << 20

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var order vllm.LoadRequest
	if !decode(w, r, &order) {
		return
	}
	reserved, lifetime, refusal := e.reserve(fenceOf(r), order)
	if refusal != nil {
		refuse(w, refusal)
		return
	}
	if lifetime != nil {
		e.fetch(lifetime, order.Name, reserved)
	}
	<-reserved.ready
	e.mu.Lock()
	loaded := e.core.slots[order.Name] == reserved
	e.mu.Unlock()
	if !loaded {
		refuse(w, &vllm.Error{Status: http.StatusInternalServerError, Code: vllm.CodeLoadFailed, Message: "weights could not be loaded"})
		return
	}
	e.answerOrder(w)
}

// reserve returns the slot for a load, which it allocates if needed, and the lifetime of the engine's incarnation. The
// context is nil when the adapter is loaded or being loaded already.
func (e *Engine) reserve(fence api.FencingNumber, order vllm.LoadRequest) (*slot, context.Context, *vllm.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(fence) {
		return nil, nil, e.fenced(fence)
	}
	if held := e.core.slots[order.Name]; held != nil {
		return held, nil, nil
	}
	if len(e.core.slots) >= e.options.Slots {
		return nil, nil, &vllm.Error{Status: http.StatusInsufficientStorage, Code: vllm.CodeNoSlot, Message: "no free adapter slot"}
	}
	e.counts.Loads++
	held := &slot{path: order.Path, loading: true, ready: make(chan struct{})}
	e.core.slots[order.Name] = held
	return held, e.lifetime, nil
}

// fetch loads the weights into a slot. It ends early at a restart, but not when the caller disconnects.
func (e *Engine) fetch(lifetime context.Context, name api.LoadName, held *slot) {
	defer close(held.ready)
	err := e.weights.Load(lifetime)
	if err == nil && e.faults.Consume(e.options.Name, fault.LoadFailure) {
		err = fmt.Errorf("load failure was switched on")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	held.loading = false
	if err == nil || e.core.slots[name] != held {
		return
	}
	delete(e.core.slots, name)
	e.counts.LoadsFailed++
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var order vllm.UnloadRequest
	if !decode(w, r, &order) {
		return
	}
	if refusal := e.evict(fenceOf(r), order.Name); refusal != nil {
		refuse(w, refusal)
		return
	}
	e.answerOrder(w)
}

// evict frees a slot even when requests use it, like an engine without such a check.
func (e *Engine) evict(fence api.FencingNumber, name api.LoadName) *vllm.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFence(fence) {
		return e.fenced(fence)
	}
	if e.core.slots[name] == nil {
		return notLoaded(name)
	}
	delete(e.core.slots, name)
	e.counts.Unloads++
	broken := e.core.end(e.clock(), endEvicted, func(r *request) bool { return r.model == name })
	if broken > 0 {
		e.counts.EvictedInUse++
		e.counts.Broken += broken
		e.events.Emit(event.EvictedInUse, event.Fields{"load": name, "requests": broken, "fence": fence})
	}
	return nil
}

func (e *Engine) setRole(w http.ResponseWriter, r *http.Request) {
	var order vllm.RoleRequest
	if !decode(w, r, &order) {
		return
	}
	fence := fenceOf(r)
	e.mu.Lock()
	allowed := e.checkFence(fence)
	if allowed && order.Role != "" {
		e.core.role = order.Role
	}
	refusal := e.fenced(fence)
	e.mu.Unlock()
	if !allowed {
		refuse(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, order)
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := e.clock()
	state := e.history.at(now - e.options.ReportLag)
	if e.options.ReportLag == 0 {
		state = e.core.report(now)
		state.draining = e.faults.Active(e.options.Name, fault.Draining)
	}
	body := vllm.ReportBody{
		Incarnation: e.incarnation, AsOfUs: state.asOf.Microseconds(), NowUs: now.Microseconds(),
		Draining: state.draining, Role: state.role, Slots: e.options.Slots, Adapters: []vllm.AdapterBody{},
	}
	e.mu.Unlock()
	for _, adapter := range state.adapters {
		body.Adapters = append(body.Adapters, vllm.AdapterBody(adapter))
	}
	writeJSON(w, http.StatusOK, body)
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	body := vllm.ModelsBody{Object: "list", Data: []vllm.ModelBody{{ID: e.options.BaseModel, Object: "model"}}}
	e.mu.Lock()
	for _, adapter := range e.core.report(0).adapters {
		if adapter.Loading {
			continue
		}
		body.Data = append(body.Data, vllm.ModelBody{
			ID: string(adapter.Name), Object: "model", Parent: e.options.BaseModel, Root: e.core.slots[adapter.Name].path,
		})
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

// answerOrder answers a load or unload that took effect, or drops the answer when fault.LostAnswer is active.
func (e *Engine) answerOrder(w http.ResponseWriter) {
	if e.faults.Consume(e.options.Name, fault.LostAnswer) {
		e.mu.Lock()
		e.counts.LostAnswers++
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprint(w, "Success")
}

// fenced returns the refusal of a stale fencing number. The caller holds mu.
func (e *Engine) fenced(fence api.FencingNumber) *vllm.Error {
	return &vllm.Error{
		Status: http.StatusConflict, Code: vllm.CodeFenced,
		Message: fmt.Sprintf("fencing number %d is older than %d", fence, e.core.fence),
	}
}

func notLoaded(name api.LoadName) *vllm.Error {
	return &vllm.Error{
		Status: http.StatusNotFound, Code: vllm.CodeNotLoaded, Message: fmt.Sprintf("adapter %q is not loaded", name),
	}
}

// fenceOf returns an order's fencing number. An order without one has number 0.
func fenceOf(r *http.Request) api.FencingNumber {
	number, err := strconv.ParseUint(r.Header.Get(vllm.HeaderFencingNumber), 10, 64)
	if err != nil {
		return 0
	}
	return api.FencingNumber(number)
}

func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumBodyBytes)).Decode(target)
	if err != nil {
		refuse(w, &vllm.Error{Status: http.StatusBadRequest, Code: vllm.CodeInvalid, Message: err.Error()})
	}
	return err == nil
}

func refuse(w http.ResponseWriter, refusal *vllm.Error) {
	writeJSON(w, refusal.Status, errorBody(refusal))
}

func errorBody(refusal *vllm.Error) vllm.ErrorBody {
	return vllm.ErrorBody{Error: vllm.ErrorDetail{
		Message: refusal.Message, Type: http.StatusText(refusal.Status), Code: refusal.Code,
	}}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
